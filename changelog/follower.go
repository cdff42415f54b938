package changelog

import (
	"encoding/binary"
	"hash/fnv"
	"maps"

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	// maxBackoffFactor limits the backoff to so many times Config.RetryBackoff.
	maxBackoffFactor = 16
	// homeRetryInterval is how long a follower stays with a parent of another region before it tries its own region's again.
	homeRetryInterval = 10_000 * lease.Millisecond
)

// Host performs the actions of a Follower. Its methods must neither block nor call back.
type Host interface {
	// Send sends a request to a parent, by its index. HandleResponse or HandleTimeout reports the outcome.
	Send(parent int, r Request)
	// Apply passes on the next change.
	Apply(c Change)
	// StateReplaced notifies that the state as a whole is another one, which Follower.State returns.
	StateReplaced()
	// EventsMissed notifies that events of an epoch, after one revision and up to another, may never be passed to Apply.
	EventsMissed(epoch, after, upTo uint64)
	// SetAlarm schedules a call of Follower.Alarm at that time or soon after; it replaces an earlier alarm.
	SetAlarm(at Time)
}

// Config configures a Follower.
type Config struct {
	Parents          int     // number of parents
	HomeParents      int     // how many of them, the first ones, are in the follower's own region
	MinInterval      Time    // between two requests
	RetryBackoff     Time    // after a parent that failed, plus as much jitter; it doubles once all have failed
	MaxAge           Time    // of a parent's contents, beyond which the follower switches to another parent
	MaxResponseBytes int     // see Request.MaxBytes
	RingBytes        int     // size of the ring kept for children, 0: the follower has none
	MaxDrift         float64 // how far the rate of the follower's clock may be off, as a fraction
	Seed             uint64  // of the jitter
}

// Follower keeps a Log up to date from one of several parents. It has one request in flight at a time. It is not safe for
// concurrent use.
type Follower struct {
	*Log
	host   Host
	config Config

	parent    int
	awaySince Time // when the follower switched to a parent of another region
	requestID uint64
	inFlight  bool
	sentAt    Time // of the latest request
	// nextRequest is the earliest time of the next request.
	nextRequest Time
	failures    int // in a row
	draws       uint64

	staged map[string]Change // a state that is being fetched, nil if none is

	ageKnown  bool
	ageAt     Time // by the follower's clock, when the request was sent whose response had parentAge
	parentAge Time
}

// Snapshot is a stored state and its position. It has no ring, so a follower with children can't start from it.
type Snapshot struct {
	Position
	State map[string]Change
}

// NewFollower returns a follower that starts from a snapshot, or from nothing, and sends its first request at the first alarm.
func NewFollower(host Host, now Time, config Config, snapshot *Snapshot, u Unsafe) *Follower {
	f := &Follower{Log: NewLog(config.RingBytes), host: host, config: config, nextRequest: now}
	f.unsafe = u
	if snapshot != nil && (config.RingBytes == 0 || u.RelayWithoutRing) {
		f.install(maps.Clone(snapshot.State), Response{Position: snapshot.Position})
	}
	host.SetAlarm(now)
	return f
}

// Age returns an upper bound, in true time, on how long ago anything may have been agreed that the follower doesn't have; false
// if there is none.
func (f *Follower) Age(now Time) (Time, bool) {
	if !f.ageKnown {
		return 0, false
	}
	return f.parentAge + f.trueDuration(now-f.ageAt), true
}

// trueDuration returns the longest true time that may have passed while the follower's clock advanced by d.
func (f *Follower) trueDuration(d Time) Time {
	if f.unsafe.IgnoreDrift {
		return d
	}
	return Time(float64(d)/(1-f.config.MaxDrift)) + 1
}

