package simwire

import (
	"bytes"
	"errors"
	"fmt"
	"log"
	"strings"
	"testing"
)

const (
	createBatch = `{"now-ms":1000,"batch":1,"parts":[{"node":"node_0","msgs":[{"what":"create","prng":5,"info":{"balancers":1,` +
		`"domain":{"mode":"aside","origin-kind":1},"models":["box","origin"],"new-field":[1],"permissions":{"most-shots":3},` +
		`"namespaces":[{"name":"read","repeat":"safe","target-time-ms":200,"time-limit-ms":750}]}},` +
		`{"what":"peers-known","how":"Persisted","version":1,"entries":[{"state":"healthy","server":"10.0.0.1:1","machine":"box"},` +
		`{"state":"healthy","server":"10.0.0.2:1","machine":"origin"}]}]}]}`
	ingressBatch = `{"now-ms":1001.27,"batch":2,"parts":[{"node":"node_0","msgs":[{"what":"ingress","ticket":"t1",` +
		`"tier-class":"read","route-key":"k","expires-ms":1700.19,"unheard-of":{"a":[1]}}]}]}`
)

// serve runs Serve on the lines and returns the replies, the log and the error.
func serve(lines ...string) ([]string, string, error) {
	var out, logged bytes.Buffer
	log.SetOutput(&logged)
	err := Serve(strings.NewReader(strings.Join(lines, "\n")), &out)
	return strings.Split(strings.TrimSpace(out.String()), "\n"), logged.String(), err
}

func TestRequestSentToOriginAfterCacheNotFound(t *testing.T) {
	replies, logged, err := serve(createBatch, ingressBatch,
		`{"now-ms":1010,"batch":3,"parts":[{"node":"node_0","msgs":[{"what":"settled","ticket":"t1","try":0,`+
			`"server":"10.0.0.1:1","state-code":"M","time-taken-ms":9}]}]}`,
		`{"now-ms":1020,"batch":4,"parts":[{"node":"node_0","msgs":[{"what":"settled","ticket":"t1","try":1,`+
			`"server":"10.0.0.2:1","state-code":"S","time-taken-ms":9,"ended":true}]}]}`)
	if err != nil || logged != "" {
		t.Fatal(err, logged)
	}
	for i, want := range []string{`"what":"remind"`,
		`"orders":[{"what":"transmit","ticket":"t1","server":"10.0.0.1:1","timeout-ms":200}]`,
		`"server":"10.0.0.2:1"`, `{"batch":4,"parts":[]}`} {
		if !strings.Contains(replies[i], want) {
			t.Errorf("reply %d: %s, want %s", i+1, replies[i], want)
		}
	}
}

func TestInvalidMessageLoggedAndLaterBatchAnswered(t *testing.T) {
	for _, tt := range []struct{ msg, wantLog string }{
		{`{"what":"surprise"}`, "unknown event"},
		{`{"what":"settled","ticket":"t9","try":0,"state-code":"S"}`, `unknown request "t9"`},
		{`{"what":"settled","ticket":"t1","try":7,"state-code":"S"}`, `request "t1" has no attempt 7`},
		{`{"what":"settled","ticket":"t1","try":0,"state-code":"Q"}`, `unknown result "Q"`},
		{`{"what":"ingress","ticket":"t2","tier-class":"none"}`, `unknown class "none"`},
		{`{"what":"peers-known","how":"Odd"}`, `unknown update kind "Odd"`},
		{`{"what":"create","info":7}`, "unreadable settings"},
		{`{"what":"create","info":{"tick-ms":"soon"}}`, "settings.tick-ms: expected a time"},
		{`null`, "unknown event"},
	} {
		line := `{"now-ms":1002,"batch":3,"parts":[{"node":"node_0","msgs":[` + tt.msg + `]}]}`
		replies, logged, err := serve(createBatch, ingressBatch, line,
			strings.Replace(line, "node_0", "node_7", 1), `{"now-ms":1,"batch":5,"parts":[]}`)
		if err != nil || !strings.Contains(logged, tt.wantLog) || !strings.Contains(replies[len(replies)-1], `"batch":5`) {
			t.Errorf("%s: logged %q, error %v, replies %v; want %q", tt.msg, logged, err, replies, tt.wantLog)
		}
	}
}

