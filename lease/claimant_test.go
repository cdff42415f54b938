package lease

import (
	"slices"
	"testing"
)

// recordingHost is a ClaimantHost that records the calls of a Claimant.
type recordingHost struct {
	requests []Request
	tokens   []uint64
	losses   int
}

func (h *recordingHost) Send(r Request)       { h.requests = append(h.requests, r) }
func (h *recordingHost) Granted(token uint64) { h.tokens = append(h.tokens, token) }
func (h *recordingHost) Lost(error)           { h.losses++ }
func (h *recordingHost) SetAlarm(Time)        {}

// Each case starts with a Claimant that sent its first request at time 0. The case states which operations the Claimant sends
// and whether MayAct allows an action at checkTime.
func TestClaimant(t *testing.T) {
	holderDuration := HolderDuration(testLeaseDuration, 0.01)
	grant := Response{Token: 7}
	for _, c := range []struct {
		name           string
		run            func(c *Claimant)
		checkTime      Time
		wantAllowed    bool
		wantOperations []string
	}{
		{"granted", func(c *Claimant) { c.HandleResponse(1, 0, grant) }, 1, true, []string{OpAcquire}},
		{"expiry measured from the time the request was sent", func(c *Claimant) { c.HandleResponse(holderDuration-1, 0, grant) }, holderDuration, false, []string{OpAcquire}},
		{"response later than a lease duration: renewed before use", func(c *Claimant) {
			c.HandleResponse(holderDuration, 0, grant)
			c.Alarm(holderDuration)
		}, holderDuration, false, []string{OpAcquire, OpRenew}},
		{"no response to renewals", func(c *Claimant) {
			c.HandleResponse(1, 0, grant)
			c.Alarm(testLeaseDuration / renewalsPerLease)
			c.HandleTimeout(testLeaseDuration / 2)
			c.Alarm(holderDuration)
		}, holderDuration, false, []string{OpAcquire, OpRenew, OpRenew}},
		{"expired at the leader: acquired again", func(c *Claimant) {
			c.HandleResponse(1, 0, grant)
			c.Alarm(testLeaseDuration / renewalsPerLease)
			c.HandleResponse(testLeaseDuration/2, testLeaseDuration/renewalsPerLease, Response{Err: ErrLeaseExpired})
			c.Alarm(testLeaseDuration)
		}, testLeaseDuration / 2, false, []string{OpAcquire, OpRenew, OpAcquire}},
		{"released during a renewal: late response ignored", func(c *Claimant) {
			c.HandleResponse(1, 0, grant)
			c.Alarm(testLeaseDuration / renewalsPerLease)
			c.Release(testLeaseDuration / 2)
			c.HandleResponse(testLeaseDuration/2+1, testLeaseDuration/renewalsPerLease, grant)
		}, testLeaseDuration/2 + 1, false, []string{OpAcquire, OpRenew, OpRelease}},
		{"granted while the request was being withdrawn: released", func(c *Claimant) {
			c.Release(1)
			c.HandleResponse(2, 0, grant)
		}, 2, false, []string{OpAcquire, OpWithdraw, OpRelease}},
	} {
		host := &recordingHost{}
		claimant := NewClaimant(host, 0, "task", holder(1), testLeaseDuration, holderDuration, 1)
		c.run(claimant)
		var operations []string
		for _, r := range host.requests {
			operations = append(operations, r.Operation)
		}
		if _, allowed := claimant.MayAct(c.checkTime, 0); allowed != c.wantAllowed || !slices.Equal(operations, c.wantOperations) || len(host.tokens) > 0 && !allowed && c.checkTime < holderDuration && host.losses == 0 {
			t.Errorf("%s: MayAct %v, operations %v, want %v, %v", c.name, allowed, operations, c.wantAllowed, c.wantOperations)
		}
	}
}