// random returns the follower's next random number in [0, 1).
func (f *Follower) random() float64 {
	f.draws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], f.config.Seed)
	binary.LittleEndian.PutUint64(b[8:], f.draws)
	h := fnv.New64a()
	_, _ = h.Write(b[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

func (f *Follower) send(now Time) {
	if f.parent >= f.config.HomeParents && now-f.awaySince >= homeRetryInterval {
		f.parent = 0
		f.awaySince = now
	}
	if f.position.Epoch == 0 && f.staged == nil {
		f.staged = map[string]Change{}
	}
	f.requestID++
	f.inFlight = true
	f.sentAt = now
	f.nextRequest = now + f.config.MinInterval
	req := Request{ID: f.requestID, Position: f.position, MaxBytes: f.config.MaxResponseBytes, NeedRing: f.config.RingBytes > 0}
	if f.staged != nil {
		req.Digests = bucketDigests(f.staged)
	}
	f.host.Send(f.parent, req)
}

// switchParent goes on with the next parent, after a backoff.
func (f *Follower) switchParent(now Time) {
	f.parent = (f.parent + 1) % f.config.Parents
	if f.parent == f.config.HomeParents {
		f.awaySince = now
	}
	f.failures++
	backoff := f.backoff()
	jitter := Time(f.random() * float64(backoff))
	f.nextRequest = max(f.nextRequest, now+backoff+jitter)
	f.scheduleAlarm()
}

// backoff returns the time to wait after a failure, without jitter.
func (f *Follower) backoff() Time {
	rounds := f.failures / (f.config.Parents + 1) // in which all parents have failed
	factor := min(1<<min(rounds, 8), maxBackoffFactor)
	return f.config.RetryBackoff * Time(factor)
}

func (f *Follower) scheduleAlarm() { f.host.SetAlarm(f.nextRequest) }

// Alarm must be called at or soon after the time that Host.SetAlarm named.
func (f *Follower) Alarm(now Time) {
	switch {
	case f.inFlight:
		return
	case now >= f.nextRequest:
		f.send(now)
	default:
		f.scheduleAlarm()
	}
}

// HandleTimeout reports that a request failed, or that its parent was silent for too long.
func (f *Follower) HandleTimeout(now Time, id uint64) {
	if !f.inFlight || id != f.requestID {
		return
	}
	f.inFlight = false
	f.switchParent(now)
}

// HandleResponse takes the response to a request. It returns an error if the response doesn't verify; the follower is then
// unchanged but for its parent, and the caller should close the connection. Responses to earlier requests are ignored.
func (f *Follower) HandleResponse(now Time, id uint64, resp Response) error {
	current := f.inFlight && id == f.requestID
	if !current && !f.unsafe.AcceptLate {
		return nil // it doesn't have what was agreed before the current request was sent
	}
	f.inFlight = false
	if resp.Err != nil {
		f.switchParent(now)
		return nil
	}
	if err := resp.verify(f.position, f.unsafe); err != nil && !f.unsafe.AcceptGarbled {
		f.switchParent(now)
		return err
	}
	if err := f.apply(resp); err != nil {
		f.switchParent(now)
		return err
	}
	f.failures = 0
	if !resp.isPartial() || f.unsafe.AgeFromPartial {
		f.updateAge(now, resp.Age)
	}
	if age, known := f.Age(now); known && resp.Age > f.config.MaxAge && age > f.config.MaxAge {
		f.switchParent(now)
		return nil
	}
	f.scheduleAlarm()
	return nil
}

// apply takes in the contents of a response.
func (f *Follower) apply(resp Response) error {
	switch {
	case resp.BelowFloor:
		if f.staged == nil {
			f.staged = maps.Clone(f.state)
		}
		return nil
	case resp.Buckets != nil:
		f.stage(resp)
		return nil
	}
	return f.applyChanges(resp)
}

func (f *Follower) applyChanges(resp Response) error {
	f.staged = nil // this parent's ring reaches back far enough
	for _, c := range resp.Changes {
		if err := f.Add(c); err != nil && !f.unsafe.AcceptGarbled {
			return err
		}
		f.host.Apply(c)
	}
	if f.unsafe.AcceptGarbled {
		f.position = resp.Position
	}
	return nil
}

// updateAge takes over the parent's age if that gives a lower bound than the present one.
func (f *Follower) updateAge(now, age Time) {
	if f.unsafe.IgnoreParentAge {
		age = 0
	}
	from := f.sentAt // the response has everything that the parent had at that time
	if f.unsafe.AgeFromResponse {
		from = now
	}
	if before, known := f.Age(now); !known || age+f.trueDuration(now-from) < before {
		f.ageKnown = true
		f.ageAt = from
		f.parentAge = age
	}
}

// stage takes in buckets of a state. Once all are there it replaces the present state in one step.
func (f *Follower) stage(resp Response) {
	if f.staged == nil || f.unsafe.ApplyTorn {
		f.staged = maps.Clone(f.state)
	}
	for b, changes := range resp.Buckets {
		maps.DeleteFunc(f.staged, func(key string, _ Change) bool { return bucketOf(key) == b })
		for _, c := range changes {
			f.staged[stateKey(c)] = c
		}
	}
	if f.unsafe.ApplyTorn {
		f.state = maps.Clone(f.staged)
		f.host.StateReplaced()
	}
	if resp.Complete {
		f.installStaged(resp)
	}
}

func (f *Follower) installStaged(resp Response) {
	if f.position.Epoch != resp.Epoch {
		f.ageKnown = false
	}
	from := min(resp.From, f.position.Revision)
	f.install(f.staged, resp)
	f.staged = nil
	f.host.StateReplaced()
	if from < resp.Revision && !f.unsafe.HideMissed {
		f.host.EventsMissed(resp.Epoch, from, resp.Revision)
	}
}

// Serve answers a child of the follower, with what the follower has and how old that is.
func (f *Follower) Serve(now Time, r Request) Response {
	age, known := f.Age(now)
	if !known {
		return Response{Err: ErrNotReady}
	}
	return f.Respond(r, age)
}
