package dispatch

import (
	"errors"
	"fmt"
	"io"
	"math/rand"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/quick"
	"time"

	"github.com/thistlerudder/thistlerudder/budget/allowance"
	"github.com/thistlerudder/thistlerudder/internal/net/admission"
	"github.com/thistlerudder/thistlerudder/routing"
)

// followed is what a random run knows of one lookup.
type followed struct {
	*Ticket
	mayHaveRun, answered, left bool
	shots                      int
}

// check holds a lookup to the rules; it returns what is broken.
func (f *followed) check() string {
	f.Ticket.x.mu.Lock() // a shot may be passed meanwhile
	defer f.Ticket.x.mu.Unlock()
	a, came := got(f.Ticket)
	switch {
	case came && (f.answered || f.left):
		return "an answer after the end"
	case came && a.Outcome == Deferred && f.mayHaveRun && f.Namespace == "once":
		return "a deferral though it may have run"
	case f.Ticket.shots > f.shots && (f.answered || f.left):
		return "a shot after the end"
	case f.Ticket.shots > f.shots && f.mayHaveRun && f.Namespace == "once":
		return "a second shot though the first may have run"
	}
	f.answered, f.shots = f.answered || came, f.Ticket.shots
	return ""
}

// Lookups come, shots end in any way and some are told of twice, clients leave, all in any order.
func TestRandomRunsKeepTheRules(t *testing.T) {
	run := func(seed int64) bool {
		r, ships := rand.New(rand.NewSource(seed)), &fleet{}
		x := start(t, ships)
		var all []*followed
		of := map[*Ticket]*followed{}
		settle := func() bool {
			s := ships.take(r.Intn(1000))
			if s == nil {
				return false
			}
			if broken := of[s.ticket].check(); broken != "" { // up to here, before more becomes known
				t.Error(broken)
			}
			end := End(r.Intn(int(endCount)))
			switch end.Code() {
			case routing.Full, routing.Unconnected, routing.Unsent, routing.Missing, routing.Crowded, routing.Unheard, routing.Withheld:
			default:
				of[s.ticket].mayHaveRun = true
			}
			s.Settle(end, Answer{Body: []byte("v")})
			s.Settle(End(r.Intn(int(endCount))), Answer{})
			return true
		}
		for step := 0; step < 300; step++ {
			switch r.Intn(5) {
			case 0, 1:
				ns := []string{"read", "once"}[r.Intn(2)]
				f := &followed{}
				// The shot may be carried before Take returns, but nobody settles it before that.
				f.Ticket = take(t, x, Lookup{Namespace: ns, Key: strconv.Itoa(r.Intn(20)), Write: r.Intn(4) == 0}, time.Minute)
				of[f.Ticket] = f
				all = append(all, f)
			case 2, 3:
				settle()
			case 4:
				if len(all) > 0 {
					f := all[r.Intn(len(all))]
					if broken := f.check(); broken != "" {
						t.Error(broken)
						return false
					}
					f.Leave()
					f.left = true
				}
			}
			used := map[int]bool{}
			for _, f := range all {
				if broken := f.check(); broken != "" {
					t.Errorf("seed %d, step %d: %s", seed, step, broken)
					return false
				}
			}
			x.mu.Lock()
			for _, f := range all {
				if !f.forgotten && used[f.index] {
					t.Errorf("seed %d, step %d: two lookups share index %d", seed, step, f.index)
				}
				used[f.index] = used[f.index] || !f.forgotten
			}
			x.mu.Unlock()
		}
		for settle() {
		}
		for _, f := range all {
			if broken := f.check(); broken != "" || !f.answered && !f.left {
				t.Errorf("seed %d: at the end: answered %v, left %v %s", seed, f.answered, f.left, broken)
				return false
			}
		}
		return x.Out() == 0
	}
	if err := quick.Check(run, &quick.Config{MaxCount: 60, Rand: rand.New(rand.NewSource(1))}); err != nil {
		t.Error(err)
	}
}

// hasty settles each shot twice at once, from two goroutines.
type hasty struct {
	fleet
	wg sync.WaitGroup
}

func (h *hasty) Carry(s *Shot) {
	for _, end := range []End{Whole, Silent} {
		h.wg.Go(func() { s.Settle(end, Answer{}) })
	}
}

