package transport

import (
	"encoding/json"
	"fmt"
	"net"
)

// The purposes of a connection, as they stand in its first line.
const (
	PurposeRaft = "votes" // the consensus library's protocol between voters
	PurposeRPC  = "asks"  // JSON-RPC of nodes, voters and operators
)

const maxHelloBytes = 1 << 10

// hello is the first line of a connection, from the dialing side.
type hello struct {
	Cluster  string `json:"fleet"`
	Purpose  string `json:"for"`
	NodeName string `json:"from"`
	VoterID  string `json:"to,omitempty"` // id of the voter that is meant
}

// welcome is the first line of the accepting side.
type welcome struct {
	Refusal string `json:"refused,omitempty"` // reason; empty: the connection is accepted
}

// writeLine writes a value as one line of JSON.
func writeLine(c net.Conn, value any) error {
	line, err := json.Marshal(value)
	if err != nil {
		return err
	}
	_, err = c.Write(append(line, '\n'))
	return err
}

// readLine reads one line of JSON and nothing beyond it, which belongs to the protocol that follows.
func readLine(c net.Conn, value any) error {
	line := make([]byte, 0, 128)
	for buf := make([]byte, 1); len(line) < maxHelloBytes; line = append(line, buf[0]) {
		if _, err := c.Read(buf); err != nil {
			return err
		}
		if buf[0] == '\n' {
			return json.Unmarshal(line, value)
		}
	}
	return fmt.Errorf("the first line has more than %d bytes", maxHelloBytes)
}
