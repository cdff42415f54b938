package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// crowd is clients that open connections and rest on them, some after a lookup; who is closed comes again a little later.
type crowd struct {
	stop    chan struct{}
	clients sync.WaitGroup
	open    atomic.Int64
	turned  atomic.Int64 // closed by the node
}

const (
	crowdPause = 200 * time.Millisecond // until one that was closed comes again
	crowdRest  = 10 * time.Second       // longer than the test
)

func (c *crowd) fill(address string, clients int, used func(i int) bool) {
	for i := range clients {
		c.clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-c.stop:
					return
				default:
				}
				c.rest(address, fmt.Sprintf("idle-%d-%d", i, n), used(i))
				select {
				case <-c.stop:
					return
				case <-time.After(crowdPause):
				}
			}
		})
	}
}

// rest opens one connection, and holds it until the node or the test ends it.
func (c *crowd) rest(address, id string, used bool) {
	conn, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		return
	}
	c.open.Add(1)
	defer c.open.Add(-1)
	defer conn.Close()
	ended := make(chan struct{})
	defer close(ended)
	go func() {
		select {
		case <-c.stop:
			_ = conn.Close()
		case <-ended:
		}
	}()
	_ = conn.SetDeadline(time.Now().Add(crowdRest))
	in := bufio.NewReader(conn)
	if used {
		fmt.Fprintf(conn, "GET /read/%s HTTP/1.1\r\nHost: n\r\nX-Trace-Id: %s\r\nX-Expires-In: 2000m\r\n\r\n", id, id)
		if r, err := http.ReadResponse(in, nil); err == nil {
			_, _ = in.Discard(int(r.ContentLength))
		}
	}
	_, _ = in.ReadByte() // until its end
	c.turned.Add(1)
}

// Idle clients take every place that they can get while discovery is down. The list is had again at its return, drains
// told then are kept, operators are answered, a reload reads its file and moves the list, and who comes later is
// answered: under the limit that the configuration names, under a lower one that the process was started with, and
// with clients filling it before the outage, in it and at its end.
func TestIdleClientsLeaveTheReserveAlone(t *testing.T) {
	for name, c := range map[string]struct {
		sockets, limit int // the configuration's, and the process's own; 0: neither says
		most           int // descriptors that it may have
	}{
		"the configuration's":       {64, 0, 64},
		"both":                      {64, 64, 64},
		"the process's is lower":    {1024, 64, 64},
		"a little lower, by chance": {0, 100, 100},
		"lower than any would name": {64, 40, 40},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			idleClients(t, c.sockets, c.limit, c.most)
		})
	}
}

func idleClients(t *testing.T, sockets, limit, most int) {
	entries, counters := newCounters(t, 50*time.Millisecond, "a", "b", "c")
	old, next := newService(t, entries), newService(t, entries)
	old.up()
	next.up()
	more, env := map[string]any{}, []string{}
	if sockets != 0 {
		more["limits"] = map[string]any{"cores": 1, "memory_mb": 64, "sockets": sockets}
	}
	if limit != 0 {
		env = append(env, fmt.Sprintf("%s=%d", descriptorLimit, limit))
	}
	p := newProcess(t, old.address, more, env...)
	p.start(t)
	if after, yes := p.ready(5 * time.Second); !yes {
		t.Fatalf("not ready after %v:\n%s", after, tail(p.log.String()))
	}

	done := make(chan struct{})
	var watching sync.WaitGroup
	highest := 0
	watching.Go(func() {
		for {
			highest = max(highest, descriptors(p.Cmd))
			select {
			case <-done:
				return
			case <-time.After(2 * time.Millisecond):
			}
		}
	})
	var mu sync.Mutex
	var spans []time.Duration
	ends := map[int]int{}
	late := func(n int) { // lookups of those who come later
		var lookups sync.WaitGroup
		for i := range n {
			time.Sleep(20 * time.Millisecond)
			lookups.Go(func() {
				began := time.Now()
				id := fmt.Sprintf("late-%d-%d", began.UnixNano(), i)
				status, body := lookup(p.listen, "/read/"+id, id, 6*time.Second)
				if status == http.StatusOK && body != "value of /read/"+id {
					t.Errorf("%s: another's value %q", id, body)
				}
				mu.Lock()
				defer mu.Unlock()
				ends[status]++
				spans = append(spans, time.Since(began))
			})
		}
		lookups.Wait()
	}
	idle := &crowd{stop: make(chan struct{})}
	hold := &crowd{stop: idle.stop} // callers at the operators' address that never bring a call
	defer func() {
		close(idle.stop)
		idle.clients.Wait()
		hold.clients.Wait()
	}()
	operators := func(when string) {
		t.Helper()
		began := time.Now()
		if status := call(p.admin, "GET", "/status"); status != http.StatusOK || time.Since(began) > time.Second {
			t.Errorf("%s: the operators' address answers %d after %v", when, status, time.Since(began))
		}
	}
	reload := func(when, line string) {
		t.Helper()
		before := strings.Count(p.log.String(), line)
		_ = p.Process.Signal(syscall.SIGHUP)
		if !waitFor(4*time.Second, func() bool { return strings.Count(p.log.String(), line) > before }) {
			t.Errorf("%s: a reload gives no line %q:\n%s", when, line, tail(p.log.String()))
		}
	}
	drained := func(s *service, id string, within time.Duration, when string) {
		t.Helper()
		began := time.Now()
		if !waitFor(within, func() bool { return !s.toldAt().IsZero() }) {
			t.Errorf("%s: the list is not had within %v:\n%s", when, within, tail(p.log.String()))
			return
		}
		told := s.toldAt()
		late(20)
		time.Sleep(time.Until(told.Add(600 * time.Millisecond)))
		if n, latest := counters[id].seen(); n > 0 && latest.Sub(told) > 400*time.Millisecond {
			t.Errorf("%s: %s is sent a lookup %v after its drain was told", when, id, latest.Sub(told))
		}
		t.Logf("%s: the list is had after %v", when, told.Sub(began).Round(time.Millisecond))
	}

	hold.fill(p.admin, 2*most/3, func(int) bool { return false })
	idle.fill(p.listen, most, func(i int) bool { return i%2 == 0 }) // before the outage
	late(10)
	old.down()
	idle.fill(p.listen, most/2, func(i int) bool { return i%3 == 0 }) // in it
	old.change("b", "Terminating")
	operators("in the outage")
	reload("in the outage", "configuration reloaded")
	late(30)
	idle.fill(p.listen, most/2, func(int) bool { return false }) // at its end
	old.up()
	drained(old, "b", 6*time.Second, "at the return")
	operators("after the outage")
	next.change("b", "Terminating")
	next.change("c", "Terminating")
	p.configure(t, next.address, more)
	reload("after the outage", "switched to another discovery service")
	drained(next, "c", 4*time.Second, "at a reload")
	held := idle.open.Load()
	close(done)
	watching.Wait()

	slices.Sort(spans)
	t.Logf("%d descriptors at the most, of %d; %d idle connections, %d turned away; late lookups %v, p90 %v, worst %v", highest, most,
		held, idle.turned.Load(), ends, spans[len(spans)*9/10].Round(time.Millisecond), spans[len(spans)-1].Round(time.Millisecond))
	if highest > most {
		t.Errorf("%d descriptors, the limit is %d", highest, most)
	}
	if strings.Contains(p.log.String(), "too many open files") {
		t.Errorf("it ran out of descriptors:\n%s", p.log.String())
	}
	if unanswered := len(spans) - ends[http.StatusOK] - ends[http.StatusServiceUnavailable]; unanswered > 0 || ends[http.StatusOK] < len(spans)*8/10 {
		t.Errorf("late lookups: %v of %d", ends, len(spans))
	}
	p.stop(t)
}

