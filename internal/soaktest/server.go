package soaktest

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// behavior is how a server answers one request. The values of the server faults are their names in reports.
type behavior string

const (
	normal            behavior = "well" // 200 with a body
	miss              behavior = "miss" // 404 from a cache that does not hold the object, which proves that the request did not run
	hang              behavior = "hang" // no answer
	resetBeforeWork   behavior = "reset before the work"
	resetAfterWork    behavior = "reset after the work"
	truncated         behavior = "half an answer"          // the answer ends before its declared length
	answeredTwice     behavior = "answered twice"          // the same answer again a few milliseconds later
	delayed           behavior = "late"                    // the answer comes 30 to 300 ms late
	delayedReset      behavior = "reset late"              // a reset after 130 to 300 ms
	noLength          behavior = "no length"               // an answer of undeclared length, completed by a close
	noLengthReset     behavior = "no length, reset"        // an answer of undeclared length, ended by a reset
	shed              behavior = "shed"                    // 503 with the proof that the request did not run
	serverError       behavior = "error"                   // 500 after the work
	closeAfterAnswer  behavior = "closed after the answer" // a complete answer, then a close
	resetAfterAnswer  behavior = "reset after the answer"  // a complete answer, then a reset
	dropShortDeadline behavior = "dropped without a word"  // no answer to an attempt that declares 20 ms or less; others are answered
)

// serverFaults lists the behaviors that faults of servers can have, in the order in which they are drawn.
var serverFaults = []behavior{hang, resetBeforeWork, resetAfterWork, truncated, answeredTwice, delayed, delayedReset,
	noLength, noLengthReset, shed, serverError, closeAfterAnswer, resetAfterAnswer, dropShortDeadline}

// server is the stand-in of a cache server or of the origin.
type server struct {
	id           string
	isOrigin     bool
	recorder     *recorder
	faultCounts  *counters
	hangShare    float64 // share of requests that are not answered, in addition to those by a fault
	endlessShare float64 // share of requests with an endless answer, likewise
	slowPeers    bool
	slowRNG      *rand.Rand // draws slow answers
	mu           sync.Mutex
	rng          *rand.Rand
	faultChances map[behavior]float64 // current chance of each fault
	listener     net.Listener
	aborted      bool // abort was called
	openConns    map[net.Conn]bool
}

// maxSecondAnswerDelay bounds the delay of a second answer. A longer delay is caused by a scheduling delay of this process. A node
// cannot recognize such an answer, because the connection may have been reused by then.
const maxSecondAnswerDelay = 9 * time.Millisecond

var connectionCount atomic.Int64 // connections accepted by all servers so far

func newServer(id string, isOrigin bool, rec *recorder, faultCounts *counters, seed uint64) *server {
	return &server{id: id, isOrigin: isOrigin, recorder: rec, faultCounts: faultCounts, rng: rand.New(rand.NewPCG(seed, 7)),
		slowRNG:      rand.New(rand.NewPCG(seed, 8)),
		faultChances: map[behavior]float64{}, openConns: map[net.Conn]bool{}}
}

// start listens at a port of its own and serves connections.
func (s *server) start() error {
	config := s.listenConfig()
	l, err := config.Listen(context.Background(), "tcp", "127.0.0.1:0")
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
			s.openConns[c] = true
			s.mu.Unlock()
			go s.serveConn(c.(*net.TCPConn))
		}
	}()
	return nil
}

func (s *server) address() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.listener.Addr().String()
}

// abort closes the listener and resets all open connections.
func (s *server) abort() {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.listener.Close()
	s.aborted = true
	for c := range s.openConns {
		resetConn(c)
	}
}

// resetConn closes a connection with a TCP reset.
func resetConn(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// setFaultChance sets the chance that a request is answered with a fault.
func (s *server) setFaultChance(fault behavior, chance float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faultChances[fault] = chance
}

// drawBehavior draws how the next request is answered and how long its work takes.
func (s *server) drawBehavior() (behavior, time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	workTime := time.Duration(s.rng.Int64N(int64(12 * time.Millisecond)))
	if s.hangShare > 0 && s.rng.Float64() < s.hangShare { // without a share, the draws below stay the same
		return hang, workTime
	}
	if share := s.endlessShare + s.faultChances[endless]; share > 0 && s.rng.Float64() < share { // likewise
		return endless, workTime
	}
	roll := s.rng.Float64()
	for _, fault := range serverFaults {
		if roll -= s.faultChances[fault]; roll < 0 {
			return fault, workTime
		}
	}
	if !s.isOrigin && s.rng.Float64() < 0.25 {
		return miss, workTime / 4
	}
	return normal, workTime
}

// randomDuration draws a duration with the server's own generator.
func (s *server) randomDuration(shortest, longest time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return shortest + time.Duration(s.rng.Int64N(int64(longest-shortest)+1))
}

// drawEndlessAnswer draws the form of an endless answer with the server's own generator.
func (s *server) drawEndlessAnswer() endlessAnswer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return drawEndlessAnswer(s.rng)
}

