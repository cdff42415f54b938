package transport

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"reflect"
	"testing"
)

// The first lines cross the wire to peers of other versions, and a voter's address stands in the log.
func TestHelloAndWelcomeKeepTheirForm(t *testing.T) {
	for name, value := range map[string]any{
		"hello-votes.json":     hello{Cluster: "f", Purpose: PurposeRaft, From: "n1", To: "n2.0badcafe"},
		"hello-asks.json":      hello{Cluster: "f", Purpose: PurposeRPC, From: "n1"},
		"welcome.json":         welcome{},
		"welcome-refused.json": welcome{Refusal: "no voter: fleet.folder is empty or can't be used"},
	} {
		stored, err := os.ReadFile(filepath.Join("..", "testdata", "golden", name))
		if err != nil {
			t.Fatal(err)
		}
		written, err := json.Marshal(value)
		if err != nil {
			t.Fatal(err)
		}
		if written = append(written, '\n'); !bytes.Equal(written, stored) {
			t.Errorf("%s:\n got %s\nwant %s", name, written, stored)
		}
		read := reflect.New(reflect.TypeOf(value))
		if err := json.Unmarshal(stored, read.Interface()); err != nil || !reflect.DeepEqual(read.Elem().Interface(), value) {
			t.Errorf("%s: read as %+v, %v, want %+v", name, read.Elem(), err, value)
		}
	}
	if a := RaftAddress("n1.0badcafe", "10.0.0.1:7100"); a != "10.0.0.1:7100#n1.0badcafe" {
		t.Error("a voter's address in the log is", a)
	}
}
