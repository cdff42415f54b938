package simulation

import (
	"container/list"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/thistlerudder/thistlerudder/routing"
)

// job is a shot at a server.
type job struct {
	key     uint64
	isWrite bool
	done    func(routing.Result)
}

// server is a cache or the origin: slots that work, a queue before them, and for a cache the values that it holds.
type server struct {
	endpoint routing.Endpoint
	clock    *clock
	rng      *rand.Rand
	config   ServerConfig
	isOrigin bool
	missCost float64

	coldShare  float64
	warmUp     routing.Time
	slowFactor float64 // factor on times

	busySlots, incarnation int         // life is another number after each crash: what was at work before is lost
	running                map[int]job // by their numbers
	queue                  []job
	cached                 *lruCache

	arrivalTimes       []routing.Time // of late, for the checker
	attemptCount       int
	startedJobs        int
	isSilent           bool    // it hears nothing, and is listed as before
	unansweredAttempts int     // shots that came meanwhile
	busySlotTicks      float64 // in ticks of slots
}

// speed is the share of its capacity that a server has by now.
func (s *server) capacityShare() float64 {
	age := s.clock.now - s.endpoint.StartedAt
	if s.endpoint.StartedAt == 0 || age >= s.warmUp {
		return 1
	}
	return s.coldShare + (1-s.coldShare)*float64(age)/float64(s.warmUp)
}

// capacity is what it can do in a second, warm.
func (s *server) warmJobsPerSecond() float64 {
	return float64(s.config.Slots) / s.config.Service.Seconds()
}

// take brings a shot to the server.
func (s *server) handle(j job) {
	s.attemptCount++
	switch {
	case s.isSilent:
		s.unansweredAttempts++
	case s.endpoint.State == routing.Gone:
		j.done(routing.ConnectFailed)
	case s.endpoint.State == routing.Draining:
		j.done(routing.Rejected)
	case s.busySlots < s.config.Slots:
		s.start(j)
	case len(s.queue) < s.config.Queue:
		s.queue = append(s.queue, j)
	default:
		j.done(routing.Rejected)
	}
}

func (s *server) start(j job) {
	s.busySlots++
	work := 1.0
	if s.config.Shape == "exponential" {
		work = s.rng.ExpFloat64()
	}
	result := routing.Served
	if !s.isOrigin && !s.cached.touch(j.key) {
		result, work = routing.NotFound, work*s.missCost
	}
	duration := routing.Time(math.Ceil(work * float64(s.config.Service.ticks()) * s.slowFactor / s.capacityShare()))
	s.busySlotTicks += float64(duration)
	s.startedJobs++
	incarnation, jobID := s.incarnation, s.startedJobs
	s.running[jobID] = j
	s.clock.schedule(duration, func() {
		if incarnation != s.incarnation {
			return
		}
		s.busySlots--
		delete(s.running, jobID)
		j.done(result)
		if len(s.queue) > 0 {
			next := s.queue[0]
			s.queue = s.queue[1:]
			s.start(next)
		}
	})
}

// crash ends it with all that it has.
func (s *server) crash() {
	s.incarnation++
	s.busySlots = 0
	lostJobs := s.queue
	for _, jobID := range slices.Sorted(maps.Keys(s.running)) {
		lostJobs = append(lostJobs, s.running[jobID])
	}
	clear(s.running)
	s.queue = nil
	s.endpoint.State = routing.Gone
	for _, j := range lostJobs {
		j.done(routing.ServerError)
	}
}

// values is what a cache holds: the one used longest ago goes first.
type lruCache struct {
	maxKeys  int
	order    *list.List // of uint64
	elements map[uint64]*list.Element
}

func newLRUCache(maxKeys int) *lruCache {
	return &lruCache{maxKeys: maxKeys, order: list.New(), elements: map[uint64]*list.Element{}}
}

func (c *lruCache) touch(key uint64) bool {
	e := c.elements[key]
	if e != nil {
		c.order.MoveToFront(e)
	}
	return e != nil
}

func (c *lruCache) add(key uint64) {
	if c.touch(key) {
		return
	}
	c.elements[key] = c.order.PushFront(key)
	if len(c.elements) > c.maxKeys {
		delete(c.elements, c.order.Remove(c.order.Back()).(uint64))
	}
}

func (c *lruCache) remove(key uint64) {
	if e := c.elements[key]; e != nil {
		c.order.Remove(e)
		delete(c.elements, key)
	}
}
