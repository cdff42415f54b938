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
	SetAlarm(t Time)
}

// Config configures a Follower.
type Config struct {
	ParentCount        int     // number of parents
	HomeParentCount    int     // how many of them, the first ones, are in the follower's own region
	MinRequestInterval Time    // between two requests
	RetryBackoff       Time    // after a parent that failed, plus as much jitter; it doubles once all have failed
	MaxParentAge       Time    // of a parent's contents, beyond which the follower switches to another parent
	MaxResponseBytes   int     // see Request.MaxBytes
	RingBytes          int     // size of the ring kept for children, 0: the follower has none
	MaxDriftFraction   float64 // how far the rate of the follower's clock may be off, as a fraction
	JitterSeed         uint64  // of the jitter
}

// Follower keeps a Log up to date from one of several parents. It has one request in flight at a time. It is not safe for
// concurrent use.
type Follower struct {
	*Log
	host   Host
	config Config

	parentIndex      int
	leftHomeRegionAt Time // when the follower switched to a parent of another region
	requestID        uint64
	requestInFlight  bool
	sentAt           Time // of the latest request
	// nextRequestAt is the earliest time of the next request.
	nextRequestAt       Time
	consecutiveFailures int // in a row
	randomDraws         uint64

	stagedState map[string]Change // a state that is being fetched, nil if none is

	ageKnown      bool
	ageMeasuredAt Time // by the follower's clock, when the request was sent whose response had parentAge
	parentAge     Time
}

// Snapshot is a stored state and its position. It has no ring, so a follower with children can't start from it.
type Snapshot struct {
	Position
	State map[string]Change
}

