package frontend

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"

	"github.com/thistlerudder/thistlerudder/internal/config"
	"github.com/thistlerudder/thistlerudder/internal/net/dispatch"
	"github.com/thistlerudder/thistlerudder/routing"
)

// fleet hands each shot to the test.
type fleet chan *dispatch.Attempt

func (f fleet) Send(s *dispatch.Attempt) { f <- s }
func (f fleet) Subscribe()               {}
func (f fleet) CloseIdle(uint64, int)    {}
func (f fleet) SetMaxConns(int)          {}

const limit = 300 * time.Millisecond

// serve starts a client side on loopback, with its fleet.
func serve(t *testing.T, descriptors int, told bool) (*Server, fleet, string) {
	t.Helper()
	c, ships, l := front(t, descriptors, told)
	go func() { _ = c.Serve(l) }()
	return c, ships, l.Addr().String()
}

// front makes a client side that doesn't serve yet, and a socket for it.
func front(t *testing.T, descriptors int, told bool) (*Server, fleet, *net.TCPListener) {
	t.Helper()
	d, err := config.ParseSettings(
		map[string]any{"models": []any{"box", "origin"}, "domain": map[string]any{"mode": "aside", "origin-kind": 1.},
			"permissions": map[string]any{
				"most-shots":         3.,
				"max-retry-after-ms": 400.,
			}, "tenants": []any{map[string]any{"name": "acme"}},
			"namespaces": []any{
				map[string]any{
					"name":           "read",
					"repeat":         "safe",
					"late-utility":   0.5,
					"target-time-ms": 200.,
					"time-limit-ms":  300.,
				},
				map[string]any{"name": "once", "repeat": "unsafe", "target-time-ms": 200., "time-limit-ms": 300.},
			}},
	)
	if err != nil {
		t.Fatal(err)
	}
	ships := make(fleet, 99)
	x := dispatch.New(d, zap.NewNop())
	x.Start(1, ships, ships)
	if told {
		x.UpdateEndpoints(
			routing.Full,
			[]dispatch.Endpoint{{ID: "a", Address: "a:1", Model: "box"}, {ID: "z", Address: "z:1", Model: "origin"}},
		)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := New(x, Limits{Descriptors: descriptors, OverflowConns: 4, MaxDeadline: limit, MaxRetryAfter: limit, MaxBuffered: 64, MaxStreamed: 64}, zap.NewNop())
	t.Cleanup(func() { c.httpServer.Close() })
	return c, ships, l.(*net.TCPListener)
}

// client is one connection.
type client struct {
	net.Conn
	in *bufio.Reader
}

func dial(t *testing.T, address string) *client {
	t.Helper()
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return &client{c, bufio.NewReader(c)}
}

func (c *client) send(first string, headers ...string) {
	fmt.Fprintf(c, "%s HTTP/1.1\r\nHost: service.internal\r\n%s\r\n", first, strings.Join(append(headers, ""), "\r\n"))
}

// receive reads one answer.
func (c *client) receive(t *testing.T) (*http.Response, string) {
	t.Helper()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(r.Body)
	if err != nil {
		t.Fatal(err)
	}
	return r, string(body)
}

const (
	id     = "X-Trace-Id: 9b1f"
	within = "X-Expires-In: 280m"
)

func TestALookupIsAnsweredWithTheServersBytes(t *testing.T) {
	_, ships, address := serve(t, 8, true)
	c := dial(t, address)
	c.send(
		"PUT /once/a%2Fb/k%20y?x=1&&y",
		id,
		within,
		"X-Customer: acme",
		"X-Size-Hint: 99633",
		"Idempotency-Key: Key 1",
		"Content-Length: 3\r\n\r\na\x00b",
	)
	s := <-ships
	if s.Method != "PUT" || s.Target != "/once/a%2Fb/k%20y?x=1&&y" || string(s.Body) != "a\x00b" || s.TraceID != "9b1f" ||
		s.IdempotencyKey != "Key 1" || s.Key != "k%20y" || s.Tenant != "acme" || s.Work != 99.633 || !s.Write || s.Address != "z:1" ||
		s.Timeout > 280*time.Millisecond || s.Timeout < 150*time.Millisecond {
		t.Errorf("%+v %+v", s, s.Request)
	}
	s.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v\x00w"), ContentType: "text/x"})
	if r, body := c.receive(t); r.StatusCode != 200 || body != "v\x00w" || r.Header.Get("Content-Type") != "text/x" {
		t.Errorf("%d %q", r.StatusCode, body)
	}
}

func TestDeferralsAdviseAndAbandonmentsDoNot(t *testing.T) {
	_, ships, address := serve(t, 8, true)
	for _, c := range []struct {
		first  string
		status int
		advice bool
	}{{"GET /read/k", 503, true}, {"PUT /once/k", 502, false}} {
		conn := dial(t, address)
		conn.send(c.first, id, within)
		for range 3 {
			select {
			case s := <-ships:
				s.Finish(dispatch.ServerError, dispatch.Answer{})
			case <-time.After(50 * time.Millisecond):
			}
		}
		if r, _ := conn.receive(t); r.StatusCode != c.status || (r.Header.Get("Retry-After") != "") != c.advice {
			t.Errorf("%s: %d, %v", c.first, r.StatusCode, r.Header)
		}
	}
}

func TestBadInputIsAnsweredAndSentNowhere(t *testing.T) {
	_, ships, address := serve(t, 30, true)
	long := strings.Repeat("x", 2*maxHeaderBytes)
	for _, c := range []struct {
		status  int
		first   string
		headers []string
	}{
		{400, "GET /none/k", []string{id, within}},
		{400, "GET /", []string{id, within}},
		{400, "GET //read/k", []string{id, within}},
		{400, "POST /read/k", []string{id, within}},
		{400, "DELETE /read/k", []string{id, within}},
		{400, "GET /read/k", []string{within}},
		{400, "GET /read/k", []string{id}},
		{400, "GET /read/k", []string{id, "X-Expires-In: soon"}},
		{400, "GET /read/k", []string{id, "X-Expires-In: 480"}},
		{400, "GET /read/k", []string{id, "X-Expires-In: m"}},
		{400, "GET /read/k", []string{id, "X-Expires-In: NaNm"}},
		{400, "GET /read/k", []string{id, "X-Expires-In: 1e300m"}},
		{400, "GET /read/k", []string{id, "X-Expires-In: Infu"}},
		{400, "GET /read/k", []string{id, within, within}},
		{400, "GET /read/k", []string{id, within, "x-trace-id: another"}},
		{400, "GET http://service.internal", []string{id, within}},
		{400, "OPTIONS *", []string{id, within}},
		{400, "GET /read/k", []string{id, within, "a header without a colon"}},
		{413, "PUT /once/k", []string{id, within, "Content-Length: 65\r\n\r\n" + strings.Repeat("x", 65)}},
		{413, "PUT /once/k", []string{id, within, "Transfer-Encoding: chunked\r\n\r\n41\r\n" + strings.Repeat("x", 65) + "\r\n0\r\n"}},
		{400, "PUT /once/k", []string{id, within, "Content-Length: -1"}},
		{400, "PUT /once/k", []string{id, within, "Content-Length: 99999999999999999999"}},
		{400, "PUT /once/k", []string{id, within, "Content-Length: 1", "Content-Length: 2"}},
		{400, "PUT /once/k", []string{id, within, "Transfer-Encoding: chunked\r\n\r\nzz\r\n"}},
		{501, "PUT /once/k", []string{id, within, "Transfer-Encoding: gzip"}},
		{417, "GET /read/k", []string{id, within, "Expect: wonders"}},
		{431, "GET /read/k", []string{id, within, "X-Long: " + long}},
		{503, "GET /read/k", []string{id, "X-Expires-In: 0m"}},
		{503, "PUT /once/k", []string{id, "X-Expires-In: -1e300u"}},
	} {
		conn := dial(t, address)
		conn.send(c.first, c.headers...)
		if r, body := conn.receive(t); r.StatusCode != c.status || len(ships) > 0 {
			t.Errorf("%s %.60v: %d %q, %d shots; want %d", c.first, c.headers, r.StatusCode, body, len(ships), c.status)
		}
	}
}

// Another client's id is an error with nothing sent on, and the first lookup goes on unharmed.
func TestAnIdThatIsOutIsAnError(t *testing.T) {
	_, ships, address := serve(t, 8, true)
	first, second := dial(t, address), dial(t, address)
	first.send("GET /read/k1", id, within)
	s := <-ships
	second.send("GET /read/k2", id, within)
	if r, _ := second.receive(t); r.StatusCode != http.StatusConflict || len(ships) != 0 {
		t.Errorf("the second: %d, %d shots", r.StatusCode, len(ships))
	}
	s.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
	if r, body := first.receive(t); r.StatusCode != 200 || body != "v" {
		t.Errorf("the first: %d %q", r.StatusCode, body)
	}
}

// A lookup that gives its length in two ways may hide another in its body: neither is sent on. A length that an
// earlier lookup on the connection gave counts for that one only.
func TestALookupWithTwoLengthsIsTurnedAway(t *testing.T) {
	_, ships, address := serve(t, 8, true)
	const coded = "Transfer-Encoding: chunked"
	hidden := "0\r\n\r\nGET /read/hidden HTTP/1.1\r\nHost: h\r\nX-Trace-Id: h\r\nX-Expires-In: 280m\r\n\r\n"
	head := "PUT /once/k HTTP/1.1\r\nHost: h\r\n" + id + "\r\n" + within + "\r\n"
	for _, lengths := range []string{"CONTENT-length: 5\r\n" + coded, coded + "\r\nContent-Length: 5",
		"Content-Length: 5\r\nContent-Length: 5\r\n" + coded} {
		conn := dial(t, address)
		for _, whole := range []string{"Content-Length: 1\r\n\r\nv", coded + "\r\n\r\n1\r\nv\r\n0\r\n\r\n"} {
			fmt.Fprint(conn, head, whole)
			s := <-ships
			if s.Finish(dispatch.Complete, dispatch.Answer{}); string(s.Body) != "v" {
				t.Errorf("%q came as %q", whole, s.Body)
			}
			conn.receive(t)
		}
		fmt.Fprint(conn, head, lengths, "\r\n\r\n", hidden)
		if r, _ := conn.receive(t); r.StatusCode != 400 || !r.Close {
			t.Errorf("%q: %d, close %v", lengths, r.StatusCode, r.Close)
		}
		if _, err := conn.in.ReadByte(); err == nil || len(ships) > 0 {
			t.Errorf("%q: %v, %d shots", lengths, err, len(ships))
		}
	}
	conn := dial(t, address)
	fmt.Fprintf(conn, "PUT /read/k HTTP/1.0\r\nContent-Length: 1\r\n%s\r\n%s\r\n%s\r\n\r\nv", coded, id, within)
	if r, _ := conn.receive(t); r.StatusCode != http.StatusHTTPVersionNotSupported || len(ships) > 0 {
		t.Errorf("HTTP/1.0: %d, %d shots", r.StatusCode, len(ships))
	}
}

// Who doesn't end what it began is answered or closed within 3 s of connecting; 60 MB are answered at once.
func TestHalfALookupIsEndedInTime(t *testing.T) {
	_, ships, address := serve(t, 8, true)
	began := time.Now()
	var conns []*client
	for _, half := range []string{"", "GET /read/k HTTP/1.1\r\nHost: h\r\nX-Long: ",
		"PUT /once/k HTTP/1.1\r\nHost: h\r\nX-Trace-Id: t\r\nX-Expires-In: 280m\r\nContent-Length: 9\r\n\r\nhalf"} {
		conn := dial(t, address)
		fmt.Fprint(conn, half)
		conns = append(conns, conn)
	}
	huge := dial(t, address)
	huge.send("PUT /once/k", id, within, "Content-Length: 60000000")
	go func() { _, _ = io.CopyN(huge, endless{}, 60e6) }()
	if r, _ := huge.receive(t); r.StatusCode != 413 || time.Since(began) > time.Second {
		t.Errorf("60 MB: %d after %v", r.StatusCode, time.Since(began))
	}
	for i, conn := range conns {
		_ = conn.SetReadDeadline(began.Add(3 * time.Second))
		text, err := io.ReadAll(conn.in)
		if err != nil || i == 2 != strings.HasPrefix(string(text), "HTTP/1.1 408") || len(ships) > 0 {
			t.Errorf("half %d: %q, %v", i, text, err)
		}
	}
}

// endless is a body without end.
type endless struct{}

func (endless) Read(b []byte) (int, error) { return len(b), nil }

// A client that leaves ends its lookup; its shot still settles, and nothing is kept.
func TestAClientThatLeavesEndsItsLookup(t *testing.T) {
	c, ships, address := serve(t, 8, true)
	conn := dial(t, address)
	conn.send("GET /read/k", id, within)
	s := <-ships
	conn.Close()
	left := func() bool { return c.dispatcher.Stats().ClientGone == 1 }
	for end := time.Now().Add(2 * time.Second); !left(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("nobody noticed")
		}
	}
	if c.dispatcher.InFlight() != 1 {
		t.Error("forgotten with a shot out")
	}
	if s.Finish(dispatch.NotFound, dispatch.Answer{}); c.dispatcher.InFlight() != 0 || len(ships) != 0 {
		t.Errorf("%d known, %d more shots", c.dispatcher.InFlight(), len(ships))
	}
}

