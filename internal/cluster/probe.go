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
	ejectionReportInterval = 500 * time.Millisecond // lease's figure too: whoever has resting servers tells of them so often
	probePollInterval      = 50 * time.Millisecond  // how often whoever tries asks what is due
	probeTimeout           = 500 * time.Millisecond // for a server's answer: half of what the board waits for the result
	maxConcurrentProbes    = 64                     // at once
	maxReportedServers     = 4096                   // servers that one node may tell of in one call
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
func (l *rpcService) Rest(r *EjectionReport, news *[]lease.ProbeStatus) error {
	v := l.member.voter()
	if v == nil || len(r.Servers) > maxReportedServers {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leases.IsLeader() {
		return lease.ErrNotLeader
	}
	for id, address := range r.Servers {
		if n, known := v.probes.ReportEjected(now(), id, address); known {
			*news = append(*news, n)
		}
	}
	return nil
}

// Due gives the trials that are to be made now.
func (l *rpcService) Due(token *uint64, trials *[]lease.Probe) error {
	v := l.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	if !v.leases.IsLeader() {
		return lease.ErrNotLeader
	}
	*trials = append(*trials, v.probes.DueProbes(now(), *token)...) // never null, which the other end takes for a broken connection
	return nil
}

// Result takes what one came to.
func (l *rpcService) Result(o *ProbeReport, _ *struct{}) error {
	v := l.member.voter()
	if v == nil {
		return lease.ErrNotLeader
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.probes.ReportResult(now(), o.Token, o.ID, o.Healthy)
	return nil
}

// callCurrent makes one call on the connection that is kept, wherever that leads; who doesn't lead says so.
func (c *Client) callCurrent(method string, args, reply any) error {
	return c.callCurrentWithin(method, args, reply, c.callTimeout())
}

func (c *Client) callCurrentWithin(method string, args, reply any, within time.Duration) error {
	conn, _, err := c.connection()
	if err != nil {
		return err
	}
	err = call(conn, method, args, reply, within)
	c.callDone(conn)
	if err != nil {
		if err.Error() != lease.ErrNotLeader.Error() { // claims look for the leader; this only goes along
			c.dropConn(conn, "")
		}
		return err
	}
	return nil
}

// reportEjections tells the fleet of our resting servers, and our module of how their trials went. In silence it tries by itself.
func (f *Member) reportEjections(ctx context.Context) {
	for every := time.NewTicker(ejectionReportInterval); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return
		case <-every.C:
		}
		resting := f.node.EjectedEndpoints()
		if len(resting) == 0 {
			continue
		}
		var news []lease.ProbeStatus
		if err := f.client.callCurrent("Fleet.Rest", &EjectionReport{resting}, &news); err != nil {
			f.log.Debug("the fleet is silent about resting servers", zap.Error(err))
			continue
		}
		for _, n := range news {
			f.node.ProbeResult(n.ID, resting[n.ID], n.Healthy, toDuration(n.NextProbe))
		}
	}
}

// runProbes tries resting servers for all nodes.
func (f *Member) runProbes(ctx context.Context, g *HeldLease) bool {
	h := &http.Client{Timeout: probeTimeout, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: probeTimeout}).DialContext},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	places := make(chan struct{}, maxConcurrentProbes)
	var trying sync.WaitGroup
	defer trying.Wait()
	for every := time.NewTicker(probePollInterval); ; {
		select {
		case <-ctx.Done():
			every.Stop()
			return true
		case <-every.C:
		}
		var due []lease.Probe
		token := g.Token()
		if f.client.callCurrent("Fleet.Due", &token, &due) != nil {
			continue
		}
		for _, t := range due {
			if !g.May(probeTimeout) { // a trial is harmless, so its end is only bounded
				break
			}
			select {
			case places <- struct{}{}:
			default:
				continue // it comes due again
			}
			trying.Go(func() {
				defer func() { <-places }()
				well := f.probeServer(ctx, h, t)
				_ = f.client.callCurrent("Fleet.Result", &ProbeReport{token, t.ID, well}, &struct{}{})
			})
		}
	}
}

// probeServer asks one server. Any answer but an error of its own says that it is well.
func (f *Member) probeServer(ctx context.Context, h *http.Client, t lease.Probe) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+t.Address+f.config.ProbePath, nil)
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