// NewFollower returns a follower that starts from a snapshot, or from nothing, and sends its first request at the first alarm.
func NewFollower(host Host, now Time, config Config, snapshot *Snapshot, disabled DisabledSafeguards) *Follower {
	f := &Follower{Log: NewLog(config.RingBytes), host: host, config: config, nextRequestAt: now}
	f.disabled = disabled
	if snapshot != nil && (config.RingBytes == 0 || disabled.StartRelayWithoutRing) {
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
	return f.parentAge + f.maxTrueDuration(now-f.ageMeasuredAt), true
}

// maxTrueDuration returns the longest true time that may have passed while the follower's clock advanced by d.
func (f *Follower) maxTrueDuration(d Time) Time {
	if f.disabled.IgnoreClockDrift {
		return d
	}
	return Time(float64(d)/(1-f.config.MaxDriftFraction)) + 1
}

// random returns the follower's next random number in [0, 1).
func (f *Follower) random() float64 {
	f.randomDraws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], f.config.JitterSeed)
	binary.LittleEndian.PutUint64(b[8:], f.randomDraws)
	h := fnv.New64a()
	_, _ = h.Write(b[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

func (f *Follower) send(now Time) {
	if f.parentIndex >= f.config.HomeParentCount && now-f.leftHomeRegionAt >= homeRetryInterval {
		f.parentIndex = 0
		f.leftHomeRegionAt = now
	}
	if f.position.Epoch == 0 && f.stagedState == nil {
		f.stagedState = map[string]Change{}
	}
	f.requestID++
	f.requestInFlight = true
	f.sentAt = now
	f.nextRequestAt = now + f.config.MinRequestInterval
	req := Request{ID: f.requestID, Position: f.position, MaxBytes: f.config.MaxResponseBytes, NeedRing: f.config.RingBytes > 0}
	if f.stagedState != nil {
		req.Digests = bucketDigests(f.stagedState)
	}
	f.host.Send(f.parentIndex, req)
}

// switchParent goes on with the next parent, after a backoff.
func (f *Follower) switchParent(now Time) {
	f.parentIndex = (f.parentIndex + 1) % f.config.ParentCount
	if f.parentIndex == f.config.HomeParentCount {
		f.leftHomeRegionAt = now
	}
	f.consecutiveFailures++
	backoff := f.backoff()
	jitter := Time(f.random() * float64(backoff))
	f.nextRequestAt = max(f.nextRequestAt, now+backoff+jitter)
	f.scheduleAlarm()
}

// backoff returns the time to wait after a failure, without jitter.
func (f *Follower) backoff() Time {
	failedRounds := f.consecutiveFailures / (f.config.ParentCount + 1) // in which all parents have failed
	factor := min(1<<min(failedRounds, 8), maxBackoffFactor)
	return f.config.RetryBackoff * Time(factor)
}

func (f *Follower) scheduleAlarm() { f.host.SetAlarm(f.nextRequestAt) }

// Alarm must be called at or soon after the time that Host.SetAlarm named.
func (f *Follower) Alarm(now Time) {
	switch {
	case f.requestInFlight:
		return
	case now >= f.nextRequestAt:
		f.send(now)
	default:
		f.scheduleAlarm()
	}
}

// HandleTimeout reports that a request failed, or that its parent was silent for too long.
func (f *Follower) HandleTimeout(now Time, id uint64) {
	if !f.requestInFlight || id != f.requestID {
		return
	}
	f.requestInFlight = false
	f.switchParent(now)
}

// HandleResponse takes the response to a request. It returns an error if the response doesn't verify; the follower is then
// unchanged but for its parent, and the caller should close the connection. Responses to earlier requests are ignored.
func (f *Follower) HandleResponse(now Time, id uint64, resp Response) error {
	isCurrent := f.requestInFlight && id == f.requestID
	if !isCurrent && !f.disabled.AcceptStaleResponse {
		return nil // it doesn't have what was agreed before the current request was sent
	}
	f.requestInFlight = false
	if resp.Err != nil {
		f.switchParent(now)
		return nil
	}
	if err := resp.verify(f.position, f.disabled); err != nil && !f.disabled.AcceptMalformed {
		f.switchParent(now)
		return err
	}
	if err := f.apply(resp); err != nil {
		f.switchParent(now)
		return err
	}
	f.consecutiveFailures = 0
	if !resp.isPartial() || f.disabled.AgeFromPartialResponse {
		f.updateAge(now, resp.Age)
	}
	if age, known := f.Age(now); known && resp.Age > f.config.MaxParentAge && age > f.config.MaxParentAge {
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
		if f.stagedState == nil {
			f.stagedState = maps.Clone(f.state)
		}
		return nil
	case resp.Buckets != nil:
		f.stageBuckets(resp)
		return nil
	}
	return f.applyChanges(resp)
}

func (f *Follower) applyChanges(resp Response) error {
	f.stagedState = nil // this parent's ring reaches back far enough
	for _, c := range resp.Changes {
		if err := f.Add(c); err != nil && !f.disabled.AcceptMalformed {
			return err
		}
		f.host.Apply(c)
	}
	if f.disabled.AcceptMalformed {
		f.position = resp.Position
	}
	return nil
}

// updateAge takes over the parent's age if that gives a lower bound than the present one.
func (f *Follower) updateAge(now, age Time) {
	if f.disabled.IgnoreParentAge {
		age = 0
	}
	measuredAt := f.sentAt // the response has everything that the parent had at that time
	if f.disabled.AgeFromResponseTime {
		measuredAt = now
	}
	if currentAge, known := f.Age(now); !known || age+f.maxTrueDuration(now-measuredAt) < currentAge {
		f.ageKnown = true
		f.ageMeasuredAt = measuredAt
		f.parentAge = age
	}
}

// stageBuckets takes in buckets of a state. Once all are there it replaces the present state in one step.
func (f *Follower) stageBuckets(resp Response) {
	if f.stagedState == nil || f.disabled.ApplyPartialState {
		f.stagedState = maps.Clone(f.state)
	}
	for b, changes := range resp.Buckets {
		maps.DeleteFunc(f.stagedState, func(key string, _ Change) bool { return bucketOf(key) == b })
		for _, c := range changes {
			f.stagedState[stateKey(c)] = c
		}
	}
	if f.disabled.ApplyPartialState {
		f.state = maps.Clone(f.stagedState)
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
	missedAfter := min(resp.From, f.position.Revision)
	f.install(f.stagedState, resp)
	f.stagedState = nil
	f.host.StateReplaced()
	if missedAfter < resp.Revision && !f.disabled.HideMissedEvents {
		f.host.EventsMissed(resp.Epoch, missedAfter, resp.Revision)
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
