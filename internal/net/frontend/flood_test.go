package frontend

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

const putHead = "PUT /once/k HTTP/1.1\r\nHost: h\r\nX-Trace-Id: f\r\n" + within + "\r\n"

// floods are what bad clients send: a beginning, then one piece without end.
var floods = []struct {
	name, first, again string
	want               string // the status with which one is turned away at the latest
}{
	{"a request line without end", "GET /read/", "kkkkkkkkkkkkkkkk", "431"},
	{"a header without end", "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Long: ", "xxxxxxxxxxxxxxxx", "431"},
	{"headers without end", "GET /read/k HTTP/1.1\r\nHost: h\r\n", "X-More: 1\r\n", "431"},
	{"folded lines without end", "GET /read/k HTTP/1.1\r\nHost: h\r\nX-More: 1\r\n", " folded\r\n", "431"},
	{"empty lines without end", "", "\r\n", "400"},
	{"garbage", "", "\x00\xff\r\n\r\n \x16", "400"},
	{"garbage behind a request", "GET /up HTTP/1.1\r\nHost: h\r\n\r\n", "\x00\xff\r\n\r\n ", "400"},
	{"a chunk's extension without end", putHead + "Transfer-Encoding: chunked\r\n\r\n1", ";extension=1", "400"},
	{"chunks with long extensions", putHead + "Transfer-Encoding: chunked\r\n\r\n", "1;" + strings.Repeat("e", 900) + "\r\nx\r\n", "400"},
	{"a chunk's size without end", putHead + "Transfer-Encoding: chunked\r\n\r\n", "0000000000", "400"},
	{"a trailer without end", putHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Long: ", "xxxxxxxxxxxxxxxx", "400"},
	{"trailers without end", putHead + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: 1\r\n", "400"},
	{"a body without end", putHead + "Transfer-Encoding: chunked\r\n\r\n", "10\r\n0123456789abcdef\r\n", "413"},
	{"more than was told", putHead + "Content-Length: 99999999\r\n\r\n", "0123456789abcdef", "413"},
}

// What never ends is turned away with a whole answer and ended, however long it goes on.
func TestWhatNeverEndsIsTurnedAway(t *testing.T) {
	t.Parallel()
	for _, f := range floods {
		t.Run(f.name, func(t *testing.T) {
			t.Parallel()
			_, ships, address := serve(t, 8, true)
			sent := answerAll(t, ships, []byte("v"))
			conn, began := dial(t, address), time.Now()
			_ = conn.SetDeadline(began.Add(8 * time.Second))
			wrote := make(chan error, 1)
			go func() {
				_, err := fmt.Fprint(conn, f.first)
				for piece := []byte(strings.Repeat(f.again, 1+(4<<10)/len(f.again))); err == nil; {
					_, err = conn.Write(piece)
				}
				wrote <- err
			}()
			text, _ := io.ReadAll(conn.in)
			text = bytes.TrimPrefix(text, []byte("HTTP/1.1 200 OK")) // of /up
			if !bytes.Contains(text, []byte("HTTP/1.1 "+f.want)) {
				t.Errorf("%q", text)
			}
			if err := <-wrote; errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("still heard after %v", time.Since(began))
			}
			if sent("f") {
				t.Error("sent on")
			}
		})
	}
}

// descriptors gives how many this process has open.
func descriptors(t *testing.T) int {
	entries, err := os.ReadDir("/proc/self/fd")
	if err != nil {
		t.Fatal(err)
	}
	return len(entries)
}

// Floods of clients that send much and go, by an end, a reset, or by falling silent, cost bounded memory, goroutines and
// descriptors, and a client beside them is answered each time.
func TestFloodsAreBoundedAndHoldNobodyUp(t *testing.T) {
	const places, flooders = 64, 48
	c, ships, address := serve(t, places, true)
	answerAll(t, ships, []byte("v"))
	runtime.GC()
	var before, peak runtime.MemStats
	runtime.ReadMemStats(&before)
	goroutines, open := runtime.NumGoroutine(), descriptors(t)
	stop := make(chan struct{})
	var crowd sync.WaitGroup
	var came, sent atomic.Int64
	for i := range flooders {
		chance := rand.New(rand.NewPCG(uint64(i), 1))
		crowd.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				conn, err := net.DialTimeout("tcp", address, time.Second)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				came.Add(1)
				f := floods[chance.IntN(len(floods))]
				_ = conn.SetDeadline(time.Now().Add(time.Duration(50+chance.IntN(300)) * time.Millisecond))
				n, _ := fmt.Fprint(conn, f.first, strings.Repeat(f.again, chance.IntN(256<<10)/len(f.again)))
				sent.Add(int64(n))
				switch chance.IntN(3) {
				case 0:
					_ = conn.(*net.TCPConn).SetLinger(0) // a reset
				case 1:
					_, _ = io.Copy(io.Discard, conn) // silent until its deadline
				}
				conn.Close()
			}
		})
	}
	var users sync.WaitGroup
	var slowest, answers, resolved, most, lines atomic.Int64
	end := time.Now().Add(2 * time.Second)
	users.Go(func() {
		for ; time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
			most.Store(max(most.Load(), c.listener.Load().conns.Load()))
			lines.Store(max(lines.Load(), int64(runtime.NumGoroutine())))
		}
	})
	for i := range 4 {
		users.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				began := time.Now()
				conn := dial(t, address)
				conn.send("GET /read/k", fmt.Sprintf("X-Trace-Id: u%dx%d", i, n), within)
				_ = conn.SetReadDeadline(began.Add(3 * time.Second))
				r, err := http.ReadResponse(conn.in, nil)
				if err != nil {
					t.Errorf("client %d, lookup %d: %v after %v", i, n, err, time.Since(began))
					return
				}
				if answers.Add(1); r.StatusCode == 200 {
					resolved.Add(1)
				}
				slowest.Store(max(slowest.Load(), int64(time.Since(began))))
				conn.Close()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	users.Wait()
	runtime.ReadMemStats(&peak)
	close(stop)
	crowd.Wait()
	for by := time.Now().Add(5 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		left, held := runtime.NumGoroutine(), descriptors(t)
		if c.Open() == 0 && c.listener.Load().lingeringCount() == 0 && left <= goroutines+4 && held <= open+4 {
			break
		}
		if time.Now().After(by) {
			t.Errorf("afterwards %d open, %d linger, %d goroutines of %d, %d descriptors of %d", c.Open(), c.listener.Load().lingeringCount(),
				left, goroutines, held, open)
			break
		}
	}
	grown := (int64(peak.HeapInuse) - int64(before.HeapInuse)) >> 20
	t.Logf("%d connections, %d MB; %d answers, %d resolved, slowest %v; %d places of %d, %d goroutines, %d MB more", came.Load(), sent.Load()>>20,
		answers.Load(), resolved.Load(), time.Duration(slowest.Load()), most.Load(), places+4, lines.Load(), grown)
	if came.Load() < 100 || answers.Load() < 8 || slowest.Load() > int64(1500*time.Millisecond) {
		t.Errorf("%d came, %d answers, the slowest after %v", came.Load(), answers.Load(), time.Duration(slowest.Load()))
	}
	// Four more than its places wait for one; each has the server's goroutine and its look for the client's end, or lingers.
	if most.Load() > places+4 || lines.Load() > int64(goroutines+flooders+8+2*(places+4)) || grown > 64 {
		t.Errorf("%d places, %d goroutines, %d MB", most.Load(), lines.Load(), grown)
	}
}

