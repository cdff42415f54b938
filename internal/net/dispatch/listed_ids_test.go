package dispatch

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Every listed endpoint is known, even if the list has more than maxListedIDs entries.
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
		t.Errorf("%d of %d listed endpoints are not known", missing, len(listed))
	}
	if d.WasListed("never") {
		t.Error("an endpoint that was never listed is known")
	}
}
