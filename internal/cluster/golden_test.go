package cluster

import (
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/rpc"
	"net/rpc/jsonrpc"
	"os"
	"path/filepath"
	"reflect"
	"testing"
	"time"

	"github.com/thistlerudder/thistlerudder/budget"
	"github.com/thistlerudder/thistlerudder/internal/cluster/voterstore"
	"github.com/thistlerudder/thistlerudder/lease"
)

// update rewrites the golden files. A changed file means that peers of another version, or stored data, can't be read.
var update = flag.Bool("update", false, "rewrite the golden files")

// compareGolden compares got, ended by one newline, with a file under testdata/golden, and returns the contents of the file.
func compareGolden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	got = append(bytes.TrimSuffix(got, []byte("\n")), '\n')
	path := filepath.Join("testdata", "golden", name)
	if *update {
		if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
	return want
}

// checkGoldenJSON encodes a value, compares the JSON with the golden file, and checks that the file decodes to the same value.
func checkGoldenJSON(t *testing.T, name string, value any) {
	t.Helper()
	written, err := json.Marshal(value)
	if err != nil {
		t.Fatal(err)
	}
	stored := compareGolden(t, name, written)
	read := reflect.New(reflect.TypeOf(value))
	if err := json.Unmarshal(stored, read.Interface()); err != nil || !reflect.DeepEqual(read.Elem().Interface(), value) {
		t.Errorf("%s: decoded as %+v, %v, want %+v", name, read.Elem(), err, value)
	}
}

func TestStoredFileFormats(t *testing.T) {
	checkGoldenJSON(t, "voter.json", voterstore.Identity{Cluster: "f", Node: "n1", ID: "n1.0badcafe"})
	checkGoldenJSON(t, "roll-up.json", rollUpReport{Nodes: 2, Missing: []string{"n3"}, Sums: map[string]int64{"served": 7}})
	if voterstore.IdentityFile != "voter.json" || voterstore.LogFile != "log.db" {
		t.Error("files of the voter folder are renamed")
	}
}

// bufferConn is a connection that reads from one buffer and writes to another.
type bufferConn struct {
	net.Conn
	input, output bytes.Buffer
}

func (c *bufferConn) Read(b []byte) (int, error)  { return c.input.Read(b) }
func (c *bufferConn) Write(b []byte) (int, error) { return c.output.Write(b) }
func (c *bufferConn) Close() error                { return nil }

var (
	goldenHolder       = lease.Holder{Name: "n1", Process: 4711, Start: 1764750000000001}
	goldenBudgetConfig = lease.BudgetConfig{Kind: lease.BudgetKindRate, Resource: "origin", Units: 40, RatePerUnit: 2.5, ReservedPerNode: 1, MaxNodes: 4, Revision: 3}
	goldenBudget       = lease.Budget{BudgetConfig: goldenBudgetConfig, Quotas: map[string]lease.Quota{"node/n1": {Token: 19, Units: 7}}}
)