// Answer, time-out and the client's leaving come at once: one end for each lookup, and nothing is kept.
func TestWhatComesAtOnceEndsALookupOnce(t *testing.T) {
	h := &hasty{}
	x := start(t, h)
	var clients sync.WaitGroup
	for i := range 300 {
		clients.Go(func() {
			ticket := take(t, x, Lookup{Namespace: "read", Key: strconv.Itoa(i % 7)}, time.Second)
			if i%3 == 0 {
				ticket.Leave()
				return
			}
			select {
			case <-ticket.Answers():
			case <-time.After(5 * time.Second):
				t.Errorf("lookup %d had no answer", i)
			}
		})
	}
	clients.Wait()
	h.wg.Wait()
	y := x.Tally()
	if ends := y.Resolved + y.Deferred + y.Abandoned + y.Left; ends != 300 || x.Out() != 0 || y.Panics != 0 {
		t.Errorf("%d ends of 300, %d still known, %d panics", ends, x.Out(), y.Panics)
	}
}

// A lookup that waits for another's fetch is answered by its alarm, not before its limit and not long after.
func TestAlarmsComeInTimeAndNotEarly(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	first := take(t, x, Lookup{Namespace: "late", Key: "k"}, time.Minute)
	ships.take(0).Settle(Lacking, Answer{})
	began := time.Now()
	second := take(t, x, Lookup{Namespace: "late", Key: "k"}, 80*time.Millisecond)
	if a := <-second.Answers(); a.Outcome != Deferred {
		t.Errorf("got %+v", a)
	}
	if took := time.Since(began); took < 79*time.Millisecond || took > 300*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	if ships.take(0).Settle(Whole, Answer{}); x.Out() != 0 {
		t.Errorf("%d lookups are still known", x.Out())
	}
	<-first.Answers()
}

func TestALimitThatHasPassedIsAnsweredWithoutAShot(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	for _, within := range []time.Duration{0, -time.Second} {
		if a, came := got(take(t, x, Lookup{Namespace: "once", Write: true}, within)); !came || a.Outcome != Deferred {
			t.Errorf("%v: %+v, %v", within, a, came)
		}
	}
	if ships.take(0) != nil || x.Out() != 0 {
		t.Error("a shot was sent, or a lookup is still known")
	}
}

// The id of a lookup that is out is turned away with nothing sent on, until all its shots have settled.
func TestAnIdThatIsOutIsTurnedAway(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	first := take(t, x, Lookup{Namespace: "read", Key: "k"}, time.Second)
	again := func() error {
		_, err := x.Take(Lookup{Namespace: "read", Key: "l", Trace: first.Trace}, time.Now(), time.Second)
		return err
	}
	shot := ships.take(0)
	if err := again(); !errors.Is(err, ErrOut) || ships.take(0) != nil {
		t.Errorf("while it is out: %v", err)
	}
	first.Leave()
	if err := again(); !errors.Is(err, ErrOut) || ships.take(0) != nil {
		t.Errorf("while its shot is out: %v", err)
	}
	shot.Settle(Whole, Answer{})
	if err := again(); err != nil || len(x.out) != 1 {
		t.Errorf("afterwards: %v, %d ids are kept", err, len(x.out))
	}
}

func TestALimitBeyondTheTermsIsCut(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	take(t, x, Lookup{Namespace: "late", Key: "k"}, time.Hour)
	if s := ships.take(0); s.Within > 750*time.Millisecond || s.Within < 700*time.Millisecond {
		t.Errorf("the shot has %v", s.Within)
	}
}

// A panic of the module answers the lookup at hand with no promise; its index is not used again.
func TestAPanicAnswersTheLookup(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	whole := x.balancer
	x.balancer = nil
	ticket := take(t, x, Lookup{Namespace: "read"}, time.Second)
	if a, came := got(ticket); !came || a.Outcome != Abandoned {
		t.Errorf("%+v, %v", a, came)
	}
	x.balancer = whole
	host{x}.Shoot(ticket.index, 0, routing.Millisecond)
	if ships.take(0) != nil || len(x.out) != 0 {
		t.Errorf("a shot after the final answer, or %d ids are kept", len(x.out))
	}
	if next := take(t, x, Lookup{Namespace: "read"}, time.Second); next.index == ticket.index || ships.take(0) == nil {
		t.Errorf("the next lookup has index %d after %d", next.index, ticket.index)
	}
}

