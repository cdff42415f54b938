package changelog

import (
	"encoding/binary"
	"hash/fnv"
	"maps"

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	againMost = 16                         // times the first wait, once all parents have failed again and again
	homeAfter = 10_000 * lease.Millisecond // on another region's relay, until its own are tried again
)

// Host is all that a Follower can do. None of the methods may block or call back.
type Host interface {
	// Send sends an asking to a parent, by its place in the child's order; Answered or Unanswered tells how it went.
	Send(parent int, a Request)
	// Apply tells of the next change.
	Apply(c Change)
	// Replace tells that the state is another one as a whole: State has it.
	Replace()
	// Missed tells that events of an epoch after one revision up to another may not have been told, and won't be.
	Missed(epoch, after, upTo uint64)
	// SetAlarm asks for Alarm at that time or soon after.
	SetAlarm(at Time)
}

// Config is how a child goes about it.
type Config struct {
	Parents int     // how many there are,
	Home    int     // and how many of them are its own region's, the first ones
	Every   Time    // least between two askings
	Again   Time    // and after a parent that failed, spread by as much; it doubles once all have
	Stale   Time    // age past which it asks another parent
	Most    int     // bytes of an answer
	Ring    int     // bytes of the ring that it keeps for others, 0: it serves none
	Drift   float64 // how far its clock may be from its true rate
	Seed    uint64
}

// Follower is a child's side: a node's, or a relay's towards the leader. It has one asking out at a time. It is not safe for
// concurrent use.
type Follower struct {
	*Log
	host  Host
	terms Config

	parent int
	away   Time // since when it is on a parent that isn't its own region's
	id     uint64
	out    bool
	sent   Time // of the latest asking,
	next   Time // and when another may follow
	failed int  // in a row
	drawn  uint64

	staged map[string]Change // the state to come, where the place is below a parent's floor

	known bool // whether an age was ever told
	asOf  Time // our clock when the asking was sent that the age was told to,
	age   Time // and what the parent said of its own
}

// Saved is a state and a place as they were written down once: a node's, which keeps no ring for others.
type Saved struct {
	Position
	State map[string]Change
}

// NewFollower makes one that knows what was saved, or nothing, and asks at the first alarm.
func NewFollower(host Host, now Time, t Config, saved *Saved, u Unsafe) *Follower {
	f := &Follower{Log: NewLog(t.Ring), host: host, terms: t, next: now}
	f.unsafe = u
	if saved != nil && (t.Ring == 0 || u.Ring) {
		f.settle(maps.Clone(saved.State), Response{Position: saved.Position})
	}
	host.SetAlarm(now)
	return f
}

// Age gives an upper bound on how long ago what isn't known here may have been agreed, in true time; false: there is none.
func (f *Follower) Age(now Time) (Time, bool) {
	if !f.known {
		return 0, false
	}
	return f.age + f.long(now-f.asOf), true
}

// long turns a span of our clock into the most that it may be in true time.
func (f *Follower) long(span Time) Time {
	if f.unsafe.Drift {
		return span
	}
	return Time(float64(span)/(1-f.terms.Drift)) + 1
}