// goldenCalls returns an argument and a reply of each RPC method, by the name of the method.
func goldenCalls() map[string][2]any {
	return map[string][2]any{
		"Ask": {LeaseRequest{Kind: lease.OpEffect, Name: "roll-up", Effect: "roll-up/x", Holder: goldenHolder, Token: 19, Number: 5, Wait: 7500, Value: []byte("v")},
			LeaseResponse{Token: 19, Holder: goldenHolder, Duration: 30000, Error: toWireError(lease.ErrHeld), Leader: "10.0.0.2:7100"}},
		"Status": {struct{}{}, Status{Node: "n1", ID: "n1.0badcafe", Voter: true, VoterError: "b", Leader: "n2.feedface", LeaderAddress: "10.0.0.2:7100", IsLeader: true,
			Term: 3, LastContactMs: -1, Cluster: "f", LastToken: 21, Voters: []VoterInfo{{ID: "n1.0badcafe", Address: "10.0.0.1:7100"}},
			Leases:  []LeaseStatus{{Name: "roll-up", Holder: goldenHolder, Token: 19, RemainingMs: 2900, Waiting: 2}},
			Effects: map[string]lease.Effect{"roll-up": {Token: 19, Number: 5, Value: []byte("v")}}, Entries: 9, QuorumRounds: 4, New: true, Revision: 11,
			Budgets: map[string]BudgetState{"origin-rate": {goldenBudget, 9, 2}}}},
		"Watch":     {uint64(11), Status{}},
		"Figures":   {struct{}{}, map[string]int64{"served": 7}},
		"Bootstrap": {BootstrapRequest{Voters: []VoterInfo{{ID: "n1.0badcafe", Address: "10.0.0.1:7100"}}}, struct{}{}},
		"Found":     {BootstrapRequest{LastToken: 17}, struct{}{}},
		"Change":    {MembershipChange{Add: "n4", Remove: "n3", Address: "10.0.0.4:7100"}, "n4.0badcafe"},
		"Term":      {struct{}{}, TermVote{ID: "n1.0badcafe", Term: 3}},
		"Rest":      {EjectionReport{Servers: map[string]string{"c-1": "10.0.1.1:80"}}, []lease.ProbeStatus{{ID: "c-1", Healthy: true, UntilNextResult: 12500}}},
		"Due":       {uint64(19), []lease.Probe{{ID: "c-1", Address: "10.0.1.1:80"}}},
		"Result":    {ProbeReport{Token: 19, ID: "c-1", Healthy: true}, struct{}{}},
		"Part": {budget.Request{Lease: "node/n1", Token: 18, Weight: 2, MaxWait: 7500,
			Reports:         []budget.Report{{Budget: "origin-rate", Token: 19, Units: 7, Demand: 9, ShrinkTo: -1, Revision: 3}},
			DeclaredConfigs: map[string]lease.BudgetConfig{"origin-rate": goldenBudgetConfig}},
			QuotaResponse{Updates: []budget.QuotaUpdate{{Budget: "origin-rate", Config: goldenBudgetConfig, Quota: lease.Quota{Token: 19, Units: 7}, ShrinkTo: 5, Allocated: 30, Reserve: 2}},
				Error: toWireError(fmt.Errorf("%w: name", lease.ErrMalformed))}},
		"Lend":     {struct{}{}, LentQuotas{Quotas: []budget.LentQuota{{Name: "origin-rate", Units: 3, Config: goldenBudgetConfig}}, Duration: 1000}},
		"SetWhole": {LimitChange{Name: "origin-rate", Limit: 120.5}, BudgetState{goldenBudget, 9, 2}},
	}
}

func TestRPCWireFormat(t *testing.T) {
	methods := reflect.TypeFor[*rpcService]()
	if n := methods.NumMethod(); n != len(goldenCalls()) {
		t.Errorf("%d RPC methods are served, %d have golden files", n, len(goldenCalls()))
	}
	for method, messages := range goldenCalls() {
		if _, served := methods.MethodByName(method); !served {
			t.Errorf("RPC method Fleet.%s is not served", method)
		}
		var clientConn, serverConn bufferConn
		client := jsonrpc.NewClientCodec(&clientConn)
		if err := client.WriteRequest(&rpc.Request{ServiceMethod: "Fleet." + method, Seq: 3}, messages[0]); err != nil {
			t.Fatal(err)
		}
		request := compareGolden(t, method+"-request.json", clientConn.output.Bytes())
		serverConn.input.Write(request)
		server := jsonrpc.NewServerCodec(&serverConn)
		var header rpc.Request
		args := reflect.New(reflect.TypeOf(messages[0]))
		if err := errors.Join(server.ReadRequestHeader(&header), server.ReadRequestBody(args.Interface())); err != nil {
			t.Fatal(method, err)
		}
		if header.ServiceMethod != "Fleet."+method || !reflect.DeepEqual(args.Elem().Interface(), messages[0]) {
			t.Errorf("%s: argument decoded as %+v, want %+v", header.ServiceMethod, args.Elem(), messages[0])
		}
		if err := server.WriteResponse(&rpc.Response{Seq: header.Seq}, messages[1]); err != nil {
			t.Fatal(err)
		}
		clientConn.input.Write(compareGolden(t, method+"-response.json", serverConn.output.Bytes()))
		var responseHeader rpc.Response
		reply := reflect.New(reflect.TypeOf(messages[1]))
		if err := errors.Join(client.ReadResponseHeader(&responseHeader), client.ReadResponseBody(reply.Interface())); err != nil {
			t.Fatal(method, err)
		}
		if !reflect.DeepEqual(reply.Elem().Interface(), messages[1]) {
			t.Errorf("%s: reply decoded as %+v, want %+v", method, reply.Elem(), messages[1])
		}
	}
}