func TestABoxKeepsItsIndexAtANewAddress(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	moved := boxes[3]
	moved.Address = "elsewhere:1"
	x.List(routing.Changes, []Box{moved})
	take(t, x, Lookup{Namespace: "read", Write: true}, time.Second)
	if s := ships.take(0); s.Address != "elsewhere:1" || len(x.boxes) != len(boxes) {
		t.Errorf("sent to %s; %d indices for %d boxes", s.Address, len(x.boxes), len(boxes))
	}
}

// A read that waits while later ones at its server are answered, for several of its mean times, may be on a connection
// that has fallen silent: it goes to another server as well. It doesn't while none was answered, and a write or
// a single-use one never. The slow answer still counts, once.
func TestAReadThatOthersPassGoesElsewhereToo(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	x.List(routing.Whole, []Box{boxes[0], boxes[1], boxes[3]})
	for i := range x.boxes {
		x.boxes[i].mean = 5 * time.Millisecond
	}
	send := func(in Lookup) (*Ticket, *Shot) {
		return take(t, x, in, time.Second), ships.take(0)
	}
	quiet := func() {
		t.Helper()
		time.Sleep(4 * passedTimes * 5 * time.Millisecond)
		if s := ships.take(0); s != nil {
			t.Fatalf("a shot to %s", s.Address)
		}
	}
	read := Lookup{Namespace: "read", Key: "k"}
	ticket, slow := send(read)
	quiet() // nothing says that the server works
	_, later := send(read)
	if later.Address != slow.Address {
		t.Fatalf("the second went to %s, the first to %s", later.Address, slow.Address)
	}
	later.Settle(Whole, Answer{})
	var other *Shot
	for end := time.Now().Add(time.Second); other == nil && time.Now().Before(end); other = ships.take(0) {
		time.Sleep(time.Millisecond)
	}
	if other == nil || other.Trace != slow.Trace || other.Address == slow.Address {
		t.Fatalf("passed, and then %v", other)
	}
	slow.Settle(Whole, Answer{Body: []byte("slow")})
	if a, _ := got(ticket); string(a.Body) != "slow" {
		t.Errorf("the slow answer did not count: %v", a)
	}
	if other.Wanted() == admission.Granted { // its connection may come up only now
		t.Error("a shot may begin after the final answer")
	}
	var crossed *Ticket
	crossed, shot := send(Lookup{Namespace: "read", Key: "k", Gone: func() bool {
		crossed.Leave() // the lookup ends while the kernel is asked for its client
		return false
	}})
	if shot.Wanted() == admission.Granted {
		t.Error("a shot may begin when its lookup ended meanwhile")
	}
	shot.Settle(Withheld, Answer{})
	other.Settle(Whole, Answer{Body: []byte("other")})
	if a, more := got(ticket); more {
		t.Errorf("another final answer: %v", a)
	}
	for _, in := range []Lookup{{Namespace: "read", Write: true}, {Namespace: "once", Key: "k"}} {
		_, first := send(in)
		_, second := send(in)
		if first.Wanted() != admission.Granted {
			t.Error("a lookup that has no answer yet is not wanted")
		}
		second.Settle(Whole, Answer{})
		quiet() // another shot of what isn't replayable might be an effect twice
		first.Settle(Whole, Answer{})
	}
	if y := x.Tally(); y.Ends[Passed] != 1 || y.Panics > 0 || len(x.out) > 0 {
		t.Errorf("tally %+v, %d ids out", y, len(x.out))
	}
	for _, p := range x.boxes {
		if len(p.out) > 0 {
			t.Errorf("%d shots are still counted at %s", len(p.out), p.id)
		}
	}
}

