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
	StartRequest(now routing.Time, lkp int, in routing.Request)
	AttemptDone(now routing.Time, lkp, number int, code routing.Result, ended bool)
	ClientGone(now routing.Time, lkp int)
	UpdateEndpoints(now routing.Time, how routing.UpdateKind, boxes []routing.Endpoint)
	HandleAlarm(now routing.Time, handle int)
}

// maker starts a policy for one node.
type maker func(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy

const (
	lateUtility = 0.25 // share of the utility of an answer after the latency target
	originKind  = 1    // routing.Endpoint.Kind of the origin; 0 is a cache
)

// policies are the project's own, by its ranges, and the plain ones that it is compared with.
var policies = map[string]maker{
	"ranges":  ranges,
	"random":  plainly(func(p *plain, _ uint64, fit []int) int { return fit[p.rnd.IntN(len(fit))] }),
	"hashing": plainly(hashing),
	"least":   plainly(least),
}

func ranges(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
	class := func(i routing.Idempotence) routing.Class {
		return routing.Class{Idempotence: i, LatencyTarget: e.Demand.Target.ticks(), LateUtility: lateUtility}
	}
	c := routing.DefaultConfig()
	c.Nodes = e.Fleet.Nodes
	c.CacheAside, c.OriginModel = true, originKind
	c.MaxAttempts = e.Rules.Shots
	c.MaxRetryAfter = e.Demand.Target.ticks() * 2
	c.SlowStartShare, c.SlowStartWindow = e.Fleet.ColdShare, e.Fleet.WarmUp.ticks()
	c.OverloadFactor, c.OverloadWindow = e.Rules.Overload, e.Rules.Window.ticks()
	c.Classes = []routing.Class{class(routing.Safe), class(routing.Unsafe)}
	return routing.New(host, seed, now, c)
}

// hashing takes the cache that hashes highest with the key: consistent, as only a lost cache's keys move.
func hashing(p *plain, key uint64, fit []int) int {
	score := func(i int) uint64 {
		return xxhash.Sum64(binary.LittleEndian.AppendUint64([]byte(p.boxes[i].ID), key))
	}
	return slices.MaxFunc(fit, func(x, y int) int {
		if score(x) < score(y) {
			return -1
		}
		return 1
	})
}

// least takes the cache with the fewest of the node's own shots in flight, by chance among equals.
func least(p *plain, _ uint64, fit []int) int {
	from := p.rnd.IntN(len(fit))
	best := fit[from]
	for i := range fit {
		if at := fit[(from+i)%len(fit)]; p.out[at] < p.out[best] {
			best = at
		}
	}
	return best
}

// plain is a textbook policy: it picks among ready caches, asks the origin after a miss and another cache after a
// failure, and keeps the rules on effects and drains, but spares nobody.
type plain struct {
	host  routing.Host
	e     *Experiment
	rnd   *rand.Rand
	pick  func(p *plain, key uint64, fit []int) int
	boxes map[int]routing.Endpoint
	ready []int
	at    int // the origin
	out   map[int]int
	lkps  map[int]*plainLookup
}

type plainLookup struct {
	routing.Request
	key    uint64
	tried  []int
	missed bool
	ran    bool
}

func plainly(pick func(p *plain, key uint64, fit []int) int) maker {
	return func(host routing.Host, seed uint64, now routing.Time, e *Experiment) Policy {
		host.SetAlarm(now, 0)
		return &plain{host: host, e: e, rnd: rand.New(rand.NewPCG(seed, 1)), pick: pick, boxes: map[int]routing.Endpoint{},
			at: -1, out: map[int]int{}, lkps: map[int]*plainLookup{}}
	}
}

func (p *plain) HandleAlarm(routing.Time, int) { p.host.Subscribe() }

func (p *plain) ClientGone(_ routing.Time, lkp int) { delete(p.lkps, lkp) }

func (p *plain) UpdateEndpoints(_ routing.Time, how routing.UpdateKind, boxes []routing.Endpoint) {
	if how == routing.Full || how == routing.Cached {
		clear(p.boxes)
	}
	for _, b := range boxes {
		p.boxes[b.Server] = b
	}
	p.ready, p.at = p.ready[:0], -1
	for i, b := range p.boxes {
		switch {
		case b.State != routing.Ready:
		case b.Model == 1:
			p.at = i
		default:
			p.ready = append(p.ready, i)
		}
	}
	slices.Sort(p.ready)
}

func (p *plain) StartRequest(now routing.Time, lkp int, in routing.Request) {
	key, _ := strconv.ParseUint(in.Key, 10, 64)
	p.lkps[lkp] = &plainLookup{Request: in, key: key}
	p.next(now, lkp)
}

func (p *plain) next(now routing.Time, lkp int) {
	l := p.lkps[lkp]
	to := -1
	if len(l.tried) < p.e.Rules.Shots && now < l.Deadline && !(l.Write && l.ran) {
		fit := slices.DeleteFunc(slices.Clone(p.ready), func(i int) bool { return slices.Contains(l.tried, i) })
		if l.Write || l.missed {
			to = p.at
		} else if len(fit) > 0 {
			to = p.pick(p, l.key, fit)
		}
	}
	switch {
	case to >= 0:
		l.tried = append(l.tried, to)
		p.out[to]++
		p.host.Send(lkp, to, l.Deadline-now)
	case l.Write && l.ran:
		delete(p.lkps, lkp)
		p.host.Fail(lkp)
	default:
		delete(p.lkps, lkp)
		p.host.Reject(lkp, 0)
	}
}

func (p *plain) AttemptDone(now routing.Time, lkp, number int, code routing.Result, ended bool) {
	l := p.lkps[lkp]
	if l == nil {
		return // it left; whom its shot was at is not known any more, as in many a simple program
	}
	p.out[l.tried[number]]--
	l.missed = l.missed || code == routing.NotFound
	l.ran = l.ran || code == routing.ServerError || code == routing.TimedOut || code == routing.Served
	if ended {
		delete(p.lkps, lkp)
		return
	}
	p.next(now, lkp)
}
