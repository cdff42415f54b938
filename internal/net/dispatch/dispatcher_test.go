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
	*PendingRequest
	mayHaveRun, answered, left bool
	shots                      int
}

// check holds a lookup to the rules; it returns what is broken.
func (f *followed) check() string {
	f.PendingRequest.dispatcher.mu.Lock() // a shot may be passed meanwhile
	defer f.PendingRequest.dispatcher.mu.Unlock()
	a, came := got(f.PendingRequest)
	switch {
	case came && (f.answered || f.left):
		return "an answer after the end"
	case came && a.Outcome == Rejected && f.mayHaveRun && f.Class == "once":
		return "a deferral though it may have run"
	case f.PendingRequest.attempts > f.shots && (f.answered || f.left):
		return "a shot after the end"
	case f.PendingRequest.attempts > f.shots && f.mayHaveRun && f.Class == "once":
		return "a second shot though the first may have run"
	}
	f.answered, f.shots = f.answered || came, f.PendingRequest.attempts
	return ""
}

// Lookups come, shots end in any way and some are told of twice, clients leave, all in any order.
func TestRandomRunsKeepTheRules(t *testing.T) {
	run := func(seed int64) bool {
		r, ships := rand.New(rand.NewSource(seed)), &fleet{}
		d := start(t, ships)
		var all []*followed
		of := map[*PendingRequest]*followed{}
		settle := func() bool {
			s := ships.take(r.Intn(1000))
			if s == nil {
				return false
			}
			if broken := of[s.pending].check(); broken != "" { // up to here, before more becomes known
				t.Error(broken)
			}
			end := AttemptResult(r.Intn(int(attemptResultCount)))
			switch end.Code() {
			case routing.Rejected, routing.ConnectFailed, routing.NotSent, routing.NotFound, routing.ConnectionLimit, routing.ConnectTimeout, routing.Withheld:
			default:
				of[s.pending].mayHaveRun = true
			}
			s.Finish(end, Answer{Body: []byte("v")})
			s.Finish(AttemptResult(r.Intn(int(attemptResultCount))), Answer{})
			return true
		}
		for step := 0; step < 300; step++ {
			switch r.Intn(5) {
			case 0, 1:
				ns := []string{"read", "once"}[r.Intn(2)]
				f := &followed{}
				// The shot may be carried before Take returns, but nobody settles it before that.
				f.PendingRequest = take(t, d, Request{Class: ns, Key: strconv.Itoa(r.Intn(20)), Write: r.Intn(4) == 0}, time.Minute)
				of[f.PendingRequest] = f
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
					f.Abandon()
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
			d.mu.Lock()
			for _, f := range all {
				if !f.released && used[f.index] {
					t.Errorf("seed %d, step %d: two lookups share index %d", seed, step, f.index)
				}
				used[f.index] = used[f.index] || !f.released
			}
			d.mu.Unlock()
		}
		for settle() {
		}
		for _, f := range all {
			if broken := f.check(); broken != "" || !f.answered && !f.left {
				t.Errorf("seed %d: at the end: answered %v, left %v %s", seed, f.answered, f.left, broken)
				return false
			}
		}
		return d.InFlight() == 0
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

func (h *hasty) Send(s *Attempt) {
	for _, end := range []AttemptResult{Complete, TimedOut} {
		h.wg.Go(func() { s.Finish(end, Answer{}) })
	}
}

// Answer, time-out and the client's leaving come at once: one end for each lookup, and nothing is kept.
func TestWhatComesAtOnceEndsALookupOnce(t *testing.T) {
	h := &hasty{}
	d := start(t, h)
	var clients sync.WaitGroup
	for i := range 300 {
		clients.Go(func() {
			ticket := take(t, d, Request{Class: "read", Key: strconv.Itoa(i % 7)}, time.Second)
			if i%3 == 0 {
				ticket.Abandon()
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
	y := d.Stats()
	if ends := y.Served + y.Rejected + y.Failed + y.ClientGone; ends != 300 || d.InFlight() != 0 || y.Panics != 0 {
		t.Errorf("%d ends of 300, %d still known, %d panics", ends, d.InFlight(), y.Panics)
	}
}

// A lookup that waits for another's fetch is answered by its alarm, not before its limit and not long after.
func TestAlarmsComeInTimeAndNotEarly(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	first := take(t, d, Request{Class: "late", Key: "k"}, time.Minute)
	ships.take(0).Finish(NotFound, Answer{})
	began := time.Now()
	second := take(t, d, Request{Class: "late", Key: "k"}, 80*time.Millisecond)
	if a := <-second.Answers(); a.Outcome != Rejected {
		t.Errorf("got %+v", a)
	}
	if took := time.Since(began); took < 79*time.Millisecond || took > 300*time.Millisecond {
		t.Errorf("answered after %v", took)
	}
	if ships.take(0).Finish(Complete, Answer{}); d.InFlight() != 0 {
		t.Errorf("%d lookups are still known", d.InFlight())
	}
	<-first.Answers()
}

func TestALimitThatHasPassedIsAnsweredWithoutAShot(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	for _, within := range []time.Duration{0, -time.Second} {
		if a, came := got(take(t, d, Request{Class: "once", Write: true}, within)); !came || a.Outcome != Rejected {
			t.Errorf("%v: %+v, %v", within, a, came)
		}
	}
	if ships.take(0) != nil || d.InFlight() != 0 {
		t.Error("a shot was sent, or a lookup is still known")
	}
}

// The id of a lookup that is out is turned away with nothing sent on, until all its shots have settled.
func TestAnIdThatIsOutIsTurnedAway(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	first := take(t, d, Request{Class: "read", Key: "k"}, time.Second)
	again := func() error {
		_, err := d.Submit(Request{Class: "read", Key: "l", TraceID: first.TraceID}, time.Now(), time.Second)
		return err
	}
	shot := ships.take(0)
	if err := again(); !errors.Is(err, ErrDuplicateID) || ships.take(0) != nil {
		t.Errorf("while it is out: %v", err)
	}
	first.Abandon()
	if err := again(); !errors.Is(err, ErrDuplicateID) || ships.take(0) != nil {
		t.Errorf("while its shot is out: %v", err)
	}
	shot.Finish(Complete, Answer{})
	if err := again(); err != nil || len(d.requests.byTraceID) != 1 {
		t.Errorf("afterwards: %v, %d ids are kept", err, len(d.requests.byTraceID))
	}
}

func TestALimitBeyondTheTermsIsCut(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	take(t, d, Request{Class: "late", Key: "k"}, time.Hour)
	if s := ships.take(0); s.Timeout > 750*time.Millisecond || s.Timeout < 700*time.Millisecond {
		t.Errorf("the shot has %v", s.Timeout)
	}
}

// A panic of the module answers the lookup at hand with no promise; its index is not used again.
func TestAPanicAnswersTheLookup(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	whole := d.balancer
	d.balancer = nil
	ticket := take(t, d, Request{Class: "read"}, time.Second)
	if a, came := got(ticket); !came || a.Outcome != Failed {
		t.Errorf("%+v, %v", a, came)
	}
	d.balancer = whole
	host{d}.Send(ticket.index, 0, routing.Millisecond)
	if ships.take(0) != nil || len(d.requests.byTraceID) != 0 {
		t.Errorf("a shot after the final answer, or %d ids are kept", len(d.requests.byTraceID))
	}
	if next := take(t, d, Request{Class: "read"}, time.Second); next.index == ticket.index || ships.take(0) == nil {
		t.Errorf("the next lookup has index %d after %d", next.index, ticket.index)
	}
}

func TestABoxKeepsItsIndexAtANewAddress(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	moved := boxes[3]
	moved.Address = "elsewhere:1"
	d.UpdateEndpoints(routing.Incremental, []Endpoint{moved})
	take(t, d, Request{Class: "read", Write: true}, time.Second)
	if s := ships.take(0); s.Address != "elsewhere:1" || len(d.endpoints.entries) != len(boxes) {
		t.Errorf("sent to %s; %d indices for %d boxes", s.Address, len(d.endpoints.entries), len(boxes))
	}
}

// A read that waits while later ones at its server are answered, for several of its mean times, may be on a connection
// that has fallen silent: it goes to another server as well. It doesn't while none was answered, and a write or
// a single-use one never. The slow answer still counts, once.
func TestAReadThatOthersPassGoesElsewhereToo(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	d.UpdateEndpoints(routing.Full, []Endpoint{boxes[0], boxes[1], boxes[3]})
	for i := range d.endpoints.entries {
		d.endpoints.entries[i].meanLatency = 5 * time.Millisecond
	}
	send := func(in Request) (*PendingRequest, *Attempt) {
		return take(t, d, in, time.Second), ships.take(0)
	}
	quiet := func() {
		t.Helper()
		time.Sleep(4 * bypassFactor * 5 * time.Millisecond)
		if s := ships.take(0); s != nil {
			t.Fatalf("a shot to %s", s.Address)
		}
	}
	read := Request{Class: "read", Key: "k"}
	ticket, slow := send(read)
	quiet() // nothing says that the server works
	_, later := send(read)
	if later.Address != slow.Address {
		t.Fatalf("the second went to %s, the first to %s", later.Address, slow.Address)
	}
	later.Finish(Complete, Answer{})
	var other *Attempt
	for end := time.Now().Add(time.Second); other == nil && time.Now().Before(end); other = ships.take(0) {
		time.Sleep(time.Millisecond)
	}
	if other == nil || other.TraceID != slow.TraceID || other.Address == slow.Address {
		t.Fatalf("passed, and then %v", other)
	}
	slow.Finish(Complete, Answer{Body: []byte("slow")})
	if a, _ := got(ticket); string(a.Body) != "slow" {
		t.Errorf("the slow answer did not count: %v", a)
	}
	if other.ClientState() == admission.Granted { // its connection may come up only now
		t.Error("a shot may begin after the final answer")
	}
	var crossed *PendingRequest
	crossed, shot := send(Request{Class: "read", Key: "k", ClientGone: func() bool {
		crossed.Abandon() // the lookup ends while the kernel is asked for its client
		return false
	}})
	if shot.ClientState() == admission.Granted {
		t.Error("a shot may begin when its lookup ended meanwhile")
	}
	shot.Finish(Withheld, Answer{})
	other.Finish(Complete, Answer{Body: []byte("other")})
	if a, more := got(ticket); more {
		t.Errorf("another final answer: %v", a)
	}
	for _, in := range []Request{{Class: "read", Write: true}, {Class: "once", Key: "k"}} {
		_, first := send(in)
		_, second := send(in)
		if first.ClientState() != admission.Granted {
			t.Error("a lookup that has no answer yet is not wanted")
		}
		second.Finish(Complete, Answer{})
		quiet() // another shot of what isn't replayable might be an effect twice
		first.Finish(Complete, Answer{})
	}
	if y := d.Stats(); y.Ends[Bypassed] != 1 || y.Panics > 0 || len(d.requests.byTraceID) > 0 {
		t.Errorf("tally %+v, %d ids out", y, len(d.requests.byTraceID))
	}
	for _, p := range d.endpoints.entries {
		if len(p.inFlight) > 0 {
			t.Errorf("%d shots are still counted at %s", len(p.inFlight), p.id)
		}
	}
}

// Where second copies are off a read that later ones pass has no other shot beside it; the module's next one waits for
// its end.
func TestNoSecondCopyWhereNoneIsAllowed(t *testing.T) {
	for _, allowed := range []bool{true, false} {
		ships := &fleet{}
		d := start(t, ships)
		d.settings.Routing.Hedging = allowed
		for i := range d.endpoints.entries {
			d.endpoints.entries[i].meanLatency = 2 * time.Millisecond
		}
		read := Request{Class: "read", Key: "k"}
		take(t, d, read, time.Second)
		slow := ships.take(0)
		take(t, d, read, time.Second)
		ships.take(0).Finish(Complete, Answer{})
		time.Sleep(50 * time.Millisecond)
		if other := ships.take(0); (other != nil) != allowed {
			t.Errorf("second copies %v: %v beside the first shot", allowed, other)
		}
		slow.Finish(ServerError, Answer{})
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
			d := start(t, ships)
			d.settings.DrainGrace = grace
			take(t, d, Request{Class: c.namespace, Key: "k"}, time.Second)
			for n, bound := range []time.Duration{0, c.repeat} {
				if s := ships.take(0); s == nil {
					t.Fatalf("%s: no shot %d", c.namespace, n)
				} else {
					if of := sendWindow(grace); of > 0 && (bound == 0 || of < bound) {
						bound = of
					}
					if bound == 0 != s.SendBy.IsZero() || bound > 0 && s.SendBy.Sub(s.startedAt) != bound {
						t.Errorf("%s, grace %v, shot %d: begins by %v after it was ordered, want %v", c.namespace, grace, n, s.SendBy.Sub(s.startedAt), bound)
					}
					s.Finish(ConnectionLost, Answer{})
				}
			}
		}
	}
}

// The module's word to give connections back goes to the box that it names.
func TestConnectionsAreGivenBack(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	d.withLock("test", nil, func(routing.Time) { host{d}.CloseIdle(1, 0) })
	if len(ships.hungUp) != 1 || ships.hungUp[0] != d.endpoints.entries[1].incarnation || d.Stats().Panics != 0 {
		t.Errorf("hung up on %v", ships.hungUp)
	}
}

// Boxes come under new ids all day, some at the address of one that has gone: nothing is kept of those that went, no
// box gets the index of another whose shots are out, and each has connections of its own.
func TestPlacesOfBoxesThatWentAreGivenBack(t *testing.T) {
	ships := &fleet{}
	d := start(t, ships)
	take(t, d, Request{Class: "late", Write: true}, time.Second) // at the origin while that is replaced
	out := ships.take(0)
	seen := map[uint64]bool{out.Endpoint: true}
	const rounds = 768
	for n := range rounds {
		fresh := []Endpoint{{ID: fmt.Sprint("c", n), Address: "same:1", Model: "box"}, {ID: fmt.Sprint("z", n), Address: "z:1", Model: "origin"}}
		if n%2 == 0 {
			d.UpdateEndpoints(routing.Full, fresh)
		} else {
			d.UpdateEndpoints(routing.Incremental, append(fresh, Endpoint{ID: fmt.Sprint("c", n-1), State: routing.Gone},
				Endpoint{ID: fmt.Sprint("z", n-1), State: routing.Gone}, Endpoint{ID: "never seen", State: routing.Gone}))
		}
		for _, write := range []bool{false, true} {
			take(t, d, Request{Class: "late", Write: write}, time.Second)
			s := ships.take(0)
			if s == nil || seen[s.Endpoint] || s.endpointIndex == out.endpointIndex || s.Address != fresh[map[bool]int{true: 1}[write]].Address {
				t.Fatalf("list %d, write %v: %+v", n, write, s)
			}
			seen[s.Endpoint] = true
			s.Finish(Complete, Answer{})
		}
	}
	out.Finish(Complete, Answer{})
	if len(d.endpoints.byID) != 2 || len(d.endpoints.entries) > 12 {
		t.Errorf("%d ids and %d indices are kept", len(d.endpoints.byID), len(d.endpoints.entries))
	}
	same, again := boxes[0], boxes[0]
	again.StartedMs = 5
	for _, b := range []Endpoint{same, same, again} {
		d.UpdateEndpoints(routing.Full, []Endpoint{b})
	}
	if p := d.endpoints.entries[d.endpoints.byID["a"]]; p.incarnation != d.endpoints.incarnations || d.endpoints.incarnations != uint64(len(boxes)+2*rounds+2) {
		t.Errorf("a restart is another place, the same list isn't: %+v of %d", p, d.endpoints.incarnations)
	}
}

func TestReadyOnceAListIsKnown(t *testing.T) {
	d := New(start(t, &fleet{}).settings, nil)
	d.Start(1, &fleet{}, nobody{})
	d.UpdateEndpoints(routing.Cached, nil)
	before := d.Ready()
	d.UpdateEndpoints(routing.Cached, boxes)
	if before || !d.Ready() {
		t.Errorf("ready %v before, %v after", before, d.Ready())
	}
	if _, err := d.Submit(Request{Class: "none"}, time.Now(), time.Second); !errors.Is(err, ErrUnknownClass) {
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
	proofs := map[AttemptResult]bool{NotFound: true, Shed: true, ConnectionLimit: true, ConnectRefused: true, ConnectTimeout: true, WriteFailed: true, NoResources: true, NotConnected: true,
		Withheld: true}
	for end := range attemptResultCount {
		code := end.Code()
		notRun := code == routing.Rejected || code == routing.ConnectFailed || code == routing.NotSent || code >= routing.NotFound
		if code == routing.ConnectionBroken {
			t.Errorf("%v: one connection's end is taken for its server's", end)
		}
		if notRun != proofs[end] || end.String() == "" || (code == routing.Served) != (end == Complete) {
			t.Errorf("%v: code %v", end, code)
		}
	}
}

// What of a long body has gone to one server can't go to another: no second shot is carried, and the lookup ends.
func TestALongBodyGoesToOneServerOnly(t *testing.T) {
	for begun, want := range map[bool]int{false: 2, true: 1} {
		f := &fleet{}
		d := start(t, f)
		in := Request{Class: "read", Write: true, Rest: NewBodyStream(strings.NewReader("rest")), Length: 4, Timeout: 1e9}
		ticket := take(t, d, in, time.Second)
		s := f.take(0)
		if begun {
			_, _ = s.Rest.Read(make([]byte, 1))
		}
		s.Finish(WriteFailed, Answer{})
		shots := 1
		for end := time.Now().Add(200 * time.Millisecond); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if s = f.take(0); s != nil {
				shots++
				_, _ = io.Copy(io.Discard, s.Rest)
				s.BodySent()
				s.Finish(Complete, Answer{Body: []byte("v")})
			}
		}
		a, ended := got(ticket)
		if shots != want || !ended || (a.Outcome == Served) == begun {
			t.Errorf("begun %v: %d shots, ended %v %v", begun, shots, ended, a.Outcome)
		}
		if d.InFlight() != 0 {
			t.Error("a lookup is left over")
		}
	}
}

// A long answer is the lookup's from its first byte on, no other may follow, and the id is out until it is through.
func TestALongAnswerIsTheOnlyOne(t *testing.T) {
	f := &fleet{}
	d := start(t, f)
	ticket := take(t, d, Request{Class: "read", Key: "k"}, time.Second)
	s := f.take(0)
	s.Stalled() // it goes elsewhere too
	other := f.take(0)
	if other == nil {
		t.Fatal("no second shot")
	}
	rest := io.NopCloser(strings.NewReader("long"))
	if !s.Finish(Complete, Answer{Rest: rest, Length: 4}) || other.Finish(Complete, Answer{Rest: rest, Length: 4}) {
		t.Error("want the first answer, and only that")
	}
	if a, ended := got(ticket); !ended || a.Rest == nil {
		t.Errorf("%v %+v", ended, a)
	}
	if _, err := d.Submit(ticket.Request, time.Now(), time.Second); !errors.Is(err, ErrDuplicateID) {
		t.Errorf("its id is out: %v", err)
	}
	other.Release()
	s.Release()
	s.Release()
	if d.InFlight() != 0 {
		t.Errorf("%d lookups are left", d.InFlight())
	}
	again := take(t, d, Request{Class: "once", Write: true}, time.Second)
	s = f.take(0)
	if s.Stalled(); f.take(0) != nil {
		t.Error("what isn't replayable must not go elsewhere")
	}
	again.Abandon()
	if s.Finish(Complete, Answer{Rest: rest, Length: 4}) {
		t.Error("nobody is there to take it")
	}
}

// What the fleet tells of a server reaches the module, by id and address; of another address, or none listed, it doesn't.
func TestTheFleetsTrials(t *testing.T) {
	f := &fleet{}
	d := start(t, f)
	for range 40 { // each range's cache breaks a connection
		take(t, d, Request{Class: "read", Key: fmt.Sprint(traces.Load())}, time.Second)
		if s := f.take(0); s != nil {
			s.Finish(ConnectRefused, Answer{})
		}
	}
	resting := d.EjectedEndpoints()
	if len(resting) == 0 || resting["a"] != "" && resting["a"] != "a:1" {
		t.Fatalf("%v rest", resting)
	}
	for id, address := range resting {
		d.ProbeResult(id, "elsewhere:1", true, 0)
		d.ProbeResult("unknown", address, true, 0)
		d.ProbeResult(id, address, true, 0)
	}
	if len(d.EjectedEndpoints()) != len(resting) {
		t.Error("news alone ends no rest: a lookup of our own has to")
	}
	for n := 0; len(d.EjectedEndpoints()) > 0; n++ {
		if n > 200 {
			t.Fatalf("%v rest after good news and %d lookups", d.EjectedEndpoints(), n)
		}
		take(t, d, Request{Class: "read", Key: fmt.Sprint(traces.Load())}, time.Second)
		if s := f.take(0); s != nil {
			s.Finish(Complete, Answer{Outcome: Served})
		}
	}
}

// What a part allowed is written at once or never, and over by the part's end; nothing takes the place of what goes on where
// a number at a time bounds it. Without a part nothing of this holds.
func TestShotsUnderAPart(t *testing.T) {
	f := &fleet{}
	d := start(t, f)
	write := func() (*PendingRequest, *Attempt) {
		ticket := take(t, d, Request{Class: "once", Key: "k", Write: true, Method: "PUT"}, 700*time.Millisecond)
		return ticket, f.take(0)
	}
	if _, s := write(); s == nil || !s.SendBy.IsZero() || s.Timeout < 600*time.Millisecond {
		t.Fatalf("without a part: %+v", s)
	}
	part := allowance.Quota{Concurrency: true, Burst: 2, ThenBurst: 1}
	d.SetQuota(routing.OriginConcurrency, "", part, 200*time.Millisecond, 100*time.Millisecond)
	_, one := write()
	_, two := write()
	if one == nil || two == nil || one.SendBy.After(time.Now().Add(quotaSendWindow)) || one.Timeout > 300*time.Millisecond || one.Timeout < 200*time.Millisecond {
		t.Fatalf("under a part of two: %+v, %+v", one, two)
	}
	if ticket, s := write(); s != nil {
		t.Error("a third shot while two go on")
	} else if a, answered := got(ticket); !answered || a.Outcome != Rejected || a.RetryAfter == 0 {
		t.Errorf("what has no part is deferred at once: %+v, %v", a, answered)
	}
	if !d.quotas.boundsConcurrency(one) {
		t.Error("another may take its place while it goes on")
	}
	one.Finish(Complete, Answer{})
	two.Finish(Complete, Answer{})
	if u := d.SetQuota(routing.OriginConcurrency, "", part, 0, 0); u.Wanted != 3 || u.Done != 2 || u.InFlight != 0 {
		t.Errorf("told of %+v", u)
	}
	_, one = write()
	if _, two = write(); one == nil || two != nil || one.Timeout < 600*time.Millisecond {
		t.Errorf("after its end what is apart holds: %+v, %+v", one, two)
	}
	if u := d.SetQuota(routing.TenantRate, "nobody", part, 0, 0); u != (allowance.Usage{}) {
		t.Error("a partner of no name is bounded")
	}
}
