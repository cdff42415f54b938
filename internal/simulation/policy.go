package simulation

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Policy decides for a node where requests go. Its methods are a subset of those of routing.Balancer.
type Policy interface {
	StartRequest(now routing.Time, request int, r routing.Request)
	AttemptDone(now routing.Time, request, attempt int, result routing.Result, requestEnded bool)
	ClientGone(now routing.Time, request int)
	UpdateEndpoints(now routing.Time, kind routing.UpdateKind, endpoints []routing.Endpoint)
	HandleAlarm(now routing.Time, handle int)
}

// policyFactory creates the policy of one node.
type policyFactory func(host routing.Host, seed uint64, now routing.Time, experiment *Experiment) Policy

const (
	lateUtility = 0.25 // utility of an answer after the latency target, relative to one in time
	originModel = 1    // routing.Endpoint.Model of the origin; that of a cache is 0
)

// policies maps names to factories: ranges is routing.Balancer, the others are baselines for comparison.
var policies = map[string]policyFactory{
	"ranges":  newBalancer,
	"random":  baselineFactory(func(p *baseline, _ uint64, candidates []int) int { return candidates[p.rng.IntN(len(candidates))] }),
	"hashing": baselineFactory(pickByHash),
	"least":   baselineFactory(pickLeastInFlight),
}

// newBalancer creates a routing.Balancer that is configured from the experiment.
func newBalancer(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
	class := func(idempotence routing.Idempotence) routing.Class {
		return routing.Class{Idempotence: idempotence, LatencyTarget: e.Demand.LatencyTarget.ticks(), LateUtility: lateUtility}
	}
	config := routing.DefaultConfig()
	config.Nodes = e.Fleet.Nodes
	config.CacheAside, config.OriginModel = true, originModel
	config.MaxAttempts = e.Rules.MaxAttempts
	config.MaxRetryAfter = e.Demand.LatencyTarget.ticks() * 2
	config.SlowStartShare, config.SlowStartWindow = e.Fleet.ColdShare, e.Fleet.WarmUp.ticks()
	config.OverloadFactor, config.OverloadWindow = e.Rules.OverloadFactor, e.Rules.OverloadWindow.ticks()
	config.Classes = []routing.Class{class(routing.Safe), class(routing.Unsafe)} // of reads, of writes
	return routing.New(host, seed, now, config)
}

// pickByHash implements rendezvous hashing: it returns the cache with the highest hash of its ID and the key. When a cache
// leaves, only the keys of that cache move.
func pickByHash(p *baseline, key uint64, candidates []int) int {
	score := func(server int) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(p.endpoints[server].ID), key))
	}
	return slices.MaxFunc(candidates, func(x, y int) int {
		if score(x) < score(y) {
			return -1
		}
		return 1
	})
}

// pickLeastInFlight returns the cache with the fewest attempts of this node in flight. It begins the comparison at a random
// cache, so that ties do not always go to the same cache.
func pickLeastInFlight(p *baseline, _ uint64, candidates []int) int {
	start := p.rng.IntN(len(candidates))
	best := candidates[start]
	for i := range candidates {
		if server := candidates[(start+i)%len(candidates)]; p.inFlight[server] < p.inFlight[best] {
			best = server
		}
	}
	return best
}

// baseline is a simple policy. It sends reads to a ready cache, then to the origin after a miss or to another cache after a
// failure, and writes to the origin. It doesn't repeat a write that may have been executed and doesn't send to draining
// caches, but it doesn't protect servers from overload.
type baseline struct {
	host         routing.Host
	experiment   *Experiment
	rng          *rand.Rand
	pick         func(p *baseline, key uint64, candidates []int) int
	endpoints    map[int]routing.Endpoint // by server index
	readyCaches  []int                    // server indexes, sorted
	originServer int                      // server index; -1: no origin is ready
	inFlight     map[int]int              // attempts of this node by server index
	requests     map[int]*baselineRequest
}

// baselineRequest is a request that has not ended.
type baselineRequest struct {
	routing.Request
	key          uint64
	triedServers []int // server indexes in the order of the attempts
	cacheMissed  bool
	mayHaveRun   bool // a server may have executed it
}

// baselineFactory returns a factory of baselines that pick caches with the given function.
func baselineFactory(pick func(p *baseline, key uint64, candidates []int) int) policyFactory {
	return func(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
		host.SetAlarm(now, 0)
		return &baseline{host: host, experiment: e, rng: rand.New(rand.NewPCG(seed, 1)), pick: pick, endpoints: map[int]routing.Endpoint{},
			originServer: -1, inFlight: map[int]int{}, requests: map[int]*baselineRequest{}}
	}
}

// HandleAlarm implements Policy. The only alarm is the one at the start.
func (p *baseline) HandleAlarm(routing.Time, int) { p.host.Subscribe() }

// ClientGone implements Policy.
func (p *baseline) ClientGone(_ routing.Time, request int) { delete(p.requests, request) }

// UpdateEndpoints implements Policy.
func (p *baseline) UpdateEndpoints(_ routing.Time, kind routing.UpdateKind, endpoints []routing.Endpoint) {
	if kind == routing.Full || kind == routing.Cached {
		clear(p.endpoints)
	}
	for _, ep := range endpoints {
		p.endpoints[ep.Server] = ep
	}
	p.readyCaches, p.originServer = p.readyCaches[:0], -1
	for server, ep := range p.endpoints {
		switch {
		case ep.State != routing.Ready:
		case ep.Model == 1:
			p.originServer = server
		default:
			p.readyCaches = append(p.readyCaches, server)
		}
	}
	slices.Sort(p.readyCaches)
}

// StartRequest implements Policy.
func (p *baseline) StartRequest(now routing.Time, request int, r routing.Request) {
	key, _ := strconv.ParseUint(r.Key, 10, 64)
	p.requests[request] = &baselineRequest{Request: r, key: key}
	p.nextAttempt(now, request)
}

// nextAttempt sends the next attempt of a request, or ends the request if it may not have another one.
func (p *baseline) nextAttempt(now routing.Time, request int) {
	req := p.requests[request]
	server := -1
	if len(req.triedServers) < p.experiment.Rules.MaxAttempts && now < req.Deadline && !(req.Write && req.mayHaveRun) {
		candidates := slices.DeleteFunc(slices.Clone(p.readyCaches), func(server int) bool { return slices.Contains(req.triedServers, server) })
		if req.Write || req.cacheMissed {
			server = p.originServer
		} else if len(candidates) > 0 {
			server = p.pick(p, req.key, candidates)
		}
	}
	switch {
	case server >= 0:
		req.triedServers = append(req.triedServers, server)
		p.inFlight[server]++
		p.host.Send(request, server, req.Deadline-now)
	case req.Write && req.mayHaveRun:
		delete(p.requests, request)
		p.host.Fail(request)
	default:
		delete(p.requests, request)
		p.host.Reject(request, 0)
	}
}

// AttemptDone implements Policy.
func (p *baseline) AttemptDone(now routing.Time, request, attempt int, result routing.Result, requestEnded bool) {
	req := p.requests[request]
	if req == nil {
		return // ClientGone has deleted the request and its triedServers, so inFlight keeps counting the attempt
	}
	p.inFlight[req.triedServers[attempt]]--
	req.cacheMissed = req.cacheMissed || result == routing.NotFound
	req.mayHaveRun = req.mayHaveRun || result == routing.ServerError || result == routing.TimedOut || result == routing.Served
	if requestEnded {
		delete(p.requests, request)
		return
	}
	p.nextAttempt(now, request)
}
