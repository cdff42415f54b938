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

// arrival is an act as a stand-in saw it, by the machine's boot clock. What goes on has an end as well.
type arrival struct {
	at, end int64
	who     string // whose client's lookup it was for, if that is known
}

// ledger is all that came under one bound.
type ledger struct {
	mu  sync.Mutex
	all []arrival
}

func (l *ledger) begin(who string) (nth int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all = append(l.all, arrival{at: boot(), who: who})
	return len(l.all) - 1
}

func (l *ledger) over(nth int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[nth].end = boot()
}

// name tells whose something was, once that is known.
func (l *ledger) name(nth int, who string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.all[nth].who = who
}

// tallies are the stand-ins of a run on budgets: an origin, caches that lack most of what is asked, one of which starts
// again now and then, and the list. They count what comes; what they answer tells nobody of any budget.
type tallies struct {
	servers   []*http.Server
	ip        string
	discovery string
	ledgers   map[string]*ledger // by budget; cold and links by cache too

	mu      sync.Mutex
	version int
	started int64 // of the cache that starts again, Unix milliseconds
	up      bool
	changed chan struct{}
	colds   [][2]int64 // when it was cold
	seen    map[string]bool
}

const (
	caches    = 2
	coldSpan  = 2500 * time.Millisecond // warm-up, as the settings tell it
	newsIn    = 400 * time.Millisecond  // for all nodes to hear that it is gone
	workLeast = 20 * time.Millisecond
	workMost  = 120 * time.Millisecond
)

func newTallies(ip string) (*tallies, error) {
	s := &tallies{ip: ip, discovery: ip + ":8500", ledgers: map[string]*ledger{}, up: true, changed: make(chan struct{}), seen: map[string]bool{}}
	for _, name := range []string{"fetches", "room", "acme", "lists", "cold", "links-0", "links-1"} {
		s.ledgers[name] = &ledger{}
	}
	serve := func(address string, h http.HandlerFunc, state func(net.Conn, http.ConnState), with func(context.Context, net.Conn) context.Context) error {
		l, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		x := &http.Server{Handler: h, ConnState: state, ConnContext: with}
		s.servers = append(s.servers, x)
		go func() { _ = x.Serve(l) }()
		return nil
	}
	err := serve(ip+":8500", s.list, nil, nil)
	for i := range caches {
		links := s.ledgers[fmt.Sprint("links-", i)]
		var open sync.Map
		if err == nil {
			err = serve(fmt.Sprintf("%s:%d", ip, 8501+i), func(w http.ResponseWriter, r *http.Request) {
				if nth, is := r.Context().Value(linkOf{}).(int); is {
					links.name(nth, whoOf(r))
				}
				s.cache(i, w, r)
			}, func(c net.Conn, state http.ConnState) {
				if state == http.StateClosed || state == http.StateHijacked {
					if nth, is := open.LoadAndDelete(c); is {
						links.over(nth.(int))
					}
				}
			}, func(ctx context.Context, c net.Conn) context.Context {
				nth := links.begin("")
				open.Store(c, nth)
				return context.WithValue(ctx, linkOf{}, nth)
			})
		}
	}
	if err == nil {
		err = serve(ip+":8510", s.origin, nil, nil)
	}
	if err != nil {
		s.close()
		return nil, err
	}
	return s, nil
}

type linkOf struct{}

func whoOf(r *http.Request) string {
	who, _, _ := strings.Cut(r.Header.Get("X-Trace-Id"), "-")
	return who
}

// first counts a lookup of the partner when any stand-in sees it first.
func (s *tallies) first(r *http.Request) {
	trace := r.Header.Get("X-Trace-Id")
	s.mu.Lock()
	is := strings.Contains(trace, "acme") && !s.seen[trace]
	s.seen[trace] = true
	s.mu.Unlock()
	if is {
		s.ledgers["acme"].begin(whoOf(r))
	}
}

func (s *tallies) cache(i int, w http.ResponseWriter, r *http.Request) {
	s.first(r)
	s.mu.Lock()
	is := i == 0 && len(s.colds) > 0 && boot() < s.colds[len(s.colds)-1][1] && s.up
	s.mu.Unlock()
	if is {
		s.ledgers["cold"].begin(whoOf(r))
	}
	time.Sleep(time.Millisecond)
	if strings.HasSuffix(r.URL.Path, "0") {
		fmt.Fprint(w, "value")
		return
	}
	w.WriteHeader(http.StatusNotFound)
}

