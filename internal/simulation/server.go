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
	key   uint64
	write bool
	done  func(routing.Result)
}

// server is a cache or the origin: slots that work, a queue before them, and for a cache the values that it holds.
type server struct {
	box    routing.Endpoint
	clock  *clock
	rnd    *rand.Rand
	of     Station
	origin bool
	miss   float64

	coldShare float64
	warmUp    routing.Time
	slow      float64 // factor on times

	busy, life int         // life is another number after each crash: what was at work before is lost
	working    map[int]job // by their numbers
	waiting    []job
	values     *values

	arrivals []routing.Time // of late, for the checker
	jobs     int
	begun    int
	silent   bool    // it hears nothing, and is listed as before
	unheard  int     // shots that came meanwhile
	worked   float64 // in ticks of slots
}

// speed is the share of its capacity that a server has by now.
func (s *server) speed() float64 {
	age := s.clock.now - s.box.StartedAt
	if s.box.StartedAt == 0 || age >= s.warmUp {
		return 1
	}
	return s.coldShare + (1-s.coldShare)*float64(age)/float64(s.warmUp)
}

// capacity is what it can do in a second, warm.
func (s *server) capacity() float64 {
	return float64(s.of.Slots) / s.of.Service.Seconds()
}

// take brings a shot to the server.
func (s *server) take(j job) {
	s.jobs++
	switch {
	case s.silent:
		s.unheard++
	case s.box.State == routing.Gone:
		j.done(routing.ConnectFailed)
	case s.box.State == routing.Draining:
		j.done(routing.Rejected)
	case s.busy < s.of.Slots:
		s.begin(j)
	case len(s.waiting) < s.of.Queue:
		s.waiting = append(s.waiting, j)
	default:
		j.done(routing.Rejected)
	}
}

func (s *server) begin(j job) {
	s.busy++
	work := 1.0
	if s.of.Shape == "exponential" {
		work = s.rnd.ExpFloat64()
	}
	code := routing.Served
	if !s.origin && !s.values.use(j.key) {
		code, work = routing.NotFound, work*s.miss
	}
	span := routing.Time(math.Ceil(work * float64(s.of.Service.ticks()) * s.slow / s.speed()))
	s.worked += float64(span)
	s.begun++
	life, nth := s.life, s.begun
	s.working[nth] = j
	s.clock.in(span, func() {
		if life != s.life {
			return
		}
		s.busy--
		delete(s.working, nth)
		j.done(code)
		if len(s.waiting) > 0 {
			next := s.waiting[0]
			s.waiting = s.waiting[1:]
			s.begin(next)
		}
	})
}

// crash ends it with all that it has.
func (s *server) crash() {
	s.life++
	s.busy = 0
	lost := s.waiting
	for _, nth := range slices.Sorted(maps.Keys(s.working)) {
		lost = append(lost, s.working[nth])
	}
	clear(s.working)
	s.waiting = nil
	s.box.State = routing.Gone
	for _, j := range lost {
		j.done(routing.ServerError)
	}
}

// values is what a cache holds: the one used longest ago goes first.
type values struct {
	most  int
	order *list.List // of uint64
	at    map[uint64]*list.Element
}

func newValues(most int) *values {
	return &values{most: most, order: list.New(), at: map[uint64]*list.Element{}}
}

func (v *values) use(key uint64) bool {
	e := v.at[key]
	if e != nil {
		v.order.MoveToFront(e)
	}
	return e != nil
}

func (v *values) store(key uint64) {
	if v.use(key) {
		return
	}
	v.at[key] = v.order.PushFront(key)
	if len(v.at) > v.most {
		delete(v.at, v.order.Remove(v.order.Back()).(uint64))
	}
}

func (v *values) drop(key uint64) {
	if e := v.at[key]; e != nil {
		v.order.Remove(e)
		delete(v.at, key)
	}
}