func TestAPanicIsAnswered(t *testing.T) {
	c, _, address := serve(t, 8, true)
	c.dispatcher = nil
	conn := dial(t, address)
	conn.send("GET /read/k", id, within)
	if r, _ := conn.receive(t); r.StatusCode != http.StatusInternalServerError {
		t.Error(r.Status)
	}
}

func TestUpOnlyOnceTheListIsTold(t *testing.T) {
	for told, status := range map[bool]int{false: 503, true: 200} {
		_, _, address := serve(t, 8, told)
		conn := dial(t, address)
		conn.send("GET /up")
		if r, _ := conn.receive(t); r.StatusCode != status {
			t.Errorf("told %v: %d", told, r.StatusCode)
		}
	}
}

// Beyond the clients' descriptors each lookup is turned away with an answer; with room again it is taken.
func TestBeyondTheDescriptorsLookupsAreDeferred(t *testing.T) {
	_, ships, address := serve(t, 2, true)
	var busy []*client
	for i := range 2 {
		busy = append(busy, dial(t, address))
		busy[i].send(fmt.Sprint("GET /read/k", i), fmt.Sprint("X-Trace-Id: ", i), "X-Expires-In: 5000m")
	}
	shots := []*dispatch.Attempt{<-ships, <-ships}
	for range 10 {
		conn := dial(t, address)
		conn.send("GET /read/k", id, within)
		if r, _ := conn.receive(t); r.StatusCode != 503 || !r.Close || r.Header.Get("Retry-After") == "" || len(ships) > 0 {
			t.Fatalf("%d, close %v, %d shots", r.StatusCode, r.Close, len(ships))
		}
	}
	for _, s := range shots {
		s.Finish(dispatch.Complete, dispatch.Answer{})
	}
	for _, c := range busy {
		if r, _ := c.receive(t); r.StatusCode != 200 {
			t.Errorf("a lookup in hand: %d", r.StatusCode)
		}
	}
}

