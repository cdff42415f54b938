package lease

import (
	"encoding/binary"
	"errors"
	"hash/fnv"
)

const (
	renewalsPerLease  = 3                  // a holder renews every 1/3 of a lease, so two renewals in a row may be lost
	waitDivisor       = 4                  // an acquire request waits at the leader for 1/4 of a lease duration
	retryDelayDivisor = 30                 // the minimum retry delay is 1/30 of a lease duration,
	maxRetryDelay     = 1000 * Millisecond // but at most this
	maxBackoffFactor  = 5                  // the jitter grows to at most 5 times the minimum retry delay
)

// ClaimantHost carries out the effects of a Claimant. None of its methods may call back into the Claimant.
type ClaimantHost interface {
	// Send sends a request. The host reports the outcome to Claimant.HandleResponse or HandleTimeout. Until then the
	// Claimant sends no other request, except to release or withdraw.
	Send(r Request)
	// Granted is called when the lease becomes held, with its fencing token.
	Granted(token uint64)
	// Lost is called when the lease is no longer held: actions under it must stop. reason is nil after Release.
	Lost(reason error)
	// SetAlarm schedules a call of Claimant.Alarm at or soon after time t. It replaces an earlier alarm.
	SetAlarm(t Time)
}

// Claimant acquires a lease and renews it until it is released. The holder measures the lease from before it sends a request,
// the granter from after it receives the request, so the holder's lease ends before the granter's. A Claimant is not
// safe for concurrent use.
type Claimant struct {
	host           ClaimantHost
	name           string
	holder         Holder
	holderDuration Time // by the holder's clock, see HolderDuration
	leaseDuration  Time // nominal

	token          uint64 // 0: none
	expiry         Time   // of the lease, by the holder's clock
	granted        bool   // the host was told by Granted that the lease is held
	requestPending bool
	released       bool
	nextRequest    Time   // time of the next request, unless one is pending
	failures       int    // consecutive failed requests, at most maxBackoffFactor
	seed           uint64 // for the jitter
	draws          uint64 // number of random numbers drawn
}

// NewClaimant returns a Claimant that has sent its first request. leaseDuration is the nominal duration of a lease, holderDuration
// its duration by the holder's clock. Claimants with different seeds have different backoff jitter.
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

// MayAct reports whether an action under the lease that takes the given duration may begin now, and returns the fencing token
// for it. Call MayAct again after any wait. The process may be suspended between this check and the action, so the target of
// the action must check the token too.
func (c *Claimant) MayAct(now, duration Time) (token uint64, allowed bool) {
	return c.token, c.granted && !c.released && now+duration < c.expiry
}

// Expiry returns the time at which the lease expires by the holder's clock, as of the last renewal known to it.
func (c *Claimant) Expiry() Time { return c.expiry }

// sendRequest sends an acquire or a renewal; once released, a release or a withdrawal.
func (c *Claimant) sendRequest() {
	r := Request{Operation: OpAcquire, Name: c.name, Holder: c.holder, MaxWait: c.leaseDuration / waitDivisor}
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

// HandleResponse handles the response to the pending request, which was sent at sentAt.
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

// handleLateResponse releases a lease that was granted while its request was being withdrawn.
func (c *Claimant) handleLateResponse(response Response) {
	if response.Err == nil && response.Token != 0 && c.token == 0 {
		c.token = response.Token
		c.sendRequest()
	}
}

// extendLease records a grant or a renewal whose request was sent at sentAt.
func (c *Claimant) extendLease(now, sentAt Time, token uint64) {
	c.failures = 0
	c.token = token
	c.expiry = max(c.expiry, sentAt+c.holderDuration)
	c.nextRequest = sentAt + c.leaseDuration/renewalsPerLease
	if now >= c.expiry { // the response came too late: only a renewal can show whether the lease is still held
		c.nextRequest = now
		return
	}
	if !c.granted {
		c.granted = true
		c.host.Granted(c.token)
	}
}

// HandleTimeout handles a pending request that got no response; it may or may not have reached the leader.
func (c *Claimant) HandleTimeout(now Time) {
	if !c.requestPending || c.released {
		return
	}
	c.requestPending = false
	c.scheduleRetry(now)
	c.scheduleAlarm(now)
}

// scheduleRetry schedules the next request after a delay whose random part grows with the number of consecutive failures.
func (c *Claimant) scheduleRetry(now Time) {
	c.failures = min(c.failures+1, maxBackoffFactor)
	base := min(c.leaseDuration/retryDelayDivisor, maxRetryDelay)
	c.nextRequest = now + base + Time(c.random()*float64(base)*float64(c.failures))
}

// random returns a pseudo-random number in [0, 1) that is determined by the seed and the number of earlier draws.
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

// dropLease discards the lease and, if it was held, reports the loss to the host.
func (c *Claimant) dropLease(reason error) {
	wasGranted := c.granted
	c.token = 0
	c.granted = false
	c.expiry = 0
	if wasGranted {
		c.host.Lost(reason)
	}
}

// Alarm ends an expired lease and sends a request that is due. The host calls it at or after the time passed to
// ClaimantHost.SetAlarm.
func (c *Claimant) Alarm(now Time) {
	if c.released {
		return
	}
	if c.granted && now >= c.expiry {
		// The lease may not have expired by the granter's clock yet. The token is kept: the next request is a renewal,
		// whose response shows whether the lease is still held.
		c.granted = false
		c.host.Lost(ErrLeaseExpired)
	}
	if !c.requestPending && now >= c.nextRequest {
		c.sendRequest()
	}
	c.scheduleAlarm(now)
}

// scheduleAlarm sets the alarm to the next request or the expiry, whichever comes first.
func (c *Claimant) scheduleAlarm(now Time) {
	if c.released {
		return
	}
	alarmTime := c.nextRequest
	if c.requestPending {
		if !c.granted {
			return // nothing to do until the outcome of the request is known
		}
		alarmTime = c.expiry
	} else if c.granted {
		alarmTime = min(alarmTime, c.expiry)
	}
	c.host.SetAlarm(max(alarmTime, now))
}

// Release releases the lease or withdraws the request for it. Call it after all actions under the lease have ended.
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
