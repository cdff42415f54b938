package lease

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

const (
	renewalsPerLease  = 3                  // two renewals in a row may be lost
	waitDivisor       = 4                  // a request waits at the leader for a quarter of a lease
	retryDelayDivisor = 30                 // the first backoff after a failed request, as a part of a lease,
	maxRetryDelay     = 1000 * Millisecond // and its maximum
	maxBackoffFactor  = 5                  // the random part of the backoff grows up to so many times the first
)

// ClaimantHost carries out the effects of a Claimant. None of its methods may call back into the Claimant.
type ClaimantHost interface {
	// Send sends a request; Claimant.HandleResponse or HandleTimeout reports its outcome. Except for a release, no
	// further request is sent before that.
	Send(r Request)
	// Granted tells that the lease is held from now on, with this token.
	Granted(token uint64)
	// Lost tells that the lease is no longer held: acts under it have to end. reason is nil after Release.
	Lost(reason error)
	// SetAlarm requests a call of Claimant.Alarm at or soon after a time, in place of any earlier request.
	SetAlarm(t Time)
}

// Claimant acquires a lease and renews it until it is released. It counts the lease from before its request was sent,
// while the granter counts from after it came. It is not safe for concurrent use.
type Claimant struct {
	host           ClaimantHost
	name           string
	holder         Holder
	holderDuration Time // as counted here, see HolderDuration
	leaseDuration  Time // nominal

	token          uint64 // 0: none
	expiry         Time   // of the lease, by the holder's clock
	granted        bool   // the host was told that the lease is held
	requestPending bool
	released       bool
	nextRequest    Time
	failures       int // requests in a row that failed, up to maxBackoffFactor
	seed           uint64
	draws          uint64 // random numbers drawn so far
}

// NewClaimant returns a Claimant, which sends its first request at once. leaseDuration is the nominal duration of a lease,
// holderDuration its duration as counted by the holder. seed makes the backoff of different claimants differ.
func NewClaimant(host ClaimantHost, _ Time, name string, holder Holder, leaseDuration, holderDuration Time, seed uint64) *Claimant {
	c := &Claimant{
		host:           host,
		name:           name,
		holder:         holder,
		holderDuration: holderDuration,
		leaseDuration:  leaseDuration,
		seed:           seed,
	}
	c.sendRequest()
	return c
}

// MayAct reports whether an act of a given duration may begin now, and its fencing token. Call it again after any wait.
// The process may be suspended between this check and the act, so whatever is acted upon has to check the token too.
func (c *Claimant) MayAct(now, duration Time) (token uint64, allowed bool) {
	return c.token, c.granted && !c.released && now+duration < c.expiry
}

// Expiry returns until when the lease is held, by the holder's clock and as far as it knows.
func (c *Claimant) Expiry() Time { return c.expiry }

// sendRequest sends the request that the present state calls for.
func (c *Claimant) sendRequest() {
	r := Request{Operation: OpAcquire, Name: c.name, Holder: c.holder, Wait: c.leaseDuration / waitDivisor}
	switch {
	case c.released && c.token != 0:
		r.Operation = OpRelease
		r.Token = c.token
	case c.released:
		r.Operation = OpWithdraw
	case c.token != 0:
		r.Operation = OpRenew
		r.Token = c.token
	}
	c.requestPending = true
	c.host.Send(r)
}

// HandleResponse takes the response to the pending request, which was sent at sentAt.
func (c *Claimant) HandleResponse(now, sentAt Time, response Response) {
	if c.released {
		c.handleLateResponse(response)
		return
	}
	if !c.requestPending {
		return
	}
	c.requestPending = false
	switch {
	case response.Err == nil && (c.token == 0 || response.Token == c.token):
		c.extendLease(now, sentAt, response.Token)
	case errors.Is(response.Err, ErrLeaseExpired) || response.Err == nil:
		c.dropLease(response.Err)
		c.scheduleRetry(now)
	case errors.Is(response.Err, ErrStillHeld):
		c.failures = 0
		c.nextRequest = now
	default:
		c.scheduleRetry(now)
	}
	c.scheduleAlarm(now)
}

// handleLateResponse gives back a lease that was granted while the request for it was being withdrawn.
func (c *Claimant) handleLateResponse(response Response) {
	if response.Err == nil && response.Token != 0 && c.token == 0 {
		c.token = response.Token
		c.sendRequest()
	}
}

// extendLease notes a grant or a renewal, whose request was sent at sentAt.
func (c *Claimant) extendLease(now, sentAt Time, token uint64) {
	c.failures = 0
	c.token = token
	c.expiry = max(c.expiry, sentAt+c.holderDuration)
	c.nextRequest = sentAt + c.leaseDuration/renewalsPerLease
	if now >= c.expiry { // the response was late: only a renewal can show that the lease is still held
		c.nextRequest = now
		return
	}
	if !c.granted {
		c.granted = true
		c.host.Granted(c.token)
	}
}

// HandleTimeout notes that the pending request has failed; whether it reached the leader is unknown.
func (c *Claimant) HandleTimeout(now Time) {
	if !c.requestPending || c.released {
		return
	}
	c.requestPending = false
	c.scheduleRetry(now)
	c.scheduleAlarm(now)
}

// scheduleRetry sets the time of the next request by a backoff with jitter.
func (c *Claimant) scheduleRetry(now Time) {
	c.failures = min(c.failures+1, maxBackoffFactor)
	base := min(c.leaseDuration/retryDelayDivisor, maxRetryDelay)
	c.nextRequest = now + base + Time(c.random()*float64(base)*float64(c.failures))
}

// random returns the next number in [0, 1) of this claimant's own sequence.
func (c *Claimant) random() float64 {
	const resolution = 1 << 20
	c.draws++
	hash := fnv.New64a()
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], c.seed)
	binary.LittleEndian.PutUint64(buf[8:], c.draws)
	hash.Write(buf[:])
	return float64(hash.Sum64()%resolution) / resolution
}

// dropLease forgets the lease, and tells the host if it held it.
func (c *Claimant) dropLease(reason error) {
	wasGranted := c.granted
	c.token = 0
	c.granted = false
	c.expiry = 0
	if wasGranted {
		c.host.Lost(reason)
	}
}

// Alarm ends an expired lease and sends a request that is due. It is called at or after the time given to
// ClaimantHost.SetAlarm.
func (c *Claimant) Alarm(now Time) {
	if c.released {
		return
	}
	if c.granted && now >= c.expiry {
		// By the granter's count it may still be held, so the token stays, and a renewal will tell.
		c.granted = false
		c.host.Lost(ErrLeaseExpired)
	}
	if !c.requestPending && now >= c.nextRequest {
		c.sendRequest()
	}
	c.scheduleAlarm(now)
}

// scheduleAlarm requests an alarm for the next request or the expiry, whichever comes first.
func (c *Claimant) scheduleAlarm(now Time) {
	if c.released {
		return
	}
	alarmTime := c.nextRequest
	if c.requestPending {
		if !c.granted {
			return // the outcome of the request comes first
		}
		alarmTime = c.expiry
	} else if c.granted {
		alarmTime = min(alarmTime, c.expiry)
	}
	c.host.SetAlarm(max(alarmTime, now))
}

// Release gives up the lease, or the attempt to acquire it. Call it once all acts under the lease have ended.
func (c *Claimant) Release(_ Time) {
	if c.released {
		return
	}
	c.released = true
	if c.granted {
		c.granted = false
		c.host.Lost(nil)
	}
	c.sendRequest()
}
