package changelog

import (
	"bytes"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"github.com/thistlerudder/thistlerudder/lease"
)

// recordingHost is a follower's Host that records what it is called with.
type recordingHost struct {
	parents []int
	request Request
	applied []Change
	missed  [][3]uint64
	wakeAt  Time
}

func (d *recordingHost) Send(parent int, a Request) {
	d.parents, d.request = append(d.parents, parent), a
}
func (d *recordingHost) Apply(c Change) { d.applied = append(d.applied, c) }
func (d *recordingHost) StateReplaced() {}
func (d *recordingHost) EventsMissed(e, after, upTo uint64) {
	d.missed = append(d.missed, [3]uint64{e, after, upTo})
}
func (d *recordingHost) SetAlarm(at Time)            { d.wakeAt = at }
func (d *recordingHost) next(f *Follower) (now Time) { f.Alarm(d.wakeAt); return d.wakeAt }
func (d *recordingHost) last() int                   { return d.parents[len(d.parents)-1] }
func event(revision uint64, key string) Change {
	return Change{Revision: revision, Topic: "purge", Key: key, Event: true}
}
func value(revision uint64, key, v string) Change {
	return Change{Revision: revision, Topic: "configuration", Key: key, Value: []byte(v)}
}

var defaultConfig = Config{ParentCount: 5, HomeParentCount: 2, MinRequestInterval: 250 * lease.Millisecond, RetryBackoff: 100 * lease.Millisecond, MaxParentAge: 4700 * lease.Millisecond, MaxResponseBytes: 7700}