// Peers identify errors by these names. The text of an error may differ in a peer of another version, so an error with a known
// name decodes to the same error whatever its text. The golden file has a line for each known error, one for an error without
// a known name, and one for no error.
func TestWireErrorNames(t *testing.T) {
	knownErrors := []error{lease.ErrHeld, lease.ErrLeaseExpired, lease.ErrDuplicate, lease.ErrStaleTerm, lease.ErrLimitExceeded, lease.ErrMalformed, lease.ErrNotFounded,
		lease.ErrAlreadyFounded, lease.ErrNotLeader, lease.ErrStillHeld, lease.ErrWithdrawn}
	if len(knownErrors) != len(errorsByName) {
		t.Errorf("%d errors have wire names, %d are tested", len(errorsByName), len(knownErrors))
	}
	for _, err := range knownErrors {
		if got := toWireError(err).toError(); got != err {
			t.Errorf("%v decoded as %v", err, got)
		}
		wrapped := fmt.Errorf("%w: further", err)
		if got := toWireError(wrapped).toError(); !errors.Is(got, err) {
			t.Errorf("%v decoded as %v", wrapped, got)
		}
	}
	stored, err := os.ReadFile(filepath.Join("testdata", "golden", "refusals.jsonl"))
	if err != nil {
		t.Fatal(err)
	}
	lines := bytes.Split(bytes.TrimSpace(stored), []byte("\n"))
	if len(lines) != len(knownErrors)+2 {
		t.Fatalf("%d golden errors, want %d known ones, another one and none", len(lines), len(knownErrors))
	}
	for i, line := range lines {
		var decoded wireError
		if err := json.Unmarshal(line, &decoded); err != nil {
			t.Fatal(err)
		}
		if encoded, err := json.Marshal(decoded); err != nil || !bytes.Equal(encoded, line) {
			t.Errorf("%s encoded again as %s, %v", line, encoded, err)
		}
		switch got := decoded.toError(); {
		case i < len(knownErrors) && (!errors.Is(got, knownErrors[i]) || toWireError(got).Name != decoded.Name || toWireError(knownErrors[i]).Name != decoded.Name):
			t.Errorf("%s decoded as %v, want %v", line, got, knownErrors[i])
		case i == len(knownErrors) && (got == nil || got.Error() != "another" || toWireError(got) != decoded):
			t.Errorf("%s decoded as %v", line, got)
		case i > len(knownErrors) && (got != nil || toWireError(nil) != decoded):
			t.Errorf("%s decoded as %v, want none", line, got)
		}
	}
}

// Peers of other versions identify these errors by their texts, which net/rpc sends unchanged.
func TestRPCErrorTexts(t *testing.T) {
	for err, want := range map[error]string{
		lease.ErrNotLeader:      "not the leader",
		lease.ErrAlreadyFounded: "the fleet is founded already",
	} {
		clientConn, serverConn := net.Pipe()
		server := rpc.NewServer()
		if registerErr := server.RegisterName("Fleet", &failingService{err}); registerErr != nil {
			t.Fatal(registerErr)
		}
		go server.ServeCodec(jsonrpc.NewServerCodec(serverConn))
		client := jsonrpc.NewClient(clientConn)
		var reply struct{}
		if got := call(client, "Fleet.Found", &BootstrapRequest{}, &reply, time.Second); got == nil || got.Error() != want {
			t.Errorf("%q, want %q", got, want)
		}
		_ = client.Close()
	}
}

// failingService is an RPC service whose calls return an error.
type failingService struct{ err error }

func (f *failingService) Found(*BootstrapRequest, *struct{}) error { return f.err }