// Connections that lie idle must not keep lookups out: the longest idle makes way.
func TestIdleConnectionsMakeWay(t *testing.T) {
	c, ships, address := serve(t, 2, true)
	var conns []*client
	for i := range 20 {
		conn := dial(t, address)
		conn.send(fmt.Sprint("GET /read/k", i), id, within)
		(<-ships).Finish(dispatch.Complete, dispatch.Answer{})
		if r, _ := conn.receive(t); r.StatusCode != 200 {
			t.Fatalf("lookup %d: %d", i, r.StatusCode)
		}
		conns = append(conns, conn)
		quiet := func() int {
			c.conns.mu.Lock()
			defer c.conns.mu.Unlock()
			return c.conns.idle.Len()
		}
		for quiet() <= i && i < 2 { // the server marks it as idle some time after the answer
			time.Sleep(time.Millisecond)
		}
		time.Sleep(usedConnTimeout / 10)
	}
	_ = conns[0].SetReadDeadline(time.Now().Add(time.Second))
	if _, err := conns[0].in.ReadByte(); err != io.EOF || c.Open() > 3 {
		t.Errorf("the first connection: %v; %d are open", err, c.Open())
	}
}

// Connections that never send anything make way as well, though not at once.
func TestConnectionsThatStaySilentMakeWay(t *testing.T) {
	_, ships, address := serve(t, 2, true)
	for range 12 { // twice as many as there are places, the rest wait in the kernel's queue
		dial(t, address)
	}
	conn, began := dial(t, address), time.Now()
	conn.send("GET /read/k", id, "X-Expires-In: 9000m")
	(<-ships).Finish(dispatch.Complete, dispatch.Answer{})
	if r, _ := conn.receive(t); r.StatusCode != 200 || time.Since(began) > 3*time.Second {
		t.Errorf("%d after %v", r.StatusCode, time.Since(began))
	}
}

