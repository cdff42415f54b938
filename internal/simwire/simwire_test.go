package simwire

import (
	"bytes"
	"fmt"
	"log"
	"strings"
	"testing"
)

const (
	create = `{"now-ms":1000,"batch":1,"parts":[{"node":"node_0","msgs":[{"what":"create","prng":5,"info":{"balancers":1,` +
		`"domain":{"mode":"aside","origin-kind":1},"models":["box","origin"],"new-field":[1],"permissions":{"most-shots":3},` +
		`"namespaces":[{"name":"read","repeat":"safe","target-time-ms":200,"time-limit-ms":750}]}},` +
		`{"what":"peers-known","how":"Persisted","version":1,"entries":[{"state":"healthy","server":"10.0.0.1:1","machine":"box"},` +
		`{"state":"healthy","server":"10.0.0.2:1","machine":"origin"}]}]}]}`
	ingress = `{"now-ms":1001.27,"batch":2,"parts":[{"node":"node_0","msgs":[{"what":"ingress","ticket":"t1",` +
		`"tier-class":"read","route-key":"k","expires-ms":1700.19,"unheard-of":{"a":[1]}}]}]}`
)

// serve plays lines and gives the replies, the messages and the error.
func serve(lines ...string) ([]string, string, error) {
	var out, told bytes.Buffer
	log.SetOutput(&told)
	err := Serve(strings.NewReader(strings.Join(lines, "\n")), &out)
	return strings.Split(strings.TrimSpace(out.String()), "\n"), told.String(), err
}

func TestALookupGoesToItsCacheThenToTheOrigin(t *testing.T) {
	replies, told, err := serve(create, ingress,
		`{"now-ms":1010,"batch":3,"parts":[{"node":"node_0","msgs":[{"what":"settled","ticket":"t1","try":0,`+
			`"server":"10.0.0.1:1","state-code":"M","time-taken-ms":9}]}]}`,
		`{"now-ms":1020,"batch":4,"parts":[{"node":"node_0","msgs":[{"what":"settled","ticket":"t1","try":1,`+
			`"server":"10.0.0.2:1","state-code":"S","time-taken-ms":9,"ended":true}]}]}`)
	if err != nil || told != "" {
		t.Fatal(err, told)
	}
	for i, want := range []string{`"what":"remind"`,
		`"orders":[{"what":"transmit","ticket":"t1","server":"10.0.0.1:1","timeout-ms":200}]`,
		`"server":"10.0.0.2:1"`, `{"batch":4,"parts":[]}`} {
		if !strings.Contains(replies[i], want) {
			t.Errorf("reply %d: %s, want %s", i+1, replies[i], want)
		}
	}
}

func TestBadInputIsToldAndTheRestGoesOn(t *testing.T) {
	for _, c := range []struct{ msg, told string }{
		{`{"what":"surprise"}`, "unknown"},
		{`{"what":"settled","ticket":"t9","try":0,"state-code":"S"}`, `lookup "t9" is unknown`},
		{`{"what":"settled","ticket":"t1","try":7,"state-code":"S"}`, "had no shot 7"},
		{`{"what":"settled","ticket":"t1","try":0,"state-code":"Q"}`, `code "Q"`},
		{`{"what":"ingress","ticket":"t2","tier-class":"none"}`, `namespace "none"`},
		{`{"what":"peers-known","how":"Odd"}`, `list kind "Odd"`},
		{`{"what":"create","info":7}`, "settings can't be read"},
		{`{"what":"create","info":{"tick-ms":"soon"}}`, "settings.tick-ms: expected a time"},
		{`null`, "unknown"},
	} {
		line := `{"now-ms":1002,"batch":3,"parts":[{"node":"node_0","msgs":[` + c.msg + `]}]}`
		replies, told, err := serve(create, ingress, line,
			strings.Replace(line, "node_0", "node_7", 1), `{"now-ms":1,"batch":5,"parts":[]}`)
		if err != nil || !strings.Contains(told, c.told) || !strings.Contains(replies[len(replies)-1], `"batch":5`) {
			t.Errorf("%s: told %q, error %v, replies %v; want %q", c.msg, told, err, replies, c.told)
		}
	}
}

