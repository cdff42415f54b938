package changelog

import (
	"encoding/binary"
	"hash/fnv"
	"maps"

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	// maxBackoffFactor is the maximum of the backoff as a multiple of Config.RetryBackoff.
	maxBackoffFactor = 16
	// homeRetryInterval is how long a follower polls parents of other regions before it tries its own region's parents again.
	homeRetryInterval = 10_000 * lease.Millisecond
)

// Host sends requests and sets alarms for a Follower and receives its notifications. Its methods must not block and must not call
// the Follower.
type Host interface {
	// Send sends a request to the parent with an index. The caller of the Follower then reports the outcome with HandleResponse or
	// HandleTimeout.
	Send(parent int, r Request)
	// Apply notifies of the next change, which the follower has added to its log.
	Apply(c Change)
	// StateReplaced notifies that the whole state was replaced. Follower.State returns the new one.
	StateReplaced()
	// EventsMissed notifies that events of an epoch with revisions above after and up to upTo may have been skipped. Apply isn't
	// called for skipped events.
	EventsMissed(epoch, after, upTo uint64)
	// SetAlarm schedules a call of Follower.Alarm at or soon after time t. It replaces an earlier alarm.
	SetAlarm(t Time)
}

// Config configures a Follower.
type Config struct {
	ParentCount        int     // number of parents; Host.Send names them by index
	HomeParentCount    int     // number of parents in the follower's own region; they have the lowest indexes
	MinRequestInterval Time    // minimum time from one request to the next
	RetryBackoff       Time    // delay after a parent fails, before doubling; random jitter of up to the delay is added
	MaxParentAge       Time    // the follower switches parents if both its own and the parent's contents are older than this
	MaxResponseBytes   int     // passed to parents as Request.MaxBytes
	RingBytes          int     // size limit of the ring that serves children; 0 if the follower has no children
	MaxDriftFraction   float64 // maximum relative error of the rate of the follower's clock
	JitterSeed         uint64  // seed of the random jitter
}

// Follower keeps a Log up to date by polling one of several parents. It has at most one request in flight. It is not safe for
// concurrent use.
type Follower struct {
	*Log
	host   Host
	config Config

	parentIndex      int
	leftHomeRegionAt Time // when the follower last switched to the first parent of another region, or last tried its own region again
	requestID        uint64
	requestInFlight  bool
	sentAt           Time // when the latest request was sent
	// nextRequestAt is the earliest time at which the next request may be sent.
	nextRequestAt       Time
	consecutiveFailures int
	randomDraws         uint64 // number of calls of random

	stagedState map[string]Change // a state that is being fetched bucket by bucket; nil if none is

	ageKnown      bool
	ageMeasuredAt Time // when, by its own clock, the follower sent the request whose response carried parentAge
	parentAge     Time // Response.Age of that response
}

// Snapshot is a stored state and its position. It has no ring, so a follower with children doesn't start from it.
type Snapshot struct {
	Position
	State map[string]Change
}

// NewFollower returns a follower that starts from a snapshot, or empty if snapshot is nil or the follower has children. It sets an
// alarm for its first request.
func NewFollower(host Host, now Time, config Config, snapshot *Snapshot, disabled DisabledSafeguards) *Follower {
	f := &Follower{Log: NewLog(config.RingBytes), host: host, config: config, nextRequestAt: now}
	f.disabled = disabled
	if snapshot != nil && (config.RingBytes == 0 || disabled.StartRelayWithoutRing) {
		f.install(maps.Clone(snapshot.State), Response{Position: snapshot.Position})
	}
	host.SetAlarm(now)
	return f
}

// Age returns an upper bound on how outdated the follower is: it has every change that was committed longer ago than that. The bound
// is in true time, which the follower's clock may deviate from. Age returns false if no bound is known.
func (f *Follower) Age(now Time) (Time, bool) {
	if !f.ageKnown {
		return 0, false
	}
	return f.parentAge + f.maxTrueDuration(now-f.ageMeasuredAt), true
}

