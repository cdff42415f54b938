package discovery

// This file holds calls for the list beside ones that may never be answered.

import (
	"context"
	"slices"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
)

// list is what a call gave.
type list struct {
	version int64
	full    bool
	boxes   []dispatch.Endpoint
}

// hedge calls for the list, once more beside what is out with each word from again, and gives the first one that comes;
// an error only when no call is out any more. Of too many the second oldest is given up: the oldest may stand first in the
// service's line, and the latest may be the first since the service is back. Beside a call that may be silent for an outage the
// whole list is asked for: a service may count anew after one. Where calls were turned away lately one that is out is more likely in
// the service's line, and a second would take a place that another node lacks: the first word beside it is put off for as long as
// a line lasts.
func hedge[T any](ctx context.Context, f *Client, at *source, again <-chan T) (list, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	type call struct{ leave context.CancelFunc }
	type answer struct {
		of  *call
		got list
		err error
	}
	answers := make(chan answer)
	var out []*call
	var late <-chan time.Time // a word that was put off
	began := time.Now()
	begin := func() {
		query := ""
		if len(out) == 0 {
			query = at.query()
		}
		if len(out) == callsMost {
			out[1].leave()
			out = slices.Delete(out, 1, 2)
		}
		ctx, leave := context.WithCancel(ctx)
		c := &call{leave}
		out = append(out, c)
		go func() {
			defer leave()
			got, err := f.ask(ctx, at.address, query, answerIn)
			if err == nil && !got.full && query == "" {
				err = errNotWhole
			} else if err == nil && !got.full && got.version < at.version {
				err = errGap
			}
			select {
			case answers <- answer{c, got, err}:
			case <-ctx.Done():
			}
		}()
	}
	begin()
	for {
		select {
		case <-ctx.Done():
			return list{}, ctx.Err()
		case <-again:
			if wait := lineIn - time.Since(began); late == nil && len(out) == 1 && wait > 0 && time.Since(at.crowded) < crowdIn {
				late = time.After(wait)
				continue
			}
			begin()
		case <-late:
			late = nil
			begin()
		case a := <-answers:
			if a.err == nil {
				return a.got, nil
			}
			at.fails(a.err)
			if i := slices.Index(out, a.of); i >= 0 {
				out = slices.Delete(out, i, i+1)
			}
			if len(out) == 0 && late == nil {
				return list{}, a.err
			} else if len(out) == 0 {
				late, began = nil, time.Now()
				begin()
			}
		}
	}
}
