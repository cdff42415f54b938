package faulttest

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// arrival is an event that a budget limits, as a backend saw it: a request, or a connection. Times are boot times in ns. endNs is
// only set where concurrency is limited, and 0 before the end.
type arrival struct {
	startNs, endNs int64
	node           string // the node that caused it; empty: unknown
}

// coldPeriod is the time after a restart in which a cache counts as cold.
type coldPeriod struct{ startNs, endNs int64 }

// arrivalLog holds the arrivals under one limit.
type arrivalLog struct {
	mu       sync.Mutex
	arrivals []arrival
}

// begin records an arrival and returns its index.
func (l *arrivalLog) begin(node string) (index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals = append(l.arrivals, arrival{startNs: bootTimeNs(), node: node})
	return len(l.arrivals) - 1
}

// end records the end of an arrival.
func (l *arrivalLog) end(index int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[index].endNs = bootTimeNs()
}

// setNode sets the node of an arrival that began before the node was known.
func (l *arrivalLog) setNode(index int, node string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.arrivals[index].node = node
}

// countingBackends are the backends of a run that tests budgets: an origin, caches that miss most lookups, of which the first
// restarts from time to time, and the discovery service that lists them. They record arrivals. Their responses don't depend on
// the budgets.
type countingBackends struct {
	servers       []*http.Server
	ip            string
	discoveryAddr string
	arrivalLogs   map[string]*arrivalLog // by budget; the budget links has one log per cache

	mu             sync.Mutex
	listVersion    int
	cacheStartedMs int64         // Unix time of the last restart of the first cache
	cacheListed    bool          // the first cache is on the endpoint list
	listChanged    chan struct{} // closed at the next change of the list
	coldPeriods    []coldPeriod  // of the first cache
	seenTraces     map[string]bool
}

const (
	cacheCount         = 2
	cacheWarmUp        = 2500 * time.Millisecond // as in the settings of the nodes
	removalPropagation = 400 * time.Millisecond  // in which all nodes learn that the cache has been removed
	minFetchTime       = 20 * time.Millisecond
	maxFetchTime       = 120 * time.Millisecond
)

// newCountingBackends starts the backends on ports of an address.
func newCountingBackends(ip string) (*countingBackends, error) {
	b := &countingBackends{ip: ip, discoveryAddr: ip + ":8500", arrivalLogs: map[string]*arrivalLog{}, cacheListed: true, listChanged: make(chan struct{}), seenTraces: map[string]bool{}}
	for _, name := range []string{"fetches", "room", "acme", "lists", "cold", "links-0", "links-1"} {
		b.arrivalLogs[name] = &arrivalLog{}
	}
	serve := func(addr string, handler http.HandlerFunc, connState func(net.Conn, http.ConnState), connContext func(context.Context, net.Conn) context.Context) error {
		l, err := net.Listen("tcp", addr)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ConnState: connState, ConnContext: connContext}
		b.servers = append(b.servers, server)
		go func() { _ = server.Serve(l) }()
		return nil
	}
	err := serve(ip+":8500", b.serveList, nil, nil)
	for i := range cacheCount {
		conns := b.arrivalLogs[fmt.Sprint("links-", i)]
		var openConns sync.Map
		if err == nil {
			err = serve(fmt.Sprintf("%s:%d", ip, 8501+i), func(w http.ResponseWriter, r *http.Request) {
				if index, ok := r.Context().Value(connIndexKey{}).(int); ok {
					conns.setNode(index, nodeOf(r))
				}
				b.serveCache(i, w, r)
			}, func(c net.Conn, connState http.ConnState) {
				if connState == http.StateClosed || connState == http.StateHijacked {
					if index, ok := openConns.LoadAndDelete(c); ok {
						conns.end(index.(int))
					}
				}
			}, func(ctx context.Context, c net.Conn) context.Context {
				index := conns.begin("")
				openConns.Store(c, index)
				return context.WithValue(ctx, connIndexKey{}, index)
			})
		}
	}
	if err == nil {
		err = serve(ip+":8510", b.serveOrigin, nil, nil)
	}
	if err != nil {
		b.close()
		return nil, err
	}
	return b, nil
}

