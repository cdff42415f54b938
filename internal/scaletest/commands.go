//go:build faults

package scaletest

import (
	"bufio"
	"encoding/json"
	"errors"
	"io"

	"github.com/thistlerudder/thistlerudder/internal/faults"
)

// command is a request of a run to one of its child processes, a line of JSON on the child's standard input.
type command struct {
	Name    string  `json:"Do"`
	Nodes   []int   `json:"Nodes,omitempty"`
	Entries []Entry `json:"Entries,omitempty"`
	Ms      int64   `json:"Ms,omitempty"`
}

// response is the child's response to a command, a line of JSON on its standard output.
type response struct {
	Error      string        `json:"Err,omitempty"`
	BootTimeNs int64         `json:"At,omitempty"`
	Version    int64         `json:"Version,omitempty"`
	NodeEvents []NodeEvent   `json:"Marks,omitempty"`
	Usage      *faults.Usage `json:"Used,omitempty"`
	CallCounts *CallCounts   `json:"Calls,omitempty"`
}

// serveCommands handles commands until the end of the input. The input ends with the run, so that a child process ends with its run.
func serveCommands(in io.Reader, out io.Writer, handle func(command) response) error {
	lines := bufio.NewReader(in)
	encoder := json.NewEncoder(out)
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var c command
		if err := json.Unmarshal(line, &c); err != nil {
			return err
		}
		if err := encoder.Encode(handle(c)); err != nil {
			return err
		}
	}
}