// Two processes of a node at an upgrade have the descriptors of one, also when idle clients had taken every place of the
// first, and go on coming.
func TestAnUpgradeAmongIdleClients(t *testing.T) {
	t.Parallel()
	for _, most := range []int{64, 128} {
		t.Run(fmt.Sprint(most), func(t *testing.T) {
			t.Parallel()
			entries, _ := newCounters(t, 20*time.Millisecond, "a", "b")
			s := newService(t, entries)
			s.up()
			socket := listenAt(t, freeAddress(t))
			defer socket.Close()
			passed, err := socket.(*net.TCPListener).File()
			if err != nil {
				t.Fatal(err)
			}
			defer passed.Close()
			more := map[string]any{"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": most}}
			first := newProcess(t, s.address, more, "BALANCER_PASSED_SOCKET=3")
			first.listen, first.passed = socket.Addr().String(), passed
			first.configure(t, s.address, more)
			first.start(t)
			if after, yes := first.ready(5 * time.Second); !yes {
				t.Fatalf("not ready after %v:\n%s", after, tail(first.log.String()))
			}
			idle := &crowd{stop: make(chan struct{})}
			defer func() {
				close(idle.stop)
				idle.clients.Wait()
			}()
			idle.fill(first.listen, most, func(i int) bool { return i%2 == 0 })
			time.Sleep(time.Second)
			second := *first
			second.admin = freeAddress(t)
			second.config += ".second"
			second.configure(t, s.address, more)
			second.start(t)
			began, highest, at, over := time.Now(), 0, time.Duration(0), 0
			look := func() {
				if n := descriptors(first.Cmd) + descriptors(second.Cmd); n > highest {
					highest, at = n, time.Since(began)
				} else if n > most {
					over++
				}
			}
			for yes := false; !yes; yes = call(second.admin, "GET", "/status") == http.StatusOK {
				look()
				if time.Since(began) > 5*time.Second {
					t.Fatalf("no yes:\n%s", tail(second.log.String()))
				}
			}
			for time.Since(began) < time.Second {
				look()
				time.Sleep(2 * time.Millisecond)
			}
			_ = first.Process.Signal(syscall.SIGTERM)
			for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
				look()
			}
			if status, body := lookup(second.listen, "/read/k", "after", 5*time.Second); status != http.StatusOK {
				t.Errorf("%d %q", status, body)
			}
			t.Logf("%d descriptors at the most, %v after the second's start, of %d; %d looks over that", highest, at, most, over)
			if highest > most {
				t.Errorf("%d descriptors together, the limit is %d", highest, most)
			}
			if err := first.Wait(); err != nil {
				t.Error(err)
			}
			second.stop(t)
		})
	}
}
