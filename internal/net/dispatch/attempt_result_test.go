package dispatch

import (
	"testing"

	"github.com/thistlerudder/thistlerudder/routing"
)

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
