// Standins plays the platform and the clients of the review's cases: discovery, cache servers and an origin that speak as the protocol page says, and clients
// that send what a case needs and record what they see.
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"net/http"
	"os"
	"sync"
	"time"
)

// recorder appends lines to the case's record, which several processes write.
type recorder struct {
	mu      sync.Mutex
	file    *os.File
	pending bytes.Buffer // lines of noteSoon
}

// flushInterval is how long a line of noteSoon may wait. A script that reads the record waits longer.
const flushInterval = 50 * time.Millisecond

func openRecord(path string) (*recorder, error) {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file}, nil
}

// note writes one line with its time in milliseconds.
func (r *recorder) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// noteSoon writes one line like note, at the latest after flushInterval, so that thousands of lines a second don't delay what they tell of.
func (r *recorder) noteSoon(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending.Len() == 0 {
		time.AfterFunc(flushInterval, r.flush)
	}
	fmt.Fprintf(&r.pending, "%d %s\n", time.Now().UnixMilli(), fmt.Sprintf(format, args...))
}

// flush writes the lines of noteSoon to the file.
func (r *recorder) flush() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = r.pending.WriteTo(r.file)
}

// Statuses of the commands that judge.
const (
	statusHeld      = 0
	statusBroken    = 1
	statusCannotRun = 2
)

var errUsage = errors.New("usage: standins servers|servers-twice|await-up|submit|read [flags]")

func main() {
	status, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		status = statusCannotRun
	}
	os.Exit(status)
}

func run(args []string) (status int, err error) {
	if len(args) == 0 {
		return statusCannotRun, errUsage
	}
	flags := flag.NewFlagSet(args[0], flag.ContinueOnError)
	record := flags.String("record", os.DevNull, "file that lines are appended to")
	node := flags.String("node", "", "address of the node; with read, addresses of all nodes")
	discoveryAddress := flags.String("discovery", "", "address to serve discovery at")
	servers := flags.String("servers", "", "addresses of the cache servers, and last of the origin")
	endless := flags.Int("endless", 0, "each so many-th answer to a write is spoilt and never ends; 0: none")
	every := flags.Int("every", 0, "each so many-th answer comes twice; 0: none")
	count := flags.Int("count", 0, "requests to send")
	if err := flags.Parse(args[1:]); err != nil {
		return statusCannotRun, err
	}
	rec, err := openRecord(*record)
	if err != nil {
		return statusCannotRun, err
	}
	defer rec.flush()
	switch args[0] {
	case "servers":
		return statusCannotRun, serve(*discoveryAddress, *servers, *endless, rec)
	case "servers-twice":
		return statusCannotRun, serveTwice(*discoveryAddress, *servers, *every, rec)
	case "read":
		return read(*node, *count, rec), nil
	case "await-up":
		return statusHeld, awaitUp(*node)
	case "submit":
		return submitAll(*node, *count, rec), nil
	}
	return statusCannotRun, errUsage
}

// awaitUp waits until the node answers GET /up with 200.
func awaitUp(node string) error {
	for range 100 {
		resp, err := http.Get("http://" + node + "/up")
		if err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("GET /up was not answered with 200 within 10 s")
}
