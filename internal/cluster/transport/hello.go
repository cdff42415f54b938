package transport

import (
	"encoding/json"
	"fmt"
	"net"
)

// Purposes of a connection, as written in its first line.
const (
	PurposeRaft = "votes" // the consensus library's Raft protocol between voters
	PurposeRPC  = "asks"  // JSON-RPC from nodes, voters and operators
)

const maxHelloBytes = 1 << 10

// hello is the first line that the dialing side sends.
type hello struct {
	Cluster  string `json:"fleet"`
	Purpose  string `json:"for"`
	NodeName string `json:"from"`
	VoterID  string `json:"to,omitempty"` // required id of the accepting voter; empty: any
}

// welcome is the first line that the accepting side sends, in reply to hello.
type welcome struct {
	Refusal string `json:"refused,omitempty"` // reason for refusing the connection; empty if it is accepted
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

// readLine reads one line of JSON. It reads byte by byte, because the bytes after the line belong to the protocol that follows.
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
