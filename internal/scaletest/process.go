//go:build faults

package scaletest

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

const (
	replyTimeout        = 30 * time.Second
	startStopTimeout    = 10 * time.Second
	firstRealNodeNumber = 1_000_000 // above all hollow nodes' numbers
)

// process is a child process of a run: a host of hollow nodes, the simulated discovery service, a voter or a real node.
type process struct {
	name            string
	dir             string
	args            []string
	acceptsCommands bool  // over stdin; the other processes are controlled by signals
	nodes           []int // hollow nodes that it hosts

	mu     sync.Mutex
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
	ended  chan struct{}
}

// start starts the process. It may be called again after the process has ended.
func (p *process) start(program string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	cmd := exec.Command(program, p.args...)
	cmd.Env = append(os.Environ(), "TMPDIR="+p.dir, faults.UsageVariable+"="+p.usagePath())
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // the child dies with this process, but does not get the terminal's signals
	if p.acceptsCommands {
		stdin, err1 := cmd.StdinPipe()
		stdout, err2 := cmd.StdoutPipe()
		if err := errors.Join(err1, err2); err != nil {
			return err
		}
		p.stdin, p.stdout = stdin, bufio.NewReaderSize(stdout, 1<<20)
	}
	if err := cmd.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = cmd, ended
	go func() {
		if p.acceptsCommands { // cmd.Wait would close the pipe while send still reads a response from it
			_, _ = cmd.Process.Wait()
		} else {
			_ = cmd.Wait()
		}
		close(ended)
	}()
	return nil
}

func (p *process) usagePath() string { return filepath.Join(p.dir, p.name+".usage") }

// send sends a command and waits for the response.
func (p *process) send(c command) (received response, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoded, err := json.Marshal(c)
	if err != nil {
		return received, err
	}
	killTimer := time.AfterFunc(replyTimeout, func() { _ = p.cmd.Process.Kill() }) // the end of the process then ends the read below
	defer killTimer.Stop()
	if _, err = p.stdin.Write(append(encoded, '\n')); err == nil {
		var line []byte
		if line, err = p.stdout.ReadBytes('\n'); err == nil {
			err = json.Unmarshal(line, &received)
		}
	}
	if err == nil && received.Error != "" {
		err = errors.New(received.Error)
	}
	if err != nil {
		return received, fmt.Errorf("%s: %s: %w", p.name, c.Name, err)
	}
	return received, nil
}

// isRunning reports whether the process has started and not ended.
func (p *process) isRunning() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return false
	}
	select {
	case <-p.ended:
		return false
	default:
		return true
	}
}

func (p *process) pid() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cmd.Process.Pid
}

// stop sends the signal and waits for the process to end. After startStopTimeout it kills the process.
func (p *process) stop(signal syscall.Signal) {
	if !p.isRunning() {
		return
	}
	p.mu.Lock()
	cmd, ended := p.cmd, p.ended
	p.mu.Unlock()
	_ = cmd.Process.Signal(signal)
	select {
	case <-ended:
	case <-time.After(startStopTimeout):
		_ = cmd.Process.Kill()
		<-ended
	}
	if p.acceptsCommands {
		_ = p.stdin.Close()
	}
}

// usage returns the resources that the process has used, as reported by the process itself and by the kernel.
func (p *process) usage() (usage processUsage, err error) {
	usage.measuredNs = faulttest.BootTimeNs()
	if p.acceptsCommands {
		received, err := p.send(command{Name: "use"})
		if err != nil {
			return usage, err
		}
		usage.Usage = *received.Usage
		if received.CallCounts != nil {
			usage.calls = *received.CallCounts
		}
	} else {
		_ = os.Remove(p.usagePath())
		if err := p.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
			return usage, fmt.Errorf("%s: %w", p.name, err)
		}
		for deadline := time.Now().Add(replyTimeout); ; time.Sleep(2 * time.Millisecond) {
			content, err := os.ReadFile(p.usagePath())
			if err == nil && json.Unmarshal(content, &usage.Usage) == nil {
				break
			}
			if time.Now().After(deadline) || !p.isRunning() {
				return usage, fmt.Errorf("%s did not report its resource usage", p.name)
			}
		}
	}
	usage.residentBytes = residentBytes(p.pid())
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid()))
	usage.descriptors = len(entries)
	return usage, nil
}

// processUsage is the resources that a process has used since its start.
type processUsage struct {
	faults.Usage
	calls         CallCounts
	measuredNs    int64 // by the boot clock
	residentBytes int64
	descriptors   int
}

// loggedEvents reads the events of a real node from its log. The log has whole milliseconds, so an event counts as one millisecond
// later.
func (p *process) loggedEvents(node int) (events []NodeEvent) {
	log, _ := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	bootOffsetNs := time.Now().UnixNano() - faulttest.BootTimeNs()
	for line := range bytes.SplitSeq(log, []byte{'\n'}) {
		var entry struct {
			TS      string `json:"ts"`
			Msg     string `json:"msg"`
			Version int64  `json:"version"`
		}
		if json.Unmarshal(line, &entry) != nil || eventKindsByMessage[entry.Msg] == "" {
			continue
		}
		if loggedAt, err := time.Parse("2006-01-02T15:04:05.000Z0700", entry.TS); err == nil {
			events = append(events, NodeEvent{Node: node, Kind: eventKindsByMessage[entry.Msg], BootTimeNs: loggedAt.UnixNano() - bootOffsetNs + int64(time.Millisecond), Value: entry.Version})
		}
	}
	return events
}
