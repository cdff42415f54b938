package dispatch

import (
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"testing/quick"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Bans, lists, restarts, new addresses and returns in any order: no shot is decided to what is banned or doesn't stand
// ready on the list, a ban ends by a call back only, and what is back starts cold.
func TestBansHoldInAnyOrder(t *testing.T) {
	seed, all := int64(0), map[string]int{}
	random := func() bool {
		seed++
		r := rand.New(rand.NewSource(seed))
		f := &fleet{}
		x := start(t, f)
		ids := []string{"a", "b", "c", "d"}
		listed := map[string]Box{}
		for _, b := range boxes {
			listed[b.ID] = b
		}
		banned := map[string]Ban{}
		clock := x.clock.start.UnixMilli() - 100000 // what happened then is warm by now
		for step := range 300 {
			clock++
			id := ids[r.Intn(len(ids))]
			b, there := listed[id]
			if !there {
				b = Box{ID: id, Address: id + ":1", Machine: "box"}
			}
			switch r.Intn(9) {
			case 0: // banned, perhaps again
				if banned[id].Out == 0 || banned[id].Back > 0 {
					banned[id] = Ban{ID: id, Out: float64(clock)}
				}
			case 1:
				if ban := banned[id]; ban.Out > 0 && ban.Back == 0 {
					ban.Back = float64(clock)
					banned[id] = ban
				}
			case 2, 3:
				b.State = []routing.State{routing.Ready, routing.Ready, routing.Draining}[r.Intn(3)]
				listed[id] = b
				x.List(routing.Changes, []Box{b})
			case 4: // restarted, perhaps at another address
				b.StartedMs, b.State, b.Address = float64(clock), routing.Ready, fmt.Sprint(id, ":", r.Intn(3))
				listed[id] = b
				x.List(routing.Changes, []Box{b})
			case 5:
				if delete(listed, id); there {
					b.State = routing.Gone
					x.List(routing.Changes, []Box{b})
				}
			case 6:
				whole := []Box{}
				for _, b := range listed {
					whole = append(whole, b)
				}
				x.List(routing.Whole, whole)
			default:
				in := Lookup{Namespace: "read", Key: fmt.Sprint("k", r.Intn(50)), Trace: fmt.Sprint(seed, step)}
				if _, err := x.Take(in, x.clock.start, 1e9); err != nil {
					t.Error(err)
				}
			}
			list := []Ban{}
			for _, ban := range banned {
				list = append(list, ban)
			}
			x.Bans(list)
			for s := f.take(0); s != nil; s = f.take(0) {
				id, _, _ := strings.Cut(s.Address, ":")
				ban := banned[id]
				if at := listed[id]; at.Address != s.Address || at.State != routing.Ready || ban.Out > 0 && ban.Back == 0 {
					t.Errorf("seed %d, step %d: a shot to %s, listed %+v, ban %+v", seed, step, s.Address, at, ban)
					return false
				}
				if all[id]++; ban.Back > 0 {
					all["back"]++
				}
				s.Settle(Whole, Answer{})
			}
			for id, ban := range banned {
				i, known := x.places[id]
				if !known || x.boxes[i].gone {
					continue
				}
				box := x.shown(i)
				if ban.Back == 0 && box.State == routing.Ready || ban.Back > 0 && box.Since < fromUnix(ban.Out) {
					t.Errorf("seed %d, step %d: %s is shown as %+v, ban %+v", seed, step, id, box, ban)
					return false
				}
			}
		}
		return true
	}
	if err := quick.Check(random, &quick.Config{MaxCount: 60}); err != nil {
		t.Error(err)
	}
	for _, kind := range []string{"a", "b", "c", "back"} {
		if all[kind] == 0 {
			t.Errorf("no shots of the kind %q: %v", kind, all)
		}
	}
}

// A new start that the list tells of after the return makes the server cold anew; the return alone does so once.
func TestWhatIsBackStartsCold(t *testing.T) {
	x := start(t, &fleet{})
	out := float64(x.clock.start.UnixMilli())
	since := func() routing.Time { return x.shown(x.places["a"]).Since }
	x.Bans([]Ban{{ID: "a", Out: out}})
	if since() != 0 {
		t.Error("a ban alone is no start")
	}
	x.Bans([]Ban{{ID: "a", Out: out, Back: out + 100}})
	x.List(routing.Whole, boxes) // which knows nothing yet
	if got := since(); got != fromUnix(out+100) {
		t.Errorf("since %v, want the return", got)
	}
	x.Bans(nil) // what is forgotten after its return changes nothing
	if got := since(); got != fromUnix(out+100) {
		t.Errorf("since %v, want the return", got)
	}
	later := boxes[0]
	later.StartedMs = out + 50
	x.List(routing.Changes, []Box{later})
	if got := since(); got != fromUnix(out+50) {
		t.Errorf("since %v, want the start that the list told of", got)
	}
}

// What remembers ids is bounded, and forgets the oldest first.
func TestHeardIsBounded(t *testing.T) {
	var h heard
	for i := range 3 * heardMost {
		h.add(fmt.Sprint(i))
		h.add(fmt.Sprint(i)) // once
	}
	if len(h.ids) != heardMost || len(h.order) != heardMost || h.ids[fmt.Sprint(2*heardMost-1)] ||
		!h.ids[fmt.Sprint(2*heardMost)] || !h.ids[fmt.Sprint(3*heardMost-1)] {
		t.Errorf("%d ids are remembered", len(h.ids))
	}
}