// connIndexKey is the context key of the index of a connection in its arrivalLog.
type connIndexKey struct{}

// nodeOf returns the name of the node that a lookup was sent to, which the load generator puts into the trace ID.
func nodeOf(r *http.Request) string {
	node, _, _ := strings.Cut(r.Header.Get("X-Trace-Id"), "-")
	return node
}

// countPartnerLookup records a lookup of the tenant acme when it reaches the first backend. Later attempts for the same lookup
// don't count.
func (b *countingBackends) countPartnerLookup(r *http.Request) {
	trace := r.Header.Get("X-Trace-Id")
	b.mu.Lock()
	counted := strings.Contains(trace, "acme") && !b.seenTraces[trace]
	b.seenTraces[trace] = true
	b.mu.Unlock()
	if counted {
		b.arrivalLogs["acme"].begin(nodeOf(r))
	}
}

func (b *countingBackends) serveCache(cacheIndex int, w http.ResponseWriter, r *http.Request) {
	b.countPartnerLookup(r)
	b.mu.Lock()
	cold := cacheIndex == 0 && len(b.coldPeriods) > 0 && bootTimeNs() < b.coldPeriods[len(b.coldPeriods)-1].endNs && b.cacheListed
	b.mu.Unlock()
	if cold {
		b.arrivalLogs["cold"].begin(nodeOf(r))
	}
	time.Sleep(time.Millisecond)
	if strings.HasSuffix(r.URL.Path, "0") {
		fmt.Fprint(w, "value")
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (b *countingBackends) serveOrigin(w http.ResponseWriter, r *http.Request) {
	b.countPartnerLookup(r)
	b.arrivalLogs["fetches"].begin(nodeOf(r))
	index := b.arrivalLogs["room"].begin(nodeOf(r))
	defer b.arrivalLogs["room"].end(index)
	select {
	case <-time.After(minFetchTime + time.Duration(rand.Int64N(int64(maxFetchTime-minFetchTime)))):
	case <-r.Context().Done():
	}
	fmt.Fprint(w, "value")
}

// serveList responds with the endpoint list. A watch request for the current version waits for a change.
func (b *countingBackends) serveList(w http.ResponseWriter, r *http.Request) {
	if r.URL.RawQuery == "" {
		b.arrivalLogs["lists"].begin("")
	} else {
		b.mu.Lock()
		changed, version := b.listChanged, b.listVersion
		b.mu.Unlock()
		if strings.Contains(r.URL.RawQuery, fmt.Sprint("=", version)) {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Second):
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := []map[string]any{{"id": "c1", "addr": b.ip + ":8502", "kind": "box", "state": "Ready"},
		{"id": "o", "addr": b.ip + ":8510", "kind": "origin", "state": "Ready"}}
	restarting := map[string]any{"id": "c0", "addr": b.ip + ":8501", "kind": "box", "state": "Ready"}
	if b.cacheStartedMs > 0 {
		restarting["started_ms"] = b.cacheStartedMs
	}
	if !b.cacheListed {
		restarting["state"] = "Terminating"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"version": b.listVersion, "full": true, "servers": append(servers, restarting)})
}

// updateList changes the list under the lock and wakes the watchers.
func (b *countingBackends) updateList(update func()) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update()
	b.listVersion++
	close(b.listChanged)
	b.listChanged = make(chan struct{})
}

// restartCache marks the first cache as terminating, and lists it again as restarted once all nodes have learned of it.
func (b *countingBackends) restartCache(ctx context.Context) {
	b.updateList(func() { b.cacheListed = false })
	select {
	case <-ctx.Done():
	case <-time.After(removalPropagation):
	}
	b.updateList(func() {
		b.cacheListed, b.cacheStartedMs = true, time.Now().UnixMilli()
		b.coldPeriods = append(b.coldPeriods, coldPeriod{bootTimeNs(), bootTimeNs() + int64(cacheWarmUp) - int64(200*time.Millisecond)})
	})
}

func (b *countingBackends) close() {
	for _, server := range b.servers {
		_ = server.Close()
	}
}

// loadGenerator sends lookups to the nodes at random times with a given mean rate per node, without waiting for responses.
type loadGenerator struct {
	lookupsPerSecond []atomic.Int64 // mean rate, by node index
	sent             atomic.Int64
	succeeded        atomic.Int64
	unanswered       atomic.Int64
	firstUnanswered  atomic.Value // description of the first unanswered lookup
}

const (
	maxOutstandingLookups = 200 // per node
	lookupTimeout         = 700 * time.Millisecond
	maxAnswerTime         = lookupTimeout + 600*time.Millisecond
)

// run sends lookups to one node until done is closed. excused is as in Lookups.Run.
func (g *loadGenerator) run(nodeIndex int, address string, seed uint64, done <-chan struct{}, excused func(startNs int64) bool) {
	rnd := rand.New(rand.NewPCG(seed, uint64(nodeIndex)))
	client := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	slots := make(chan bool, maxOutstandingLookups)
	var outstanding sync.WaitGroup
	defer outstanding.Wait()
	sendAt := time.Now()
	for lookupIndex := 0; ; lookupIndex++ {
		perSecond := max(1, g.lookupsPerSecond[nodeIndex].Load())
		sendAt = sendAt.Add(time.Duration(rnd.ExpFloat64() / float64(perSecond) * float64(time.Second)))
		select {
		case <-done:
			return
		case <-time.After(time.Until(sendAt)):
		}
		select {
		case slots <- true:
		default:
			continue
		}
		outstanding.Go(func() {
			defer func() { <-slots }()
			tenant := []string{"own", "acme"}[lookupIndex%2]
			req, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/read/k%d", address, lookupKey(seed, nodeIndex, lookupIndex)), nil)
			req.Header.Set("X-Trace-Id", fmt.Sprintf("n%d-%s-%d", nodeIndex, tenant, lookupIndex))
			req.Header.Set("X-Expires-In", fmt.Sprintf("%dm", lookupTimeout.Milliseconds()))
			if tenant == "acme" {
				req.Header.Set("X-Customer", "acme")
			}
			startNs := bootTimeNs()
			resp, err := client.Do(req)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					g.succeeded.Add(1)
				}
			}
			g.sent.Add(1)
			if elapsed := time.Duration(bootTimeNs() - startNs); (err != nil || elapsed > maxAnswerTime) && !excused(startNs) {
				g.unanswered.Add(1)
				g.firstUnanswered.CompareAndSwap(nil, fmt.Sprintf("n%d after %v: %v", nodeIndex, elapsed.Round(time.Millisecond), err))
			}
		})
	}
}

