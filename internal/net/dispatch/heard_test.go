package dispatch

import (
	"fmt"
	"testing"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Every server that is on the list was heard of, however long the list is, and however many have come and gone.
func TestEachListedServerWasHeardOf(t *testing.T) {
	x := start(t, &fleet{})
	x.log = zap.NewNop()
	var all []Box
	for i := range heardMost + 1600 {
		all = append(all, Box{ID: fmt.Sprintf("s-%05d", i), Address: fmt.Sprintf("a:%d", i), Machine: "box"})
	}
	x.List(routing.Whole, all)
	unknown := 0
	for _, b := range all {
		if !x.Heard(b.ID) {
			unknown++
		}
	}
	if unknown > 0 {
		t.Errorf("%d of %d listed servers are not known", unknown, len(all))
	}
	if x.Heard("never") {
		t.Error("one that was never listed is known")
	}
}