// Load reports and messages from peers are ignored, even if their content is
// invalid.
func TestLoadReportsAndPeerMessagesIgnored(t *testing.T) {
	for _, msg := range []string{`{"what":"sampled","server":"10.0.0.1:1","state-code":"S","stats":[-1]}`,
		`{"what":"sampled","server":"nowhere","stats":"soon"}`, `{"what":"sampled","server":"10.0.0.1:1","stats":[null,{}]}`,
		`{"what":"note-from","origin-peer":9,"octets":"=="}`, `{"what":"note-from","octets":[7]}`} {
		replies, logged, err := serve(createBatch, `{"now-ms":1002,"batch":3,"parts":[{"node":"node_0","msgs":[`+msg+`]}]}`)
		if err != nil || logged != "" || replies[1] != `{"batch":3,"parts":[]}` {
			t.Errorf("%s: replies %v, logged %q, %v", msg, replies, logged, err)
		}
	}
}

// The other tests have no idle connections to close, so this one calls CloseIdleConnections
// and checks the order that it writes.
func TestCloseIdleConnectionsWritesHangUpOrder(t *testing.T) {
	s := &session{}
	n := &instance{serverIDs: []string{"10.0.0.1:1", "10.0.0.2:1"}, orders: &orderWriter{w: &s.reply, instance: "node_0"}}
	n.CloseIdleConnections(1, 0)
	n.CloseIdleConnections(0, 1) // the wire has no order for this
	n.orders.close()
	if text, _ := s.reply.BuildBytes(); string(text) != `{"node":"node_0","orders":[{"what":"hang-up","server":"10.0.0.2:1"}]}` {
		t.Errorf("wrote %s", text)
	}
}

func TestServeMalformedBatchReturnsError(t *testing.T) {
	for _, line := range []string{"hello", "[1]", `{"batch":1}`, `{"now-ms":1,"batch":1,"parts":[{"node":`} {
		if _, _, err := serve(line); !errors.Is(err, ErrMalformedBatch) {
			t.Errorf("%s: error %v, want %v", line, err, ErrMalformedBatch)
		}
	}
}

// A panic in an instance is reported on the wire with the text of the panic.
func TestPanicWritesInternalErrorOrder(t *testing.T) {
	broken := &instance{requestIndexes: map[string]int{"t": 0}}
	s := &session{instances: map[string]*instance{"node_0": broken}, message: message{kind: "started", requestID: "t"}}
	orders := &orderWriter{w: &s.reply, instance: "node_0"}
	err := s.handleMessage("node_0", orders)
	if text, _ := s.reply.BuildBytes(); err != nil || !strings.Contains(string(text), `"what":"internal-error","text":"runtime error`) {
		t.Errorf("wrote %s", text)
	}
}

// The wire allows one call for the endpoint list at a time. While a call is in
// flight, no other is ordered, even after a cached list. Another can be ordered
// once the call has returned the list or failed.
func TestSubscribeWhileCallInFlightWritesNoOrder(t *testing.T) {
	batchLine := func(batch, ms int, msg string) string {
		return fmt.Sprintf(`{"now-ms":%d,"batch":%d,"parts":[{"node":"node_0","msgs":[%s]}]}`, ms, batch, msg)
	}
	alarmMessage := `{"what":"alarm","handle":0}`
	failedUpdate := `{"what":"peers-known","how":"Error"}`
	cachedUpdate := `{"what":"peers-known","how":"Persisted","version":1,"entries":[]}`
	replies, logged, err := serve(createBatch, batchLine(2, 2000, alarmMessage), batchLine(3, 5000, alarmMessage),
		batchLine(4, 5001, cachedUpdate), batchLine(5, 9000, alarmMessage), batchLine(6, 9001, failedUpdate),
		batchLine(7, 13000, alarmMessage))
	if err != nil || logged != "" {
		t.Fatal(err, logged)
	}
	for i, want := range []bool{false, true, false, false, false, false, true} {
		if got := strings.Contains(replies[i], `"what":"observe"`); got != want {
			t.Errorf("reply %d: %s, want an observe order: %v", i+1, replies[i], want)
		}
	}
}