// Clients that write a byte at a time within the two seconds that true ones take are answered, on new connections and kept
// ones, with a body in any form.
func TestAByteAtATimeIsServed(t *testing.T) {
	t.Parallel()
	_, ships, address := serve(t, 16, true)
	answerAll(t, ships, []byte("v"))
	var users sync.WaitGroup
	for i, text := range []string{
		"GET /read/k HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 0\r\n" + within + "\r\n\r\n",
		"PUT /once/k HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 1\r\n" + within + "\r\nContent-Length: 9\r\n\r\n123456789",
		"PUT /once/k HTTP/1.1\r\nHost: h\r\nX-Trace-Id: 2\r\n" + within + "\r\nTransfer-Encoding: chunked\r\n\r\n4\r\n1234\r\n0\r\n\r\n",
	} {
		for _, kept := range []bool{false, true} {
			users.Go(func() {
				conn := dial(t, address)
				if kept {
					conn.send("GET /up")
					conn.receive(t)
				}
				text := strings.Replace(text, "X-Trace-Id: ", fmt.Sprint("X-Trace-Id: ", kept), 1)
				began := time.Now()
				for at := range len(text) {
					time.Sleep(time.Until(began.Add(time.Duration(at) * 1500 * time.Millisecond / time.Duration(len(text)))))
					fmt.Fprint(conn, text[at:at+1])
				}
				if r, body := conn.receive(t); r.StatusCode != 200 || body != "v" {
					t.Errorf("%d, kept %v: %d %q", i, kept, r.StatusCode, body)
				}
			})
		}
	}
	users.Wait()
}