// Where second copies are off a read that later ones pass has no other shot beside it; the module's next one waits for
// its end.
func TestNoSecondCopyWhereNoneIsAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		ships := &fleet{}
		x := start(t, ships)
		x.terms.Routing.Hedging = allowed
		for i := range x.boxes {
			x.boxes[i].mean = 2 * time.Millisecond
		}
		read := Lookup{Namespace: "read", Key: "k"}
		take(t, x, read, time.Second)
		slow := ships.take(0)
		take(t, x, read, time.Second)
		ships.take(0).Settle(Whole, Answer{})
		time.Sleep(50 * time.Millisecond)
		if other := ships.take(0); (other != nil) != allowed {
			t.Errorf("second copies %v: %v beside the first shot", allowed, other)
		}
		slow.Settle(Failing, Answer{})
		if next := ships.take(0); !allowed && next == nil {
			t.Error("no further shot once the first was over")
		}
	}
}

// A repeat of a tagged lookup may wait for its connection for longer than its servers remember the first shot: it begins within
// three quarters of that span or not at all, whatever a drain's grace is. Nothing is remembered of a first shot, or one that reads.
func TestARepeatBeginsWhileTheFirstIsRemembered(t *testing.T) {
	for _, grace := range []time.Duration{0, 100 * time.Millisecond, 1500 * time.Millisecond} {
		for _, c := range []struct {
			namespace string
			repeat    time.Duration // 0: no bound of its own
		}{{"marked", 100 * time.Millisecond}, {"read", 0}} {
			ships := &fleet{}
			x := start(t, ships)
			x.terms.DrainGrace = grace
			take(t, x, Lookup{Namespace: c.namespace, Key: "k"}, time.Second)
			for n, bound := range []time.Duration{0, c.repeat} {
				if s := ships.take(0); s == nil {
					t.Fatalf("%s: no shot %d", c.namespace, n)
				} else {
					if of := beginWithin(grace); of > 0 && (bound == 0 || of < bound) {
						bound = of
					}
					if bound == 0 != s.BeginBy.IsZero() || bound > 0 && s.BeginBy.Sub(s.sent) != bound {
						t.Errorf("%s, grace %v, shot %d: begins by %v after it was ordered, want %v", c.namespace, grace, n, s.BeginBy.Sub(s.sent), bound)
					}
					s.Settle(Lost, Answer{})
				}
			}
		}
	}
}

// The module's word to give connections back goes to the box that it names.
func TestConnectionsAreGivenBack(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	x.do("test", nil, func(routing.Time) { host{x}.HangUp(1, 0) })
	if len(ships.hungUp) != 1 || ships.hungUp[0] != x.boxes[1].nth || x.Tally().Panics != 0 {
		t.Errorf("hung up on %v", ships.hungUp)
	}
}

// Boxes come under new ids all day, some at the address of one that has gone: nothing is kept of those that went, no
// box gets the index of another whose shots are out, and each has connections of its own.
func TestPlacesOfBoxesThatWentAreGivenBack(t *testing.T) {
	ships := &fleet{}
	x := start(t, ships)
	take(t, x, Lookup{Namespace: "late", Write: true}, time.Second) // at the origin while that is replaced
	out := ships.take(0)
	seen := map[uint64]bool{out.Place: true}
	const rounds = 768
	for n := range rounds {
		fresh := []Box{{ID: fmt.Sprint("c", n), Address: "same:1", Machine: "box"}, {ID: fmt.Sprint("z", n), Address: "z:1", Machine: "origin"}}
		if n%2 == 0 {
			x.List(routing.Whole, fresh)
		} else {
			x.List(routing.Changes, append(fresh, Box{ID: fmt.Sprint("c", n-1), State: routing.Gone},
				Box{ID: fmt.Sprint("z", n-1), State: routing.Gone}, Box{ID: "never seen", State: routing.Gone}))
		}
		for _, write := range []bool{false, true} {
			take(t, x, Lookup{Namespace: "late", Write: write}, time.Second)
			s := ships.take(0)
			if s == nil || seen[s.Place] || s.server == out.server || s.Address != fresh[map[bool]int{true: 1}[write]].Address {
				t.Fatalf("list %d, write %v: %+v", n, write, s)
			}
			seen[s.Place] = true
			s.Settle(Whole, Answer{})
		}
	}
	out.Settle(Whole, Answer{})
	if len(x.places) != 2 || len(x.boxes) > 12 {
		t.Errorf("%d ids and %d indices are kept", len(x.places), len(x.boxes))
	}
	same, again := boxes[0], boxes[0]
	again.StartedMs = 5
	for _, b := range []Box{same, same, again} {
		x.List(routing.Whole, []Box{b})
	}
	if p := x.boxes[x.places["a"]]; p.nth != x.told || x.told != uint64(len(boxes)+2*rounds+2) {
		t.Errorf("a restart is another place, the same list isn't: %+v of %d", p, x.told)
	}
}