// maxTrueDuration returns the longest true time that may pass while the follower's clock advances by d.
func (f *Follower) maxTrueDuration(d Time) Time {
	if f.disabled.IgnoreClockDrift {
		return d
	}
	return Time(float64(d)/(1-f.config.MaxDriftFraction)) + 1
}

// random returns the next pseudorandom number in [0, 1).
func (f *Follower) random() float64 {
	f.randomDraws++
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], f.config.JitterSeed)
	binary.LittleEndian.PutUint64(b[8:], f.randomDraws)
	h := fnv.New64a()
	_, _ = h.Write(b[:])
	return float64(h.Sum64()%(1<<20)) / (1 << 20)
}

// send sends a request for the changes after the follower's position. It requests state instead if the follower has no epoch yet or
// is fetching a state.
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

// switchParent switches to the next parent, because the current one failed or its contents are too old, and schedules the next request
// after a backoff with jitter.
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

// backoff returns the delay after a failure, without jitter. It doubles with every ParentCount+1 consecutive failures, up to
// maxBackoffFactor times Config.RetryBackoff.
func (f *Follower) backoff() Time {
	failedRounds := f.consecutiveFailures / (f.config.ParentCount + 1)
	factor := min(1<<min(failedRounds, 8), maxBackoffFactor)
	return f.config.RetryBackoff * Time(factor)
}

func (f *Follower) scheduleAlarm() { f.host.SetAlarm(f.nextRequestAt) }

// Alarm sends the next request if it is due. It must be called at or soon after the time passed to Host.SetAlarm.
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

// HandleTimeout handles the failure of a request or the lack of a response in time. It ignores requests before the latest one.
func (f *Follower) HandleTimeout(now Time, id uint64) {
	if !f.requestInFlight || id != f.requestID {
		return
	}
	f.requestInFlight = false
	f.switchParent(now)
}

// HandleResponse handles the response to the request with an ID. It ignores responses to requests before the latest one. If it
// returns an error, the follower has switched parents, and the caller should close the connection. A response that fails
// verification is not applied. If a change would exceed the size limit of the state, only the changes before it are applied.
func (f *Follower) HandleResponse(now Time, id uint64, resp Response) error {
	isCurrent := f.requestInFlight && id == f.requestID
	if !isCurrent && !f.disabled.AcceptStaleResponse {
		return nil // the response may lack changes that were committed before the current request was sent
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

// apply applies the contents of a response that was verified.
func (f *Follower) apply(resp Response) error {
	switch {
	case resp.BelowFloor:
		if f.stagedState == nil { // the next request carries digests of the current state, to fetch only buckets that differ
			f.stagedState = maps.Clone(f.state)
		}
		return nil
	case resp.Buckets != nil:
		f.stageBuckets(resp)
		return nil
	}
	return f.applyChanges(resp)
}

// applyChanges adds the changes of a response to the log and passes them to the host.
func (f *Follower) applyChanges(resp Response) error {
	f.stagedState = nil // this parent's ring includes the follower's position, so no state is needed
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

// updateAge stores the age of a parent's contents if that lowers the upper bound that Age returns.
func (f *Follower) updateAge(now, age Time) {
	if f.disabled.IgnoreParentAge {
		age = 0
	}
	measuredAt := f.sentAt // the response has every change that the parent had when the request was sent
	if f.disabled.AgeFromResponseTime {
		measuredAt = now
	}
	if currentAge, known := f.Age(now); !known || age+f.maxTrueDuration(now-measuredAt) < currentAge {
		f.ageKnown = true
		f.ageMeasuredAt = measuredAt
		f.parentAge = age
	}
}

// stageBuckets stores the buckets of a response in the staged state. After the last bucket, the staged state replaces the current
// one in one step.
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

// installStaged replaces the log with the staged state and notifies the host of events that it may have missed.
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

// Serve returns the response to a child's request from the follower's log, with the follower's Age. The response has
// ErrNotReady until that age is known.
func (f *Follower) Serve(now Time, r Request) Response {
	age, known := f.Age(now)
	if !known {
		return Response{Err: ErrNotReady}
	}
	return f.Respond(r, age)
}