// serveConn answers the requests of one connection.
func (s *server) serveConn(c *net.TCPConn) {
	connectionID := connectionCount.Add(1)
	defer func() {
		_ = c.Close()
		s.mu.Lock()
		delete(s.openConns, c)
		s.mu.Unlock()
	}()
	reader := bufio.NewReader(c)
	for {
		if _, err := reader.Peek(1); err != nil {
			return
		}
		a := &attempt{serverID: s.id, connectionID: connectionID, firstByteAt: time.Now()}
		req, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		id := req.Header.Get("X-Trace-Id")
		a.declaredDeadline = parseMicroseconds(req.Header.Get("X-Expires-In"))
		known := s.recorder.addAttempt(id, a)
		if err := s.readSlowly(req); err != nil {
			return
		}
		s.recorder.update(func() { a.lastByteAt = time.Now() })
		if !known {
			fmt.Fprint(c, "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		peeked := make(chan struct{})
		go func() { // notices while the request is in progress that the node has closed the connection
			defer close(peeked)
			if _, err := reader.Peek(1); err != nil {
				s.recorder.endAttempt(a)
			}
		}()
		if !s.answer(c, id, a, peeked) {
			return
		}
		<-peeked // the first byte of the next request has arrived, or the connection has ended
	}
}

// parseMicroseconds parses a duration such as "1500u".
func parseMicroseconds(text string) time.Duration {
	us, _ := strconv.ParseInt(strings.TrimSuffix(text, "u"), 10, 64)
	return time.Duration(us) * time.Microsecond
}

// answer answers one request and reports whether the connection stays open.
func (s *server) answer(c *net.TCPConn, id string, a *attempt, peeked <-chan struct{}) bool {
	if form, drawn := s.drawSlowAnswer(a.declaredDeadline); drawn {
		s.answerSlowly(c, id, a, form, peeked)
		return false
	}
	chosen, workTime := s.drawBehavior()
	if chosen != normal && chosen != miss {
		s.faultCounts.add("server: "+string(chosen), 1)
	}
	body := fmt.Sprintf("%s %s %d %d", id, s.id, a.connectionID, time.Now().UnixNano())
	response := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	responseWithoutLength := "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\nConnection: close\r\n\r\n" + body
	endAttempt := func() { s.recorder.endAttempt(a) }
	markNotRun := func() { s.recorder.update(func() { a.provedNotRunAt = time.Now() }) }
	doWork := func() {
		time.Sleep(workTime)
		s.recorder.update(func() { a.ran = true })
	}
	switch chosen {
	case hang:
		<-peeked
		return false
	case endless:
		doWork()
		form := s.drawEndlessAnswer()
		s.recorder.update(func() { a.mayBecomeLong = form.mayBecomeLong() })
		form.send(c, peeked)
		return false
	case dropShortDeadline:
		if a.declaredDeadline > 20*time.Millisecond {
			break // answered as usual
		}
		<-peeked
		return false
	case delayedReset:
		time.Sleep(s.randomDuration(130*time.Millisecond, 300*time.Millisecond))
		doWork()
		endAttempt()
		resetConn(c)
		return false
	case resetBeforeWork:
		endAttempt()
		resetConn(c)
		return false
	case resetAfterWork:
		doWork()
		endAttempt()
		resetConn(c)
		return false
	case truncated:
		doWork()
		fmt.Fprint(c, response[:len(response)-1-int(s.randomDuration(0, time.Duration(len(body)-1)))])
		time.Sleep(s.randomDuration(0, 5*time.Millisecond))
		endAttempt()
		if workTime%2 == 0 {
			resetConn(c)
		}
		return false
	case delayed:
		time.Sleep(s.randomDuration(30*time.Millisecond, 300*time.Millisecond))
	case noLength, noLengthReset:
		doWork()
		if chosen == noLength {
			s.recorder.addCompleteBody(id, body)
			endAttempt()
			fmt.Fprint(c, responseWithoutLength)
			return false
		}
		fmt.Fprint(c, responseWithoutLength)
		time.Sleep(s.randomDuration(0, 5*time.Millisecond))
		endAttempt()
		resetConn(c)
		return false
	case shed:
		markNotRun()
		endAttempt()
		fmt.Fprintf(c, "HTTP/1.1 503 Service Unavailable\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
		return true
	case miss:
		time.Sleep(workTime)
		markNotRun()
		endAttempt()
		fmt.Fprint(c, "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
		return true
	case serverError:
		doWork()
		endAttempt()
		fmt.Fprint(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	doWork()
	s.recorder.addCompleteBody(id, body)
	endAttempt()
	writeStart := time.Now() // before the write, as this process may be descheduled between the two lines
	fmt.Fprint(c, response)
	switch chosen {
	case answeredTwice:
		time.Sleep(s.randomDuration(time.Millisecond, 6*time.Millisecond))
		fmt.Fprint(c, response)
		if delay := time.Since(writeStart); delay > maxSecondAnswerDelay {
			s.recorder.update(func() { s.recorder.lateSecondAnswers[body] = delay })
		}
	case closeAfterAnswer:
		time.Sleep(s.randomDuration(0, 30*time.Millisecond))
		return false
	case resetAfterAnswer:
		time.Sleep(s.randomDuration(0, 30*time.Millisecond))
		resetConn(c)
		return false
	}
	return true
}
