package dispatch

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Every server that is on the list was heard of, however long the list is, and however many have come and gone.
func TestEachListedServerWasHeardOf(t *testing.T) {
	d := startDispatcher(t, &fakeTransport{})
	d.log = zap.NewNop()
	var all []Endpoint
	for i := range maxListedIDs + 1600 {
		all = append(all, Endpoint{ID: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("a:%d", i), Model: "box"})
	}
	d.UpdateEndpoints(routing.Full, all)
	unknown := 0
	for _, b := range all {
		if !d.WasListed(b.ID) {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d of %d listed servers are not known", unknown, len(all))
	}
	if d.WasListed("never") {
		t.Error("one that was never listed is known")
	}
}