// Load reports and messages from peers decide nothing, whatever they hold.
func TestReportsAndMessagesAreNone(t *testing.T) {
	for _, msg := range []string{`{"what":"sampled","server":"10.0.0.1:1","state-code":"S","stats":[-1]}`,
		`{"what":"sampled","server":"nowhere","stats":"soon"}`, `{"what":"sampled","server":"10.0.0.1:1","stats":[null,{}]}`,
		`{"what":"note-from","origin-peer":9,"octets":"=="}`, `{"what":"note-from","octets":[7]}`} {
		replies, told, err := serve(create, `{"now-ms":1002,"batch":3,"parts":[{"node":"node_0","msgs":[`+msg+`]}]}`)
		if err != nil || told != "" || replies[1] != `{"batch":3,"parts":[]}` {
			t.Errorf("%s: replies %v, told %q, %v", msg, replies, told, err)
		}
	}
}

// A connect that fails gives back what has idled; nothing has here, so the order itself is looked at.
func TestHangUpIsOrdered(t *testing.T) {
	h := &session{}
	n := &instance{serverIDs: []string{"10.0.0.1:1", "10.0.0.2:1"}, orders: &orderWriter{w: &h.reply, instance: "node_0"}}
	n.CloseIdle(1, 0)
	n.CloseIdle(0, 1) // the wire has no words for this
	n.orders.close()
	if text, _ := h.reply.BuildBytes(); string(text) != `{"node":"node_0","orders":[{"what":"hang-up","server":"10.0.0.2:1"}]}` {
		t.Errorf("told %s", text)
	}
}

func TestALineThatIsNoBatchEndsTheProgram(t *testing.T) {
	for _, line := range []string{"hello", "[1]", `{"batch":1}`, `{"now-ms":1,"batch":1,"parts":[{"node":`} {
		if _, _, err := serve(line); err == nil {
			t.Errorf("%s: no error", line)
		}
	}
}

// A panic of one instance is told on the wire, with its text.
func TestPanicIsTold(t *testing.T) {
	broken := &instance{requestIndexes: map[string]int{"t": 0}}
	h := &session{instances: map[string]*instance{"node_0": broken}, message: message{kind: "started", requestID: "t"}}
	out := &orderWriter{w: &h.reply, instance: "node_0"}
	err := h.handleMessage("node_0", out)
	if text, _ := h.reply.BuildBytes(); err != nil || !strings.Contains(string(text), `"what":"internal-error","text":"runtime error`) {
		t.Errorf("told %s", text)
	}
}

// The wire has one call for the list at a time: while one is out, what the module orders besides is left out; it is ordered
// again once the list has come, or failed.
func TestOneCallForTheListIsOut(t *testing.T) {
	at := func(batch, ms int, msg string) string {
		return fmt.Sprintf(`{"now-ms":%d,"batch":%d,"parts":[{"node":"node_0","msgs":[%s]}]}`, ms, batch, msg)
	}
	alarm := `{"what":"alarm","handle":0}`
	failed := `{"what":"peers-known","how":"Error"}`
	replies, told, err := serve(create, at(2, 2000, alarm), at(3, 5000, alarm), at(4, 5001, `{"what":"peers-known","how":"Persisted",`+
		`"version":1,"entries":[]}`), at(5, 9000, alarm), at(6, 9001, failed), at(7, 13000, alarm))
	if err != nil || told != "" {
		t.Fatal(err, told)
	}
	for i, want := range []bool{false, true, false, false, false, false, true} {
		if got := strings.Contains(replies[i], `"what":"observe"`); got != want {
			t.Errorf("reply %d: %s, want a call %v", i+1, replies[i], want)
		}
	}
}
