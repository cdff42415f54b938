package dispatch

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Every server that is on the list was heard of, however long the list is, and however many have come and gone.
func TestWasListedForLongList(t *testing.T) {
	d := startDispatcher(t, &fakeTransport{})
	d.log = zap.NewNop()
	var listed []Endpoint
	for i := range maxListedIDs + 1600 {
		listed = append(listed, Endpoint{ID: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("a:%d", i), Model: "box"})
	}
	d.UpdateEndpoints(routing.Full, listed)
	missing := 0
	for _, endpoint := range listed {
		if !d.WasListed(endpoint.ID) {
			missing++
		}
	}
	if missing > 0 {
		t.Errorf("%d of %d listed servers are not known", missing, len(listed))
	}
	if d.WasListed("never") {
		t.Error("one that was never listed is known")
	}
}
