package cluster

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/lease"
)

const (
	tellEvery  = 500 * time.Millisecond // lease's figure too: whoever has resting servers tells of them so often
	triesEvery = 50 * time.Millisecond  // how often whoever tries asks what is due
	trialIn    = 500 * time.Millisecond // for a server's answer: half of what the board waits for the result
	trialsMost = 64                     // at once
	restsMost  = 4096                   // servers that one node may tell of in one call
)

// EjectionReport is a node's word about its resting servers, addresses by id.
type EjectionReport struct {
	Servers map[string]string `json:"Servers"`
}

// ProbeReport is how a trial went, told under the token of the task.
type ProbeReport struct {
	Token   uint64 `json:"Token"`
	ID      string `json:"ID"`
	Healthy bool   `json:"Well"`
}

// Rest tells the leader of resting servers, and gives what trials came to.
func (l *line) Rest(r *EjectionReport, news *[]lease.ProbeStatus) error {
	v := l.f.voter()
	if v == nil || len(r.Servers) > restsMost {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.keeper.IsLeader() {
		return lease.ErrNotLeader
	}
	for id, address := range r.Servers {
		if n, known := v.board.ReportEjected(now(), id, address); known {
			*news = append(*news, n)
		}
	}
	return nil
}

// Due gives the trials that are to be made now.
func (l *line) Due(token *uint64, trials *[]lease.Probe) error {
	v := l.f.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.keeper.IsLeader() {
		return lease.ErrNotLeader
	}
	*trials = append(*trials, v.board.DueProbes(now(), *token)...) // never null, which the other end takes for a broken connection
	return nil
}

// Result takes what one came to.
func (l *line) Result(o *ProbeReport, _ *struct{}) error {
	v := l.f.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.board.ReportResult(now(), o.Token, o.ID, o.Healthy)
	return nil
}

// plainly makes one call on the connection that is kept, wherever that leads; who doesn't lead says so.
func (c *Client) plainly(method string, args, reply any) error {
	return c.plainlyWithin(method, args, reply, c.within())
}

func (c *Client) plainlyWithin(method string, args, reply any, within time.Duration) error {
	conn, _, err := c.line()
	if err != nil {
		return err
	}
	err = call(conn, method, args, reply, within)
	c.over(conn)
	if err != nil {
		if err.Error() != lease.ErrNotLeader.Error() { // claims look for the leader; this only goes along
			c.drop(conn, "")
		}
		return err
	}
	return nil
}

// hear tells the fleet of our resting servers, and our module of how their trials went. In silence it tries by itself.
func (f *Member) hear(ctx context.Context) {
	for every := time.NewTicker(tellEvery); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return
		case <-every.C:
		}
		resting := f.own.EjectedEndpoints()
		if len(resting) == 0 {
			continue
		}
		var news []lease.ProbeStatus
		if err := f.client.plainly("Fleet.Rest", &EjectionReport{resting}, &news); err != nil {
			f.log.Debug("the fleet is silent about resting servers", zap.Error(err))
			continue
		}
		for _, n := range news {
			f.own.ProbeResult(n.ID, resting[n.ID], n.Healthy, span(n.NextProbe))
		}
	}
}

// probe tries resting servers for all nodes.
func (f *Member) probe(ctx context.Context, g *HeldLease) bool {
	h := &http.Client{Timeout: trialIn, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: trialIn}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	places := make(chan struct{}, trialsMost)
	var trying sync.WaitGroup
	defer trying.Wait()
	for every := time.NewTicker(triesEvery); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return true
		case <-every.C:
		}
		var due []lease.Probe
		token := g.Token()
		if f.client.plainly("Fleet.Due", &token, &due) != nil {
			continue
		}
		for _, t := range due {
			if !g.May(trialIn) { // a trial is harmless, so its end is only bounded
				break
			}
			select {
			case places <- struct{}{}:
			default:
				continue // it comes due again
			}
			trying.Go(func() {
				defer func() { <-places }()
				well := f.try(ctx, h, t)
				_ = f.client.plainly("Fleet.Result", &ProbeReport{token, t.ID, well}, &struct{}{})
			})
		}
	}
}

// try asks one server. Any answer but an error of its own says that it is well.
func (f *Member) try(ctx context.Context, h *http.Client, t lease.Probe) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+f.fleet.ProbePath, nil)
	if err != nil {
		return false
	}
	a, err := h.Do(r)
	if err != nil {
		f.log.Debug("a server is tried in vain", zap.String("box", t.ID), zap.Error(err))
		return false
	}
	_, err = io.CopyN(io.Discard, a.Body, 64<<10)
	_ = a.Body.Close()
	return (err == nil || errors.Is(err, io.EOF)) && a.StatusCode < http.StatusInternalServerError
}