// Clients that don't read their answers hold no place, as long as the kernel holds these: others take it, and the answers
// arrive whole, also through the node's end.
func TestSlowReadersHoldNobodyUp(t *testing.T) {
	t.Parallel()
	c, ships, address := serve(t, 4, true)
	value := bytes.Repeat([]byte("0123456789abcdef"), 4<<10)
	answerAll(t, ships, value)
	var slow []*client
	for i := range 16 {
		conn := dial(t, address)
		_ = conn.Conn.(*net.TCPConn).SetReadBuffer(4 << 10)
		conn.send("GET /read/k", fmt.Sprint("X-Trace-Id: s", i), within)
		slow = append(slow, conn)
		time.Sleep(usedConnTimeout / 2)
	}
	conn := dial(t, address)
	conn.send("GET /read/k", id, within)
	if r, body := conn.receive(t); r.StatusCode != 200 || body != string(value) {
		t.Errorf("beside them: %d, %d bytes", r.StatusCode, len(body))
	}
	if err := c.Shutdown(false); err != nil {
		t.Error(err)
	}
	var readers sync.WaitGroup
	for i, conn := range slow {
		readers.Go(func() {
			r, body := conn.receive(t)
			if r.StatusCode == 200 && body != string(value) || r.StatusCode != 200 && r.StatusCode != 503 {
				t.Errorf("slow %d: %d, %d bytes", i, r.StatusCode, len(body))
			}
		})
	}
	readers.Wait()
}

// Clients that rest until the node ends them, and send just then: through all of a leave each lookup is answered, or was sent
// on nowhere, and those that come again at once, while connections still come, are answered.
func TestRestingClientsThroughALeave(t *testing.T) {
	c, ships, address := serve(t, 99, true)
	sent := answerAll(t, ships, []byte("v"))
	const resting = 60
	conns := make([]*client, resting)
	for i := range conns {
		conns[i] = dial(t, address)
		conns[i].send("GET /up")
		conns[i].receive(t)
	}
	began, left := time.Now(), make(chan error, 1)
	go func() { left <- c.Shutdown(false) }()
	var users sync.WaitGroup
	var answered, ended atomic.Int64
	for i, conn := range conns {
		users.Go(func() {
			time.Sleep(time.Until(began.Add(time.Duration(i) * 2 * time.Millisecond))) // they are ended from 50 ms on
			for try, trace := 0, ""; ; try++ {
				trace = fmt.Sprintf("r%dx%d", i, try)
				conn.send("GET /read/k", "X-Trace-Id: "+trace, within)
				_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
				r, err := http.ReadResponse(conn.in, nil)
				if err == nil {
					if r.StatusCode != 200 || !r.Close {
						t.Errorf("client %d: %d, close %v", i, r.StatusCode, r.Close)
					}
					answered.Add(1)
					return
				}
				if ended.Add(1); sent(trace) {
					t.Errorf("client %d: sent on, and then %v", i, err)
				}
				if !errors.Is(err, io.ErrUnexpectedEOF) && !errors.Is(err, syscall.ECONNRESET) {
					t.Errorf("client %d: %v", i, err)
				}
				if time.Since(began) > drainAcceptTime-100*time.Millisecond { // clients come for so long
					return
				}
				next, err := net.Dial("tcp", address)
				if err != nil {
					t.Errorf("client %d: %v after %v", i, err, time.Since(began))
					return
				}
				defer next.Close()
				conn = &client{next, conn.in}
				conn.in.Reset(next)
			}
		})
	}
	users.Wait()
	if err := <-left; err != nil || answered.Load() < resting/2 {
		t.Errorf("%v; %d answered", err, answered.Load())
	}
	t.Logf("%d answered, %d met the end first", answered.Load(), ended.Load())
}
