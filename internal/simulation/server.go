package simulation

import (
	"container/list"
	"maps"
	"math"
	"math/rand/v2"
	"slices"

	"github.com/thistlerudder/thistlerudder/routing"
)

// job is an attempt of a request as a server sees it.
type job struct {
	key     uint64
	isWrite bool
	done    func(routing.Result) // called with the result; never called if the job arrives while the server is silent
}

// server simulates a cache or the origin: a queue in front of slots that each execute one job at a time. A cache also
// holds a limited number of keys.
type server struct {
	endpoint routing.Endpoint
	clock    *clock
	rng      *rand.Rand
	config   ServerConfig
	isOrigin bool
	missCost float64 // service time of a miss, relative to that of a hit

	coldShare  float64      // share of its capacity that a cache has right after its start
	warmUp     routing.Time // from the start to full capacity
	slowFactor float64      // multiplies service times

	busySlots   int
	incarnation int         // number of crashes; the end of a job that started before a crash is ignored
	running     map[int]job // by job ID
	queue       []job
	cached      *lruCache // keys that a cache holds

	arrivalTimes       []routing.Time // of attempts in the current window of checker.attemptArrived
	attemptCount       int            // attempts that reached the server
	startedJobs        int            // also the ID of the latest job
	isSilent           bool           // it ignores arriving attempts and stays on the endpoint list
	unansweredAttempts int            // attempts that it ignored while silent
	busySlotTicks      float64        // sum of the service times of all started jobs, in ticks
}

// capacityShare returns the current capacity relative to that of a warm server. It rises linearly during the warm-up.
func (s *server) capacityShare() float64 {
	age := s.clock.now - s.endpoint.StartedAt
	if s.endpoint.StartedAt == 0 || age >= s.warmUp {
		return 1
	}
	return s.coldShare + (1-s.coldShare)*float64(age)/float64(s.warmUp)
}

// warmJobsPerSecond returns the capacity of a warm server, in cache hits per second for a cache.
func (s *server) warmJobsPerSecond() float64 {
	return float64(s.config.Slots) / s.config.Service.Seconds()
}

// handle starts, queues, rejects or ignores an attempt that has reached the server.
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

// start executes a job in a free slot.
func (s *server) start(j job) {
	s.busySlots++
	work := 1.0 // service time of a hit on a warm server, relative to the mean
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

// crash removes the server from the list and fails its queued and running jobs.
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

// lruCache is a set of keys that evicts the least recently used one.
type lruCache struct {
	maxKeys  int
	order    *list.List // of keys (uint64), the most recently used first
	elements map[uint64]*list.Element
}

func newLRUCache(maxKeys int) *lruCache {
	return &lruCache{maxKeys: maxKeys, order: list.New(), elements: map[uint64]*list.Element{}}
}

// touch marks a key as used and reports whether it is present.
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
