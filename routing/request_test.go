package routing

import (
	"testing"
)

// An attempt that ends with EndedBeforeWrite must not change what is known of its server, even if it waited long for a
// connection. Its retry budget and slow-start tokens are refunded, unless the server has restarted since.
func TestEndedBeforeWriteAttemptIsRefunded(t *testing.T) {
	for _, restarted := range []bool{false, true} {
		f := newFakeHost(1, 2)
		k := key(f.b, 0)
		for _, s := range f.b.servers[:2] {
			s.StartedAt, s.slowStartTokens, s.slowStartRefilledAt = f.now-100*Millisecond, 3, f.now
		}
		f.b.warmCacheRate = 1000
		f.b.servers[2].inFlight = 99
		id, client := f.request(0, k, false, f.now+9000)
		f.attemptDone(id, 0, ServerError) // the next attempt is a retry, which costs retry budget
		if len(client.attempts) != 2 {
			t.Fatalf("%d attempts, want 2", len(client.attempts))
		}
		s := f.b.servers[client.attempts[1].server]
		retryBudget, tokens, limit, latency := s.retryBudget, s.slowStartTokens, s.concurrencyLimit, s.meanLatency
		f.now += 150 * Millisecond // counts as slow
		if restarted {
			f.endpoints[client.attempts[1].server].StartedAt = f.now - Millisecond
			f.b.UpdateEndpoints(f.now, Incremental, f.endpoints)
			s = f.b.servers[client.attempts[1].server]
			retryBudget, tokens = s.retryBudget-1, s.slowStartTokens-1
		}
		f.attemptDone(id, 1, EndedBeforeWrite)
		if s.inFlight != 0 || s.retryBudget != retryBudget+1 || s.slowStartTokens != tokens+1 || s.concurrencyLimit != limit || s.meanLatency != latency && !restarted ||
			s.consecutiveFailures != 0 || s.ejectionTime != 0 || len(f.violations) > 0 {
			t.Errorf("restarted %v: in flight %d, retry budget %g of %g, tokens %g of %g, limit %g of %g, latency %d of %d, failures %d, %v", restarted,
				s.inFlight, s.retryBudget, retryBudget+1, s.slowStartTokens, tokens+1, s.concurrencyLimit, limit, s.meanLatency, latency, s.consecutiveFailures, f.violations)
		}
	}
}

// A body that is still being sent is no load for its server. So the attempt counts as in flight, and its latency is
// measured, from the last byte of the body.
func TestStreamedAttemptCountsFromLastByte(t *testing.T) {
	f := newFakeHost(1, 3)
	origin := f.b.servers[3]
	f.requests = append(f.requests, &fakeRequest{idempotence: IdempotentByKey, streaming: true})
	f.b.StartRequest(f.now, 0, Request{Class: 1, Tenant: 1, Write: true, Streaming: true, Deadline: f.now + 90000})
	f.requests[0].deadline = f.now + 90000
	if len(f.requests[0].attempts) != 1 || origin.inFlight != 0 {
		t.Fatalf("%d attempts, %d in flight before the last byte, want 1 and 0", len(f.requests[0].attempts), origin.inFlight)
	}
	f.now += 40000 // longer than the latency of any server
	limit, latency, level := origin.concurrencyLimit, origin.meanLatency, f.b.admissionLevel
	f.bodySent(0, 0)
	if origin.inFlight != 1 {
		t.Errorf("%d in flight after the last byte, want 1", origin.inFlight)
	}
	f.now += 100
	f.attemptDone(0, 0, Served)
	if origin.inFlight != 0 || origin.meanLatency > latency+100 || origin.concurrencyLimit < limit || f.b.admissionLevel < level {
		t.Errorf("after the answer: %d in flight, latency %v, limit from %g to %g, admission level from %g to %g", origin.inFlight, origin.meanLatency, limit, origin.concurrencyLimit,
			level, f.b.admissionLevel)
	}
}

// The last byte of a body may follow long after the first, and the server may know the idempotency key from the first
// byte on. So the deduplication window that bounds a retry counts from the start of the first attempt. A server that has
// restarted since the start of an attempt gets no refund for it.
func TestStreamedAttemptRetryAndRefundCountFromSend(t *testing.T) {
	for _, tc := range []struct {
		bodyTime Time // from the first byte to the last
		attempts int
	}{{dedupWindow / 4, 2}, {dedupWindow/2 + 10, 1}, {dedupWindow + 10, 1}} {
		f := newFakeHost(1, 3)
		f.requests = append(f.requests, &fakeRequest{idempotence: IdempotentByKey, streaming: true, deadline: f.now + 90000})
		f.b.StartRequest(f.now, 0, Request{Class: 1, Tenant: 1, Write: true, Streaming: true, Deadline: f.now + 90000})
		f.now += tc.bodyTime
		f.bodySent(0, 0)
		f.now += 10
		client := f.requests[0]
		f.attemptDone(0, 0, ServerError)
		if len(f.violations) > 0 || len(client.attempts) != tc.attempts || client.ended != (tc.attempts == 1) {
			t.Errorf("error after a body of %d: %d attempts, want %d; ended %v, broken rules %v", tc.bodyTime, len(client.attempts), tc.attempts, client.ended, f.violations)
		}
	}
	f := newFakeHost(1, 1)
	restart := func() {
		f.endpoints[0].StartedAt = f.now
		f.b.UpdateEndpoints(f.now, Incremental, f.endpoints[:1])
	}
	restart()
	f.now += 1500 * Millisecond
	f.requests = append(f.requests, &fakeRequest{idempotence: Safe, streaming: true, deadline: f.now + 90000})
	f.b.StartRequest(f.now, 0, Request{Tenant: -1, Key: "k", Streaming: true, Deadline: f.now + 90000})
	if len(f.requests[0].attempts) != 1 || f.requests[0].attempts[0].server != 0 {
		t.Fatalf("attempts %v, want one at the cache in slow start", f.requests[0].attempts)
	}
	f.now += 10
	restart()
	f.now += 10
	if f.attemptDone(0, 0, EndedBeforeWrite); f.b.servers[0].slowStartTokens != 0 {
		t.Errorf("restarted server has %g tokens, want no refund", f.b.servers[0].slowStartTokens)
	}
}