// draw gives the next number in [0, 1) of this child's own chance.
func (f *Follower) draw() float64 {
	f.drawn++
	h := fnv.New64a()
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], f.terms.Seed)
	binary.LittleEndian.PutUint64(b[8:], f.drawn)
	_, _ = h.Write(b[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

func (f *Follower) ask(now Time) {
	if f.parent >= f.terms.Home && now-f.away >= homeAfter {
		f.parent, f.away = 0, now
	}
	f.id++
	f.out, f.sent, f.next = true, now, now+f.terms.Every
	a := Request{ID: f.id, Position: f.place, Most: f.terms.Most, Ring: f.terms.Ring > 0}
	if f.place.Epoch == 0 && f.staged == nil {
		f.staged = map[string]Change{}
	}
	if f.staged != nil {
		a.Digests = digestsOf(f.staged)
	}
	f.host.Send(f.parent, a)
}

// another goes on with the next parent.
func (f *Follower) another(now Time) {
	if f.parent = (f.parent + 1) % f.terms.Parents; f.parent == f.terms.Home {
		f.away = now
	}
	f.failed++
	wait := f.terms.Again * Time(min(1<<min(f.failed/(f.terms.Parents+1), 8), againMost))
	f.next = max(f.next, now+wait+Time(f.draw()*float64(wait)))
	f.wake()
}

func (f *Follower) wake() { f.host.SetAlarm(f.next) }

// Alarm comes at or after a time asked for with Wake.
func (f *Follower) Alarm(now Time) {
	if !f.out && now >= f.next {
		f.ask(now)
	} else if !f.out {
		f.wake()
	}
}

// HandleTimeout tells that an asking came to nothing, or that its parent was silent for too long.
func (f *Follower) HandleTimeout(now Time, id uint64) {
	if !f.out || id != f.id {
		return
	}
	f.out = false
	f.another(now)
}

// HandleResponse tells what came of an asking. What can't be is refused, whole; the error says so, and the connection is to be closed.
func (f *Follower) HandleResponse(now Time, id uint64, x Response) error {
	if !f.unsafe.Late && (!f.out || id != f.id) {
		return nil // an earlier one's: it says nothing of what was agreed before this one was sent
	}
	f.out = false
	if x.Err != nil {
		f.another(now)
		return nil
	}
	if err := x.sound(f.place, f.unsafe); err != nil && !f.unsafe.Garbled {
		f.another(now)
		return err
	}
	switch {
	case x.Below:
		if f.staged == nil {
			f.staged = maps.Clone(f.state)
		}
	case x.Buckets != nil:
		f.stage(x)
	default:
		f.staged = nil // a parent whose ring reaches back to us
		for _, c := range x.Changes {
			if err := f.Add(c); err != nil && !f.unsafe.Garbled {
				f.another(now)
				return err
			}
			f.host.Apply(c)
		}
		if f.unsafe.Garbled {
			f.place = x.Position
		}
	}
	f.failed = 0
	if whole := !x.Below && (x.Buckets == nil || x.Settled) && !x.More; whole || f.unsafe.Partial {
		f.fresh(now, x.Age)
	}
	if age, known := f.Age(now); known && x.Age > f.terms.Stale && age > f.terms.Stale {
		f.another(now)
		return nil
	}
	f.wake()
	return nil
}

// fresh takes an age over, if it is less than what is known.
func (f *Follower) fresh(now, age Time) {
	if f.unsafe.Parent {
		age = 0
	}
	from := f.sent // all that the parent had then is in its answer
	if f.unsafe.Answer {
		from = now
	}
	if was, known := f.Age(now); !known || age+f.long(now-from) < was {
		f.known, f.asOf, f.age = true, from, age
	}
}

// stage takes whole buckets, and once there are all makes them the state in one step.
func (f *Follower) stage(x Response) {
	if f.staged == nil || f.unsafe.Torn {
		f.staged = maps.Clone(f.state)
	}
	for b, all := range x.Buckets {
		maps.DeleteFunc(f.staged, func(key string, _ Change) bool { return bucketOf(key) == b })
		for _, c := range all {
			f.staged[keyOf(c)] = c
		}
	}
	if f.unsafe.Torn {
		f.state = maps.Clone(f.staged)
		f.host.Replace()
	}
	if !x.Settled {
		return
	}
	if f.place.Epoch != x.Epoch {
		f.known = false
	}
	from := min(x.From, f.place.Revision)
	f.settle(f.staged, x)
	f.staged = nil
	f.host.Replace()
	if !f.unsafe.Missed && from < x.Revision {
		f.host.Missed(x.Epoch, from, x.Revision)
	}
}

// Serve answers a child of ours: with what a parent has told us, and how old that is.
func (f *Follower) Serve(now Time, a Request) Response {
	age, known := f.Age(now)
	if !known {
		return Response{Err: ErrNotReady}
	}
	return f.Respond(a, age)
}