func (s *tallies) origin(w http.ResponseWriter, r *http.Request) {
	s.first(r)
	s.ledgers["fetches"].begin(whoOf(r))
	nth := s.ledgers["room"].begin(whoOf(r))
	defer s.ledgers["room"].over(nth)
	select {
	case <-time.After(workLeast + time.Duration(rand.Int64N(int64(workMost-workLeast)))):
	case <-r.Context().Done():
	}
	fmt.Fprint(w, "value")
}

// list answers with all, or waits for a change.
func (s *tallies) list(w http.ResponseWriter, r *http.Request) {
	if r.URL.RawQuery == "" {
		s.ledgers["lists"].begin("")
	} else {
		s.mu.Lock()
		changed, version := s.changed, s.version
		s.mu.Unlock()
		if strings.Contains(r.URL.RawQuery, fmt.Sprint("=", version)) {
			select {
			case <-changed:
			case <-r.Context().Done():
				return
			case <-time.After(5 * time.Second):
			}
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	servers := []map[string]any{{"id": "c1", "addr": s.ip + ":8502", "kind": "box", "state": "Ready"},
		{"id": "o", "addr": s.ip + ":8510", "kind": "origin", "state": "Ready"}}
	c := map[string]any{"id": "c0", "addr": s.ip + ":8501", "kind": "box", "state": "Ready"}
	if s.started > 0 {
		c["started_ms"] = s.started
	}
	if !s.up {
		c["state"] = "Terminating"
	}
	_ = json.NewEncoder(w).Encode(map[string]any{"version": s.version, "full": true, "servers": append(servers, c)})
}

func (s *tallies) tell(f func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f()
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

// restart takes the first cache off the list and, once all have heard, back on it, cold.
func (s *tallies) restart(ctx context.Context) {
	s.tell(func() { s.up = false })
	select {
	case <-ctx.Done():
	case <-time.After(newsIn):
	}
	s.tell(func() {
		s.up, s.started = true, time.Now().UnixMilli()
		s.colds = append(s.colds, [2]int64{boot(), boot() + int64(coldSpan) - int64(200*time.Millisecond)})
	})
}

func (s *tallies) close() {
	for _, x := range s.servers {
		_ = x.Close()
	}
}

// demand is the clients of a run: before each node as many as it is due, at times of chance, never waiting for each other.
type demand struct {
	rates      []atomic.Int64 // lookups a second, by node
	asked      atomic.Int64
	resolved   atomic.Int64
	unanswered atomic.Int64
	why        atomic.Value
}

const (
	outMost    = 200 // of one node's clients at once
	limitOf    = 700 * time.Millisecond
	answerMost = limitOf + 600*time.Millisecond
)

func (d *demand) run(n int, address string, seed uint64, done <-chan struct{}, excused func(from int64) bool) {
	rnd := rand.New(rand.NewPCG(seed, uint64(n)))
	h := &http.Client{Timeout: 2 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer h.CloseIdleConnections()
	places := make(chan bool, outMost)
	var all sync.WaitGroup
	defer all.Wait()
	due := time.Now()
	for i := 0; ; i++ {
		rate := max(1, d.rates[n].Load())
		due = due.Add(time.Duration(rnd.ExpFloat64() / float64(rate) * float64(time.Second)))
		select {
		case <-done:
			return
		case <-time.After(time.Until(due)):
		}
		select {
		case places <- true:
		default:
			continue
		}
		all.Go(func() {
			defer func() { <-places }()
			kind := []string{"own", "acme"}[i%2]
			r, _ := http.NewRequest("GET", fmt.Sprintf("http://%s/read/k%d", address, rnd2(seed, n, i)), nil)
			r.Header.Set("X-Trace-Id", fmt.Sprintf("n%d-%s-%d", n, kind, i))
			r.Header.Set("X-Expires-In", fmt.Sprintf("%dm", limitOf.Milliseconds()))
			if kind == "acme" {
				r.Header.Set("X-Customer", "acme")
			}
			from := boot()
			resp, err := h.Do(r)
			if err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					d.resolved.Add(1)
				}
			}
			d.asked.Add(1)
			if took := time.Duration(boot() - from); (err != nil || took > answerMost) && !excused(from) {
				d.unanswered.Add(1)
				d.why.CompareAndSwap(nil, fmt.Sprintf("n%d after %v: %v", n, took.Round(time.Millisecond), err))
			}
		})
	}
}

func rnd2(seed uint64, n, i int) uint64 {
	return (seed*31+uint64(n)*7+uint64(i)*2654435761)%100003*10 + uint64(i%10)
}

// span of a bound in force: from a time on, a rate with a burst or a number at a time.
type bounded struct {
	from       int64
	rate, most float64
	number     bool
}

// passed is what the judge finds of one bound.
type passed struct {
	acts    int
	windows int
	worst   float64 // the most that came in a window, as a share of its bound
	used    float64 // of all that might have been, from the first act to the last
	broken  []string
}

const onTheWay = 75 * time.Millisecond // for a shot that was allowed, until it has come: 50 ms to its first byte, and the stand-in's own lateness

// judgeRate holds arrivals against a rate: in each window at most rate × (window + what may be on the way) + burst. It
// looks at every window that begins and ends with an arrival; any other holds no more and is longer.
func judgeRate(name string, all []arrival, bounds []bounded) (p passed) {
	slices.SortFunc(all, func(a, b arrival) int { return int(a.at - b.at) })
	for i, b := range bounds {
		to := int64(1 << 62)
		if i+1 < len(bounds) {
			to = bounds[i+1].from
		}
		excess, last := 0.0, int64(0)
		if len(all) > 1 && i == 0 {
			p.used = float64(len(all)) / b.rate / (float64(all[len(all)-1].at-all[0].at) / 1e9)
		}
		var times []int64
		for _, a := range all {
			if a.at < b.from || a.at >= to {
				continue
			}
			times = append(times, a.at)
			excess = max(1, excess+1-b.rate*float64(a.at-last)/1e9)
			last = a.at
			p.acts++
			if most := b.most + b.rate*onTheWay.Seconds(); excess > most {
				p.broken = append(p.broken, fmt.Sprintf("%s at %d: %.1f more than its rate of %g in a window, %.1f may be; the last is of %s",
					name, a.at, excess, b.rate, most, a.who))
				excess = 1 // each window once
			}
		}
		for _, span := range []time.Duration{10 * time.Millisecond, 100 * time.Millisecond, time.Second, 10 * time.Second, time.Minute} {
			at := 0
			for j, t := range times {
				for t-times[at] > int64(span) {
					at++
				}
				p.windows++
				p.worst = max(p.worst, float64(j-at+1)/(b.most+b.rate*(span+onTheWay).Seconds()))
			}
		}
	}
	return p
}

// judgeNumber holds what went on at once against a number.
func judgeNumber(name string, all []arrival, bounds []bounded) (p passed) {
	type edge struct {
		at   int64
		by   int
		what arrival
	}
	var edges []edge
	for _, a := range all {
		if a.end == 0 {
			a.end = 1 << 62
		}
		edges = append(edges, edge{a.at, 1, a}, edge{a.end, -1, a})
	}
	slices.SortFunc(edges, func(a, b edge) int {
		if a.at == b.at {
			return a.by - b.by
		}
		return int(a.at - b.at)
	})
	now, at := 0, 0
	if len(edges) > 1 {
		from, to, sum := edges[0].at, all[len(all)-1].at, int64(0)
		for _, a := range all {
			sum += max(0, min(a.end, to)-a.at)
		}
		p.used = float64(sum) / float64(max(1, to-from)) / bounds[0].most
	}
	for _, e := range edges {
		for at+1 < len(bounds) && e.at >= bounds[at+1].from {
			at++
		}
		if now += e.by; e.by < 0 || e.at < bounds[0].from {
			continue
		}
		p.acts++
		p.windows++
		p.worst = max(p.worst, float64(now)/bounds[at].most)
		if float64(now) > bounds[at].most {
			p.broken = append(p.broken, fmt.Sprintf("%s at %d: %d at once, %g may be; the last is of %s", name, e.at, now, bounds[at].most, e.what.who))
		}
	}
	return p
}