// Kept connections that are in use never end without an answer, whether they make way for others or the node
// leaves; one that ends between lookups has read none, so its client may send the lookup again.
func TestConnectionsInUseKeepTheirLookups(t *testing.T) {
	c, ships, address := serve(t, 4, true)
	go func() {
		for s := range ships {
			s.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
		}
	}()
	var users sync.WaitGroup
	stop := time.Now().Add(600 * time.Millisecond)
	for i := range 8 {
		users.Go(func() {
			conn := dial(t, address)
			defer func() { conn.Close() }()
			for n := 0; time.Now().Before(stop); n++ {
				conn.send(fmt.Sprint("GET /read/k", i, "x", n), fmt.Sprint("X-Trace-Id: ", i), within)
				_ = conn.SetReadDeadline(time.Now().Add(2 * time.Second))
				r, err := http.ReadResponse(conn.in, nil)
				if err != nil {
					t.Errorf("user %d, lookup %d: %v", i, n, err)
					return
				}
				_, _ = io.Copy(io.Discard, r.Body)
				if r.Close {
					conn.Close()
					conn = dial(t, address)
				}
			}
		})
	}
	time.Sleep(400 * time.Millisecond)
	left := make(chan error)
	go func() { left <- c.Shutdown(false) }()
	users.Wait()
	if err := <-left; err != nil {
		t.Error(err)
	}
}

