package admission

import (
	"testing"
	"time"
)

// Each fact that speaks against a first byte is a reason by itself, and none is one without it.
func TestSendDecide(t *testing.T) {
	now := time.Now()
	valid := Send{Now: now, GatherTime: time.Millisecond, SendBy: now.Add(time.Millisecond), ClientDeadline: now.Add(time.Second), DeclaredTimeout: time.Second}
	for want, change := range map[Reason]func(*Send){
		Granted:          func(*Send) {},
		NotQuiet:         func(s *Send) { s.Refused = NotQuiet },
		ConnectionEnding: func(s *Send) { s.ConnectionEnding = true },
		UnsolicitedBytes: func(s *Send) { s.Unsolicited = true },
		ClientGone:       func(s *Send) { s.Client = ClientGone },
		RequestOver:      func(s *Send) { s.Client = RequestOver },
		TooLate:          func(s *Send) { s.SendBy = now.Add(-1) },
		DeadlineStale:    func(s *Send) { s.DeclaredTimeout += 2 * maxDeadlineExcess },
		FactsStale:       func(s *Send) { s.GatherTime = MaxFactAge },
		FactsUnknown:     func(s *Send) { s.Unknown = true },
	} {
		s := valid
		if change(&s); s.Decide() != want {
			t.Errorf("%v, want %v", s.Decide(), want)
		}
	}
	if got := (Send{Now: now}).Decide(); got != Granted {
		t.Errorf("with no times: %v", got)
	}
}

func TestAttemptDecideAndMayReject(t *testing.T) {
	now := time.Now()
	past, future := now.Add(-time.Millisecond), now.Add(time.Millisecond)
	for _, c := range []struct {
		name                    string
		attempt                 Attempt
		wantAttempt, wantReject Reason
	}{
		{"the first", Attempt{}, Granted, Granted},
		{"after the final answer", Attempt{Ended: true}, RequestOver, Granted},
		{"a body that was sent in part", Attempt{BodySent: true}, BodySent, Granted},
		{"beside another", Attempt{History: History{InFlight: 1, Safe: true}}, AttemptInFlight, Granted},
		{"a hedge", Attempt{History: History{InFlight: 1, Safe: true}, Hedging: true}, Granted, Granted},
		{"a hedge of an unsafe one", Attempt{History: History{InFlight: 1}, Hedging: true}, MayHaveRun, MayHaveRun},
		{"a retry after a proof", Attempt{History: History{}}, Granted, Granted},
		{"a retry without a proof", Attempt{History: History{MayHaveRun: true}}, MayHaveRun, MayHaveRun},
		{"a safe one", Attempt{History: History{MayHaveRun: true, Safe: true}}, Granted, Granted},
		{"a keyed one in its window", Attempt{History: History{MayHaveRun: true, SharedDedup: true, DedupUntil: future}}, Granted, Granted},
		{"a keyed one after it", Attempt{History: History{MayHaveRun: true, SharedDedup: true, DedupUntil: past}}, DedupWindowOver, Granted},
		{"a keyed one of a smaller group", Attempt{History: History{MayHaveRun: true, DedupUntil: future}}, MayHaveRun, MayHaveRun},
	} {
		c.attempt.Now = now
		if got := c.attempt.Decide(); got != c.wantAttempt {
			t.Errorf("%s: attempt %v, want %v", c.name, got, c.wantAttempt)
		}
		if got := c.attempt.MayReject(); got != c.wantReject {
			t.Errorf("%s: rejection %v, want %v", c.name, got, c.wantReject)
		}
	}
}

func TestReasonNamesUniqueAndNotEmpty(t *testing.T) {
	seen := map[string]bool{}
	for r := Granted; r < NumReasons; r++ {
		if r.String() == "" || seen[r.String()] {
			t.Errorf("reason %d is named %q", r, r)
		}
		seen[r.String()] = true
	}
}