// lookupKey returns a pseudorandom key. A tenth of the keys end in 0, and the caches hold only these.
func lookupKey(seed uint64, nodeIndex, lookupIndex int) uint64 {
	return (seed*31+uint64(nodeIndex)*7+uint64(lookupIndex)*2654435761)%100003*10 + uint64(lookupIndex%10)
}

// limit is the limit of a budget from fromNs on, until the next limit of that budget. For a rate, max is the burst; with
// concurrency, max is the limit of concurrent arrivals, and perSecond is 0.
type limit struct {
	fromNs         int64
	perSecond, max float64
	concurrency    bool
}

// limitResult is the outcome of the check of one budget.
type limitResult struct {
	actions     int
	windows     int
	peakShare   float64 // of the fullest window, as a share of the limit
	utilization float64 // mean use from the first arrival to the last, as a share of the first limit
	violations  []string
}

const transitTime = 75 * time.Millisecond // of an allowed attempt until a backend records it: 50 ms until its first byte is sent, plus the delay of the backend itself

// checkRate checks arrivals against rates. A window may have at most rate × (window + transitTime) + burst arrivals. checkRate
// covers every window that begins and ends with an arrival; any other window has no more arrivals than one of these and is longer.
func checkRate(budget string, arrivals []arrival, limits []limit) (result limitResult) {
	slices.SortFunc(arrivals, func(a, b arrival) int { return int(a.startNs - b.startNs) })
	for i, l := range limits {
		untilNs := int64(1 << 62)
		if i+1 < len(limits) {
			untilNs = limits[i+1].fromNs
		}
		excess, lastNs := 0.0, int64(0)
		if len(arrivals) > 1 && i == 0 {
			result.utilization = float64(len(arrivals)) / l.perSecond / (float64(arrivals[len(arrivals)-1].startNs-arrivals[0].startNs) / 1e9)
		}
		var timesNs []int64
		for _, a := range arrivals {
			if a.startNs < l.fromNs || a.startNs >= untilNs {
				continue
			}
			timesNs = append(timesNs, a.startNs)
			excess = max(1, excess+1-l.perSecond*float64(a.startNs-lastNs)/1e9)
			lastNs = a.startNs
			result.actions++
			if maxExcess := l.max + l.perSecond*transitTime.Seconds(); excess > maxExcess {
				result.violations = append(result.violations, fmt.Sprintf("%s at %d: %.1f arrivals above the rate of %g in a window, limit %.1f; the last is from %s",
					budget, a.startNs, excess, l.perSecond, maxExcess, a.node))
				excess = 1 // reports each violation once
			}
		}
		for _, window := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second, time.Minute} {
			first := 0
			for j, t := range timesNs {
				for t-timesNs[first] > int64(window) {
					first++
				}
				result.windows++
				result.peakShare = max(result.peakShare, float64(j-first+1)/(l.max+l.perSecond*(window+transitTime).Seconds()))
			}
		}
	}
	return result
}