// After SIGTERM connections go on coming: each lookup is answered and its connection closed, what is out is
// waited for, and the end comes well before SIGKILL may.
func TestLeavingLosesNothing(t *testing.T) {
	c, ships, address := serve(t, 30, true)
	idle, busy := dial(t, address), dial(t, address)
	idle.send("GET /up")
	idle.receive(t)
	busy.send("GET /read/busy", "X-Trace-Id: busy", "X-Expires-In: 900m")
	out := <-ships
	began, left := time.Now(), make(chan error)
	go func() { left <- c.Shutdown(false) }()
	_ = idle.SetReadDeadline(began.Add(200 * time.Millisecond)) // while new connections are still taken
	if _, err := idle.in.ReadByte(); err != io.EOF {
		t.Errorf("the idle connection: %v", err)
	}
	var late sync.WaitGroup
	for i := range 8 {
		time.Sleep(50 * time.Millisecond)
		late.Go(func() {
			conn := dial(t, address)
			conn.send(fmt.Sprint("GET /read/late", i), fmt.Sprint("X-Trace-Id: ", i), within)
			s := <-ships
			s.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
			if r, _ := conn.receive(t); r.StatusCode != 200 || !r.Close {
				t.Errorf("late lookup %d: %d, close %v", i, r.StatusCode, r.Close)
			}
		})
	}
	late.Wait()
	time.Sleep(drainAcceptTime - time.Since(began) + 50*time.Millisecond)
	out.Finish(dispatch.Complete, dispatch.Answer{Body: []byte("v")})
	if r, _ := busy.receive(t); r.StatusCode != 200 || !r.Close {
		t.Errorf("what was out: %d, close %v", r.StatusCode, r.Close)
	}
	if err := <-left; err != nil || time.Since(began) > limit+700*time.Millisecond {
		t.Errorf("left after %v: %v", time.Since(began), err)
	}
}