func TestReadyOnceAListIsKnown(t *testing.T) {
	x := New(start(t, &fleet{}).terms, nil)
	x.Start(1, &fleet{}, nobody{})
	x.List(routing.Persisted, nil)
	before := x.Ready()
	x.List(routing.Persisted, boxes)
	if before || !x.Ready() {
		t.Errorf("ready %v before, %v after", before, x.Ready())
	}
	if _, err := x.Take(Lookup{Namespace: "none"}, time.Now(), time.Second); !errors.Is(err, ErrNamespace) {
		t.Error(err)
	}
}

// The clock starts at Unix time, so that the list's start times can be set beside it, and rounds down.
func TestTheClockAgreesWithTheList(t *testing.T) {
	start := time.UnixMilli(1_700_000_000_000)
	c := clock{start}
	if at := c.at(start.Add(1999 * time.Microsecond)); at != fromUnix(1_700_000_000_001)+9 || fromUnix(0) != 0 {
		t.Errorf("%d, %d", at, fromUnix(1_700_000_000_001))
	}
}

func TestOnlyProofsCountAsNotRun(t *testing.T) {
	proofs := map[End]bool{Lacking: true, TurnedAway: true, Crowded: true, Unreached: true, Unheard: true, Unwritten: true, NoRoom: true, Overtaken: true,
		Withheld: true}
	for end := range endCount {
		code := end.Code()
		notRun := code == routing.Full || code == routing.Unconnected || code == routing.Unsent || code >= routing.Missing
		if code == routing.Broken {
			t.Errorf("%v: one connection's end is taken for its server's", end)
		}
		if notRun != proofs[end] || end.String() == "" || (code == routing.Answered) != (end == Whole) {
			t.Errorf("%v: code %v", end, code)
		}
	}
}

// What of a long body has gone to one server can't go to another: no second shot is carried, and the lookup ends.
func TestALongBodyGoesToOneServerOnly(t *testing.T) {
	for begun, want := range map[bool]int{false: 2, true: 1} {
		f := &fleet{}
		x := start(t, f)
		in := Lookup{Namespace: "read", Write: true, Rest: NewRest(strings.NewReader("rest")), Length: 4, Patience: 1e9}
		ticket := take(t, x, in, time.Second)
		s := f.take(0)
		if begun {
			_, _ = s.Rest.Read(make([]byte, 1))
		}
		s.Settle(Unwritten, Answer{})
		shots := 1
		for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if s = f.take(0); s != nil {
				shots++
				_, _ = io.Copy(io.Discard, s.Rest)
				s.Sent()
				s.Settle(Whole, Answer{Body: []byte("v")})
			}
		}
		a, ended := got(ticket)
		if shots != want || !ended || (a.Outcome == Resolved) == begun {
			t.Errorf("begun %v: %d shots, ended %v %v", begun, shots, ended, a.Outcome)
		}
		if x.Out() != 0 {
			t.Error("a lookup is left over")
		}
	}
}

// A long answer is the lookup's from its first byte on, no other may follow, and the id is out until it is through.
func TestALongAnswerIsTheOnlyOne(t *testing.T) {
	f := &fleet{}
	x := start(t, f)
	ticket := take(t, x, Lookup{Namespace: "read", Key: "k"}, time.Second)
	s := f.take(0)
	s.Stalls() // it goes elsewhere too
	other := f.take(0)
	if other == nil {
		t.Fatal("no second shot")
	}
	rest := io.NopCloser(strings.NewReader("long"))
	if !s.Settle(Whole, Answer{Rest: rest, Length: 4}) || other.Settle(Whole, Answer{Rest: rest, Length: 4}) {
		t.Error("want the first answer, and only that")
	}
	if a, ended := got(ticket); !ended || a.Rest == nil {
		t.Errorf("%v %+v", ended, a)
	}
	if _, err := x.Take(ticket.Lookup, time.Now(), time.Second); !errors.Is(err, ErrOut) {
		t.Errorf("its id is out: %v", err)
	}
	other.Over()
	s.Over()
	s.Over()
	if x.Out() != 0 {
		t.Errorf("%d lookups are left", x.Out())
	}
	again := take(t, x, Lookup{Namespace: "once", Write: true}, time.Second)
	s = f.take(0)
	if s.Stalls(); f.take(0) != nil {
		t.Error("what isn't replayable must not go elsewhere")
	}
	again.Leave()
	if s.Settle(Whole, Answer{Rest: rest, Length: 4}) {
		t.Error("nobody is there to take it")
	}
}

