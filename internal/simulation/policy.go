package simulation

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/thistlerudder/thistlerudder/routing"
)

// Policy is what a node decides by; routing.Balancer is one.
type Policy interface {
	Request(now routing.Time, request int, r routing.Request)
	AttemptDone(now routing.Time, request, attempt int, result routing.Result, requestEnded bool)
	ClientGone(now routing.Time, request int)
	UpdateEndpoints(now routing.Time, kind routing.UpdateKind, endpoints []routing.Endpoint)
	Alarm(now routing.Time, handle int)
}

// maker starts a policy for one node.
type policyFactory func(host routing.Host, seed uint64, now routing.Time, experiment *Experiment) Policy

const (
	lateUtility = 0.25 // share of the utility of an answer after the latency target
	originModel = 1    // routing.Endpoint.Kind of the origin; 0 is a cache
)

// policies are the project's own, by its ranges, and the plain ones that it is compared with.
var policies = map[string]policyFactory{
	"ranges":  newBalancer,
	"random":  baselineFactory(func(p *baseline, _ uint64, candidates []int) int { return candidates[p.rng.IntN(len(candidates))] }),
	"hashing": baselineFactory(pickByHash),
	"least":   baselineFactory(pickLeastInFlight),
}

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
	config.Classes = []routing.Class{class(routing.Safe), class(routing.Unsafe)}
	return routing.New(host, seed, now, config)
}

// hashing takes the cache that hashes highest with the key: consistent, as only a lost cache's keys move.
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

// least takes the cache with the fewest of the node's own shots in flight, by chance among equals.
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

// plain is a textbook policy: it picks among ready caches, asks the origin after a miss and another cache after a
// failure, and keeps the rules on effects and drains, but spares nobody.
type baseline struct {
	host         routing.Host
	experiment   *Experiment
	rng          *rand.Rand
	pick         func(p *baseline, key uint64, candidates []int) int
	endpoints    map[int]routing.Endpoint
	readyCaches  []int
	originServer int // the origin
	inFlight     map[int]int
	requests     map[int]*baselineRequest
}

type baselineRequest struct {
	routing.Request
	key          uint64
	triedServers []int
	cacheMissed  bool
	mayHaveRun   bool
}

func baselineFactory(pick func(p *baseline, key uint64, candidates []int) int) policyFactory {
	return func(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
		host.SetAlarm(now, 0)
		return &baseline{host: host, experiment: e, rng: rand.New(rand.NewPCG(seed, 1)), pick: pick, endpoints: map[int]routing.Endpoint{},
			originServer: -1, inFlight: map[int]int{}, requests: map[int]*baselineRequest{}}
	}
}

func (p *baseline) Alarm(routing.Time, int) { p.host.Subscribe() }

func (p *baseline) ClientGone(_ routing.Time, request int) { delete(p.requests, request) }

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

func (p *baseline) Request(now routing.Time, request int, r routing.Request) {
	key, _ := strconv.ParseUint(r.Key, 10, 64)
	p.requests[request] = &baselineRequest{Request: r, key: key}
	p.nextAttempt(now, request)
}

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

func (p *baseline) AttemptDone(now routing.Time, request, attempt int, result routing.Result, requestEnded bool) {
	req := p.requests[request]
	if req == nil {
		return // it left; whom its shot was at is not known any more, as in many a simple program
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