// Told to leave while one lookup waits behind the fetch of another whose shot hangs, both are answered in time: the shot's own
// time-out ends the first, and lets the second go.
func TestLeavingAnswersWhoWaitsBehindAFetch(t *testing.T) {
	c, ships, address := serve(t, 8, true)
	var conns []*client
	for i := range 2 {
		conns = append(conns, dial(t, address))
		conns[i].send("GET /read/k", fmt.Sprint("X-Trace-Id: ", i), within)
		if i == 0 {
			(<-ships).Finish(dispatch.NotFound, dispatch.Answer{})
			go func() { // the fetch, and what the second lookup still tries in its last moment
				for hangs := range ships {
					time.AfterFunc(hangs.Timeout, func() { hangs.Finish(dispatch.TimedOut, dispatch.Answer{}) })
				}
			}()
		}
	}
	began, left := time.Now(), make(chan error, 1)
	go func() { left <- c.Shutdown(false) }()
	for i, conn := range conns {
		if r, _ := conn.receive(t); r.StatusCode != http.StatusServiceUnavailable || time.Since(began) > limit+700*time.Millisecond {
			t.Errorf("lookup %d: %d after %v", i, r.StatusCode, time.Since(began))
		}
	}
	if err := <-left; err != nil || time.Since(began) > limit+700*time.Millisecond {
		t.Errorf("left after %v: %v", time.Since(began), err)
	}
}

// A client that only ends its sending can't be told from one that has closed until something is written to it. It is taken to
// have left, and hears so at once, in one whole answer; a shot that has begun settles as it did, and no other follows.
func TestAClientThatEndsItsSendingHearsSo(t *testing.T) {
	c, ships, address := serve(t, 8, true)
	conn, began := dial(t, address), time.Now()
	conn.send("GET /read/k", id, within)
	s := <-ships
	_ = conn.Conn.(*net.TCPConn).CloseWrite()
	if r, body := conn.receive(t); r.StatusCode != http.StatusBadGateway || body == "" || time.Since(began) > time.Second {
		t.Errorf("%d %q after %v", r.StatusCode, body, time.Since(began))
	}
	if _, err := conn.in.ReadByte(); err != io.EOF {
		t.Errorf("behind the answer: %v", err)
	}
	if s.Finish(dispatch.NotFound, dispatch.Answer{}); len(ships) > 0 || c.dispatcher.InFlight() != 0 {
		t.Errorf("%d more shots, %d out", len(ships), c.dispatcher.InFlight())
	}
}