// sourceOf returns the log of an epoch's source with these changes.
func sourceOf(t testing.TB, epoch uint64, ring int, all ...Change) *Log {
	t.Helper()
	l := NewLog(ring)
	l.StartEpoch(epoch)
	for i, c := range all {
		c.Revision = uint64(i + 1)
		if err := l.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	return l
}

// followUntilCurrent lets a follower poll a log until there is nothing new, and returns the number of requests.
func (d *recordingHost) followUntilCurrent(t testing.TB, f *Follower, l *Log) (asked int) {
	t.Helper()
	for {
		now := d.next(f)
		asked++
		was, staged := f.Position(), f.stagedState != nil
		x, taken := l.Respond(d.request, 0), 0
		for _, c := range x.Changes {
			taken += changeBytes(c)
		}
		if len(x.Changes) > 1 && taken > d.request.MaxBytes {
			t.Fatalf("%d bytes of changes at once, want at most %d", taken, d.request.MaxBytes)
		}
		if err := f.HandleResponse(now, d.request.ID, x); err != nil {
			t.Fatal(err)
		}
		if f.Position() == was && !staged && f.stagedState == nil || asked > 1000 {
			return asked
		}
	}
}

// Two logs that differ at one revision, as after a cluster was founded twice from one token: a child of the one that switches to
// the other detects it, takes over the other's state, and reports that any event may be missed. Without the chain it never does.
func TestLogsThatDifferAtOneRevision(t *testing.T) {
	for _, u := range []DisabledSafeguards{{}, {IgnoreChain: true}} {
		one := sourceOf(t, 7, 1<<10, value(0, "a", "1"), value(0, "b", "2"), event(0, "x"))
		other := sourceOf(t, 7, 1<<10, value(0, "a", "1"), value(0, "b", "9"), event(0, "y"), event(0, "z"))
		one.disabled, other.disabled = u, u
		d := &recordingHost{}
		f := NewFollower(d, 0, defaultConfig, nil, u)
		d.followUntilCurrent(t, f, one)
		if f.Position() != one.Position() {
			t.Fatalf("at %+v, want %+v", f.Position(), one.Position())
		}
		d.missed = nil
		d.followUntilCurrent(t, f, other)
		right := reflect.DeepEqual(f.State(), other.State())
		if want := [][3]uint64{{7, 0, 4}}; !u.IgnoreChain && (!right || f.Position() != other.Position() || !reflect.DeepEqual(d.missed, want)) {
			t.Errorf("at %+v with %v, missed %v; want %+v with %v, missed %v", f.Position(), f.State(), d.missed, other.Position(), other.State(), want)
		}
		if u.IgnoreChain && right {
			t.Error("want a wrong state without the chain")
		}
	}
}

// A malformed response is refused with its fault; position, state and age stay as they were, and the next parent is polled.
func TestMalformedResponseChangesNothing(t *testing.T) {
	l := sourceOf(t, 7, 1<<10, value(0, "a", "1"), value(0, "b", "2"), event(0, "x"))
	for what, spoil := range map[string]func(x *Response){
		"the first change is missing":  func(x *Response) { x.Changes = x.Changes[1:] },
		"the last change is missing":   func(x *Response) { x.Changes = x.Changes[:1] },
		"a change differs":             func(x *Response) { x.Changes[1].Key = "other" },
		"a change comes twice":         func(x *Response) { x.Changes = append(x.Changes, x.Changes[1]) },
		"of another place":             func(x *Response) { x.From-- },
		"of another epoch":             func(x *Response) { x.Epoch++ },
		"another chain":                func(x *Response) { x.Chain++ },
		"no topic":                     func(x *Response) { x.Changes[0].Topic = "" },
		"a value over its bound":       func(x *Response) { x.Changes[0].Value = make([]byte, maxValueBytes+1) },
		"an age below nothing":         func(x *Response) { x.Age = -1 },
		"state of an earlier epoch":    func(x *Response) { x.Buckets, x.Epoch, x.Complete = map[int][]Change{}, 6, true },
		"state of an earlier revision": func(x *Response) { x.Buckets, x.Revision, x.Complete = map[int][]Change{}, 2, true },
		"a key in another's bucket": func(x *Response) {
			x.Buckets = map[int][]Change{bucketOf(stateKey(value(0, "a", ""))) ^ 1: {value(1, "a", "1")}}
		},
		"an event as state":                func(x *Response) { x.Buckets = map[int][]Change{bucketOf(stateKey(event(0, "x"))): {event(1, "x")}} },
		"a ring that doesn't lead there":   func(x *Response) { x.Buckets, x.Ring = map[int][]Change{}, []Change{event(1, "x")} },
		"below the floor, and yet changes": func(x *Response) { x.BelowFloor = true },
	} {
		d := &recordingHost{}
		f := NewFollower(d, 0, defaultConfig, nil, DisabledSafeguards{})
		d.followUntilCurrent(t, f, l)
		more := l.clone()
		for i, c := range []Change{event(0, "y"), value(0, "a", "3")} {
			c.Revision = uint64(4 + i)
			if err := more.Add(c); err != nil {
				t.Fatal(err)
			}
		}
		now := d.next(f)
		x := more.Respond(d.request, 0)
		if x.Changes = append([]Change(nil), x.Changes...); len(x.Changes) != 2 {
			t.Fatal(x)
		}
		spoil(&x)
		place, state, told, parent := f.Position(), maps.Clone(f.State()), len(d.applied), d.last()
		age, _ := f.Age(now)
		err := f.HandleResponse(now, d.request.ID, x)
		if !errors.Is(err, ErrMalformed) && !errors.Is(err, ErrEpoch) {
			t.Errorf("%s: %v", what, err)
		}
		after, _ := f.Age(now)
		if f.Position() != place || !reflect.DeepEqual(f.State(), state) || len(d.applied) != told || age != after || f.stagedState != nil {
			t.Errorf("%s: from %+v to %+v, state %v, %d applied, age %d to %d", what, place, f.Position(), f.State(), len(d.applied)-told, age, after)
		}
		if d.next(f); d.last() == parent {
			t.Errorf("%s: the same parent is polled again", what)
		}
		d.followUntilCurrent(t, f, more)
		if f.Position() != more.Position() {
			t.Errorf("%s: at %+v afterwards, want %+v", what, f.Position(), more.Position())
		}
	}
}

// A child far behind takes as much at a time as it requests, from its own position; that delays no sibling and loses nothing.
func TestSlowChild(t *testing.T) {
	l := sourceOf(t, 7, 1<<20)
	slow, quick := &recordingHost{}, &recordingHost{}
	terms := defaultConfig
	terms.MaxResponseBytes = 1000
	s, q := NewFollower(slow, 0, terms, nil, DisabledSafeguards{}), NewFollower(quick, 0, defaultConfig, nil, DisabledSafeguards{})
	slow.followUntilCurrent(t, s, l)
	quick.followUntilCurrent(t, q, l)
	const many = 2000
	each := changeBytes(event(1, fmt.Sprintf("%016d", 0)))
	for i := range many {
		if err := l.Add(event(uint64(i+1), fmt.Sprintf("%016d", i))); err != nil {
			t.Fatal(err)
		}
		if i%500 == 499 {
			if asked, want := quick.followUntilCurrent(t, q, l), 500/(defaultConfig.MaxResponseBytes/each)+2; asked > want {
				t.Errorf("the quick one asked %d times for 500, want %d", asked, want)
			}
		}
	}
	if asked, want := slow.followUntilCurrent(t, s, l), many/(terms.MaxResponseBytes/each)+2; asked > want {
		t.Errorf("the slow one asked %d times, want %d", asked, want)
	}
	for _, d := range []*recordingHost{slow, quick} {
		for i, c := range d.applied {
			if c.Revision != uint64(i+1) || len(d.applied) != many {
				t.Fatalf("change %d of %d is %d", i, len(d.applied), c.Revision)
			}
		}
	}
}

// A child from before the ring fetches the buckets of state that differ, installs them in one step, and reports what it missed.
func TestChildFromBeforeTheRing(t *testing.T) {
	l := sourceOf(t, 7, 200)
	add := func(c Change) {
		c.Revision = l.Position().Revision + 1
		if err := l.Add(c); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 400 {
		add(value(0, fmt.Sprint("key-", i), fmt.Sprint(i)))
	}
	saved := Snapshot{l.Position(), maps.Clone(l.State())}
	for i := range 300 {
		add(event(0, fmt.Sprint(i)))
	}
	add(value(0, "key-7", "other"))
	add(Change{Topic: "configuration", Key: "key-8", Deleted: true})
	d := &recordingHost{}
	f := NewFollower(d, 0, defaultConfig, &saved, DisabledSafeguards{})
	now := d.next(f)
	x := l.Respond(d.request, 0)
	if !x.BelowFloor {
		t.Fatalf("%+v", x)
	}
	_ = f.HandleResponse(now, d.request.ID, x)
	now = d.next(f)
	if x = l.Respond(d.request, 0); !x.Complete || len(x.Buckets) != 2 {
		t.Errorf("%d buckets, want the two that differ", len(x.Buckets))
	}
	_ = f.HandleResponse(now, d.request.ID, x)
	if want := [][3]uint64{{7, 400, 702}}; f.Position() != l.Position() || !reflect.DeepEqual(f.State(), l.State()) || !reflect.DeepEqual(d.missed, want) {
		t.Errorf("at %+v, missed %v; want %+v, %v", f.Position(), d.missed, l.Position(), want)
	}
	if _, known := f.Age(now); !known {
		t.Error("no age")
	}
}

// A follower tries its own region's relays first, then others; after ten seconds there it tries its own again.
func TestParentOrder(t *testing.T) {
	l := sourceOf(t, 7, 200, event(0, "x"))
	d := &recordingHost{}
	f := NewFollower(d, 0, defaultConfig, nil, DisabledSafeguards{})
	alive := map[int]bool{3: true}
	var began Time
	for now := d.next(f); now < 30_000*lease.Millisecond; now = d.next(f) {
		if alive[d.last()] {
			if began == 0 {
				began = now
			}
			_ = f.HandleResponse(now, d.request.ID, l.Respond(d.request, 0))
		} else {
			f.HandleTimeout(now, d.request.ID)
		}
	}
	if fmt.Sprint(d.parents[:4]) != "[0 1 2 3]" || began > 2000*lease.Millisecond {
		t.Errorf("%v, the first response after %d ms", d.parents[:4], began/lease.Millisecond)
	}
	home := 0
	for _, p := range d.parents[4:] {
		if p == 0 {
			home++
		}
	}
	if home != 2 {
		t.Errorf("it tried its own region %d times in 30 s, want 2: %v", home, d.parents)
	}
	all := len(d.parents)
	for now := d.next(f); now < 60_000*lease.Millisecond; now = d.next(f) {
		f.HandleTimeout(now, d.request.ID)
	}
	if asked := len(d.parents) - all; asked > 40 {
		t.Errorf("%d requests in 30 s without any response", asked)
	}
}

func changes(t *rapid.T) (all []Change) {
	for i := range rapid.IntRange(0, 20).Draw(t, "many") {
		c := Change{Revision: uint64(i + rapid.SampledFrom([]int{1, 1, 1, 7}).Draw(t, "revision")), Topic: rapid.StringMatching(`[a-c]{1,3}`).Draw(t, "topic"),
			Key: rapid.StringN(0, 40, maxNameBytes).Draw(t, "key"), Event: rapid.Bool().Draw(t, "event")}
		if v := rapid.SliceOfN(rapid.Byte(), 0, 50).Draw(t, "value"); len(v) > 0 {
			c.Value = v
		}
		if !c.Event && c.Value == nil {
			c.Deleted = rapid.Bool().Draw(t, "gone")
		}
		all = append(all, c)
	}
	return all
}

// Encoded changes are decoded as they were; input that is cut short or has a byte changed is decoded otherwise or refused with
// ErrMalformed.
func TestPackedIsReadAsItWas(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := changes(t)
		b := Encode(all)
		got, err := Decode(b)
		if err != nil || !reflect.DeepEqual(got, all) {
			t.Fatalf("%v %v, want %v", got, err, all)
		}
		if again := Encode(got); !bytes.Equal(again, b) {
			t.Fatalf("%x, want %x", again, b)
		}
		cut := rapid.IntRange(0, len(b)).Draw(t, "cut")
		if got, err := Decode(b[:cut]); err == nil && len(got) > len(all) || err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatalf("cut at %d: %d changes, %v", cut, len(got), err)
		}
		at := rapid.IntRange(0, len(b)-1).Draw(t, "at")
		b[at] ^= byte(rapid.IntRange(1, 255).Draw(t, "by"))
		if _, err := Decode(b); err != nil && !errors.Is(err, ErrMalformed) {
			t.Fatal(err)
		}
	})
}
