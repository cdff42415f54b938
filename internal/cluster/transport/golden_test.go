package transport

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The first lines are exchanged with peers of other versions, and the address of a voter is stored in the Raft log, so the encoding
// of both must not change.
func TestHelloAndWelcomeMatchGoldenFiles(t *testing.T) {
	for name, value := range map[string]any{
		"hello-votes.json":     hello{Cluster: "f", Purpose: PurposeRaft, NodeName: "n1", VoterID: "n2.0badcafe"},
		"hello-asks.json":      hello{Cluster: "f", Purpose: PurposeRPC, NodeName: "n1"},
		"welcome.json":         welcome{},
		"welcome-refused.json": welcome{Refusal: "no voter: fleet.folder is empty or can't be used"},
	} {
		golden, err := os.ReadFile(filepath.Join("..", "testdata", "golden", name))
		if err != nil {
			t.Fatal(err)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if encoded = append(encoded, '\n'); !bytes.Equal(encoded, golden) {
			t.Errorf("%s:\n got %s\nwant %s", name, encoded, golden)
		}
		decoded := reflect.New(reflect.TypeOf(value))
		if err := json.Unmarshal(golden, decoded.Interface()); err != nil || !reflect.DeepEqual(decoded.Elem().Interface(), value) {
			t.Errorf("%s: read as %+v, %v, want %+v", name, decoded.Elem(), err, value)
		}
	}
	if address := RaftAddress("n1.0badcafe", "10.0.0.1:7100"); address != "10.0.0.1:7100#n1.0badcafe" {
		t.Error("a voter's address in the log is", address)
	}
}