// checkConcurrency checks the number of concurrent arrivals against limits.
func checkConcurrency(budget string, arrivals []arrival, limits []limit) (result limitResult) {
	type edge struct {
		timeNs  int64
		delta   int
		arrival arrival
	}
	var edges []edge
	for _, a := range arrivals {
		if a.endNs == 0 {
			a.endNs = 1 << 62
		}
		edges = append(edges, edge{a.startNs, 1, a}, edge{a.endNs, -1, a})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.timeNs == b.timeNs {
			return a.delta - b.delta
		}
		return int(a.timeNs - b.timeNs)
	})
	concurrent, limitIndex := 0, 0
	if len(edges) > 1 {
		firstNs, lastNs, sumNs := edges[0].timeNs, arrivals[len(arrivals)-1].startNs, int64(0)
		for _, a := range arrivals {
			sumNs += max(0, min(a.endNs, lastNs)-a.startNs)
		}
		result.utilization = float64(sumNs) / float64(max(1, lastNs-firstNs)) / limits[0].max
	}
	for _, e := range edges {
		for limitIndex+1 < len(limits) && e.timeNs >= limits[limitIndex+1].fromNs {
			limitIndex++
		}
		if concurrent += e.delta; e.delta < 0 || e.timeNs < limits[0].fromNs {
			continue
		}
		result.actions++
		result.windows++
		result.peakShare = max(result.peakShare, float64(concurrent)/limits[limitIndex].max)
		if float64(concurrent) > limits[limitIndex].max {
			result.violations = append(result.violations, fmt.Sprintf("%s at %d: %d concurrent arrivals, limit %g; the last is from %s", budget, e.timeNs, concurrent, limits[limitIndex].max, e.arrival.node))
		}
	}
	return result
}