// What the fleet tells of a server reaches the module, by id and address; of another address, or none listed, it doesn't.
func TestTheFleetsTrials(t *testing.T) {
	f := &fleet{}
	x := start(t, f)
	for range 40 { // each range's cache breaks a connection
		take(t, x, Lookup{Namespace: "read", Key: fmt.Sprint(traces.Load())}, time.Second)
		if s := f.take(0); s != nil {
			s.Settle(Unreached, Answer{})
		}
	}
	resting := x.Resting()
	if len(resting) == 0 || resting["a"] != "" && resting["a"] != "a:1" {
		t.Fatalf("%v rest", resting)
	}
	for id, address := range resting {
		x.Tried(id, "elsewhere:1", true, 0)
		x.Tried("unknown", address, true, 0)
		x.Tried(id, address, true, 0)
	}
	if len(x.Resting()) != len(resting) {
		t.Error("news alone ends no rest: a lookup of our own has to")
	}
	for n := 0; len(x.Resting()) > 0; n++ {
		if n > 200 {
			t.Fatalf("%v rest after good news and %d lookups", x.Resting(), n)
		}
		take(t, x, Lookup{Namespace: "read", Key: fmt.Sprint(traces.Load())}, time.Second)
		if s := f.take(0); s != nil {
			s.Settle(Whole, Answer{Outcome: Resolved})
		}
	}
}

// What a part allowed is written at once or never, and over by the part's end; nothing takes the place of what goes on where
// a number at a time bounds it. Without a part nothing of this holds.
func TestShotsUnderAPart(t *testing.T) {
	f := &fleet{}
	x := start(t, f)
	write := func() (*Ticket, *Shot) {
		ticket := take(t, x, Lookup{Namespace: "once", Key: "k", Write: true, Method: "PUT"}, 700*time.Millisecond)
		return ticket, f.take(0)
	}
	if _, s := write(); s == nil || !s.BeginBy.IsZero() || s.Within < 600*time.Millisecond {
		t.Fatalf("without a part: %+v", s)
	}
	part := allowance.Part{Number: true, Most: 2, ThenMost: 1}
	x.Part(routing.OriginRoom, "", part, 200*time.Millisecond, 100*time.Millisecond)
	_, one := write()
	_, two := write()
	if one == nil || two == nil || one.BeginBy.After(time.Now().Add(partWithin)) || one.Within > 300*time.Millisecond || one.Within < 200*time.Millisecond {
		t.Fatalf("under a part of two: %+v, %+v", one, two)
	}
	if ticket, s := write(); s != nil {
		t.Error("a third shot while two go on")
	} else if a, answered := got(ticket); !answered || a.Outcome != Deferred || a.RetryAfter == 0 {
		t.Errorf("what has no part is deferred at once: %+v, %v", a, answered)
	}
	if !x.alone(one) {
		t.Error("another may take its place while it goes on")
	}
	one.Settle(Whole, Answer{})
	two.Settle(Whole, Answer{})
	if u := x.Part(routing.OriginRoom, "", part, 0, 0); u.Asked != 3 || u.Done != 2 || u.Out != 0 {
		t.Errorf("told of %+v", u)
	}
	_, one = write()
	if _, two = write(); one == nil || two != nil || one.Within < 600*time.Millisecond {
		t.Errorf("after its end what is apart holds: %+v, %+v", one, two)
	}
	if u := x.Part(routing.PartnerRate, "nobody", part, 0, 0); u != (allowance.Use{}) {
		t.Error("a partner of no name is bounded")
	}
}
