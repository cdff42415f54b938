package soaktest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// manner is how a server answers one request.
type manner string

const (
	well         manner = "well"
	miss         manner = "miss"
	hang         manner = "hang"
	resetBefore  manner = "reset before the work"
	resetAfter   manner = "reset after the work"
	half         manner = "half an answer"
	twice        manner = "answered twice"
	late         manner = "late"
	lateReset    manner = "reset late"
	open         manner = "no length"
	openReset    manner = "no length, reset"
	shed         manner = "shed"
	fails        manner = "error"
	closesIdle   manner = "closed after the answer"
	resetsIdle   manner = "reset after the answer"
	forgetsQuick manner = "dropped without a word"
)

var troubles = []manner{hang, resetBefore, resetAfter, half, twice, late, lateReset, open, openReset, shed, fails, closesIdle, resetsIdle, forgetsQuick}

// server is a stand-in of a cache server or the origin.
type server struct {
	id       string
	origin   bool
	ledger   *ledger
	struck   *tally
	mu       sync.Mutex
	rand     *rand.Rand
	mix      map[manner]float64 // chance of each trouble now
	listener net.Listener
	open     map[net.Conn]bool
}

// secondMost is how late a second answer is to be at most. One that is later was held up here, and a node can't rule it out.
const secondMost = 9 * time.Millisecond

var connections atomic.Int64

func newServer(id string, origin bool, l *ledger, t *tally, seed uint64) *server {
	return &server{id: id, origin: origin, ledger: l, struck: t, rand: rand.New(rand.NewPCG(seed, 7)),
		mix: map[manner]float64{}, open: map[net.Conn]bool{}}
}

// start listens at an address of its own.
func (s *server) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.open[c] = true
			s.mu.Unlock()
			go s.serve(c.(*net.TCPConn))
		}
	}()
	return nil
}

func (s *server) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// die ends the listener, and resets what is open.
func (s *server) die() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	for c := range s.open {
		reset(c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// trouble sets the chance of a trouble.
func (s *server) trouble(m manner, chance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mix[m] = chance
}

// draw draws how the next request is answered, and how long the work takes.
func (s *server) draw() (manner, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	work := time.Duration(s.rand.Int64N(int64(12 * time.Millisecond)))
	x := s.rand.Float64()
	for _, m := range troubles {
		if x -= s.mix[m]; x < 0 {
			return m, work
		}
	}
	if !s.origin && s.rand.Float64() < 0.25 {
		return miss, work / 4
	}
	return well, work
}

// between draws a span.
func (s *server) between(from, to time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return from + time.Duration(s.rand.Int64N(int64(to-from)+1))
}

// serve answers one connection.
func (s *server) serve(c *net.TCPConn) {
	nth := connections.Add(1)
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.open, c)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(c)
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		a := &attempt{server: s.id, connection: nth, first: time.Now()}
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		id := r.Header.Get("X-Trace-Id")
		a.told = micros(r.Header.Get("X-Expires-In"))
		known := s.ledger.arrived(id, a)
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.ledger.change(func() { a.last = time.Now() })
		if !known {
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		ended := make(chan struct{})
		go func() { // the node's end, while the request is worked on
			defer close(ended)
			if _, err := in.Peek(1); err != nil {
				s.ledger.over(a)
			}
		}()
		if !s.answer(c, id, a, ended) {
			return
		}
		<-ended // the next request's first byte, or the end
	}
}

func micros(text string) time.Duration {
	us, _ := strconv.ParseInt(strings.TrimSuffix(text, "u"), 10, 64)
	return time.Duration(us) * time.Microsecond
}

// answer answers one request, and says whether the connection goes on.
func (s *server) answer(c *net.TCPConn, id string, a *attempt, ended <-chan struct{}) bool {
	how, work := s.draw()
	if how != well && how != miss {
		s.struck.add("server: "+string(how), 1)
	}
	body := fmt.Sprintf("%s %s %d %d", id, s.id, a.connection, time.Now().UnixNano())
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	endless := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + body
	over := func() { s.ledger.over(a) }
	proves := func() { s.ledger.change(func() { a.notRun = time.Now() }) }
	works := func() {
		time.Sleep(work)
		s.ledger.change(func() { a.ran = true })
	}
	switch how {
	case hang:
		<-ended
		return false
	case forgetsQuick:
		if a.told > 20*time.Millisecond {
			break // as well
		}
		<-ended
		return false
	case lateReset:
		time.Sleep(s.between(130*time.Millisecond, 300*time.Millisecond))
		works()
		over()
		reset(c)
		return false
	case resetBefore:
		over()
		reset(c)
		return false
	case resetAfter:
		works()
		over()
		reset(c)
		return false
	case half:
		works()
		fmt.Fprint(c, whole[:len(whole)-1-int(s.between(0, time.Duration(len(body)-1)))])
		time.Sleep(s.between(0, 5*time.Millisecond))
		over()
		if work%2 == 0 {
			reset(c)
		}
		return false
	case late:
		time.Sleep(s.between(30*time.Millisecond, 300*time.Millisecond))
	case open, openReset:
		works()
		if how == open {
			s.ledger.makes(id, body)
			over()
			fmt.Fprint(c, endless)
			return false
		}
		fmt.Fprint(c, endless)
		time.Sleep(s.between(0, 5*time.Millisecond))
		over()
		reset(c)
		return false
	case shed:
		proves()
		over()
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case miss:
		time.Sleep(work)
		proves()
		over()
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	case fails:
		works()
		over()
		fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	works()
	s.ledger.makes(id, body)
	over()
	answered := time.Now() // before the write: this process may have no core between it and the next line
	fmt.Fprint(c, whole)
	switch how {
	case twice:
		time.Sleep(s.between(time.Millisecond, 6*time.Millisecond))
		fmt.Fprint(c, whole)
		if after := time.Since(answered); after > secondMost {
			s.ledger.change(func() { s.ledger.seconds[body] = after })
		}
	case closesIdle:
		time.Sleep(s.between(0, 30*time.Millisecond))
		return false
	case resetsIdle:
		time.Sleep(s.between(0, 30*time.Millisecond))
		reset(c)
		return false
	}
	return true
}
