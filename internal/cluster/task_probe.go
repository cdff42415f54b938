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
	ejectionReportInterval = 500 * time.Millisecond // package lease relies on this interval
	probePollInterval      = 50 * time.Millisecond
	probeTimeout           = 500 * time.Millisecond // half of the time that the leader waits for the result
	maxConcurrentProbes    = 64
	maxProbeBodyBytes      = 64 << 10
)

// reportEjections reports this node's ejected servers to the leader, and passes the results of their probes to the node. While
// the leader can't be reached, the node probes by itself.
func (m *Member) reportEjections(ctx context.Context) {
	ticker := time.NewTicker(ejectionReportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		ejected := m.node.EjectedEndpoints()
		if len(ejected) == 0 {
			continue
		}
		var statuses []lease.ProbeStatus
		if err := m.client.callCurrent(methodReportEjections, &EjectionReport{Servers: ejected}, &statuses); err != nil {
			m.log.Debug("ejection report failed", zap.Error(err))
			continue
		}
		for _, s := range statuses {
			m.node.ReportProbeResult(s.ID, ejected[s.ID], s.Healthy, toDuration(s.UntilNextResult))
		}
	}
}

// runProbes is the probe task: it makes the probes of ejected servers that the leader schedules, for all nodes.
func (m *Member) runProbes(ctx context.Context, held *HeldLease) bool {
	client := newProbeClient()
	slots := make(chan struct{}, maxConcurrentProbes)
	var probes sync.WaitGroup
	defer probes.Wait()
	ticker := time.NewTicker(probePollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return true
		case <-ticker.C:
		}
		var due []lease.Probe
		token := held.Token()
		if m.client.callCurrent(methodDueProbes, &token, &due) != nil {
			continue
		}
		for _, probe := range due {
			if !held.MayAct(probeTimeout) { // a late probe is harmless, so probes need no fencing token
				break
			}
			select {
			case slots <- struct{}{}:
			default:
				continue // the leader schedules this probe again
			}
			probes.Go(func() {
				defer func() { <-slots }()
				healthy := m.probeServer(ctx, client, probe)
				_ = m.client.callCurrent(methodProbeResult, &ProbeReport{Token: token, ID: probe.ID, Healthy: healthy}, &struct{}{})
			})
		}
	}
}

// newProbeClient returns a client that opens a connection for each probe and follows no redirects.
func newProbeClient() *http.Client {
	return &http.Client{
		Timeout: probeTimeout,
		Transport: &http.Transport{
			DisableKeepAlives:  true,
			DisableCompression: true,
			DialContext:        (&net.Dialer{Timeout: probeTimeout}).DialContext,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// probeServer reports whether a server is healthy, which means that it answers with a status below 500.
func (m *Member) probeServer(ctx context.Context, client *http.Client, probe lease.Probe) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+probe.Address+m.config.ProbePath, nil)
	if err != nil {
		return false
	}
	response, err := client.Do(request)
	if err != nil {
		m.log.Debug("probe failed", zap.String("server", probe.ID), zap.Error(err))
		return false
	}
	_, err = io.CopyN(io.Discard, response.Body, maxProbeBodyBytes)
	_ = response.Body.Close()
	return (err == nil || errors.Is(err, io.EOF)) && response.StatusCode < http.StatusInternalServerError
}
