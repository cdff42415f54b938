//go:build faults

package scaletest

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/thistlerudder/thistlerudder/internal/faults"
	"github.com/thistlerudder/thistlerudder/internal/faulttest"
)

const (
	replyTimeout        = 30 * time.Second
	startStopTimeout    = 10 * time.Second
	firstRealNodeNumber = 1_000_000 // what real nodes' numbers begin with, beside those of hollow ones
)

// process is one that a run has started: a host of hollow nodes, the stand-in of discovery, or a node of its own.
type process struct {
	name            string
	dir             string
	args            []string
	acceptsCommands bool // it is told by lines; else by signals
	nodes           []int

	mu     sync.Mutex
	cmd    *exec.Cmd
	stdin  io.WriteCloser
	stdout *bufio.Reader
	ended  chan struct{}
}

// start starts it, or its next.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // it ends with us, but not by the terminal's own signal
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
		if p.acceptsCommands { // the pipe is read to its end by who waits for a reply; Wait would close it under them
			_, _ = cmd.Process.Wait()
		} else {
			_ = cmd.Wait()
		}
		close(ended)
	}()
	return nil
}

func (p *process) usagePath() string { return filepath.Join(p.dir, p.name+".usage") }

// tell gives an order, and waits for the reply.
func (p *process) send(c command) (received response, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	encoded, err := json.Marshal(c)
	if err != nil {
		return received, err
	}
	killTimer := time.AfterFunc(replyTimeout, func() { _ = p.cmd.Process.Kill() }) // its end is then what ends the read below
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

// runs says whether its process does.
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

// end ends it by a signal, and if that isn't heard, by one that is.
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

// used gives what it has used, from itself and from the kernel.
func (p *process) usage() (usage processUsage, err error) {
	usage.measuredNs = faulttest.Boot()
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
				return usage, fmt.Errorf("%s tells nothing of its use", p.name)
			}
		}
	}
	usage.residentBytes = residentBytes(p.pid())
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid()))
	usage.descriptors = len(entries)
	return usage, nil
}

// used is what one process has used since its start.
type processUsage struct {
	faults.Usage
	calls         CallCounts
	measuredNs    int64
	residentBytes int64 // bytes
	descriptors   int
}

func residentBytes(pid int) int64 {
	statm, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	fields := strings.Fields(string(statm))
	if len(fields) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(fields[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// logged gives the marks of a real node, from its log.
func (p *process) loggedEvents(node int) (events []NodeEvent) {
	log, _ := os.ReadFile(filepath.Join(p.dir, p.name+".log"))
	bootOffsetNs := time.Now().UnixNano() - faulttest.Boot()
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

const (
	stallCheckInterval = 10 * time.Millisecond
	maxStall           = 150 * time.Millisecond // half of the time in which voters and nodes answer each other
)

// late notes for how long a process did not run at the most, though it was to: then a bound that is broken tells of the machine.
type stallMonitor struct{ longestNs atomic.Int64 }

func (m *stallMonitor) watch(ctx context.Context) {
	for ctx.Err() == nil {
		beforeNs := faulttest.Boot()
		time.Sleep(stallCheckInterval)
		if stallNs := faulttest.Boot() - beforeNs - int64(stallCheckInterval); stallNs > m.longestNs.Load() {
			m.longestNs.Store(stallNs)
		}
	}
}

// free tells what the machine has for a run.
func availableResources() (available Resources, err error) {
	meminfo, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return available, err
	}
	for line := range strings.Lines(string(meminfo)) {
		if fields := strings.Fields(line); len(fields) > 1 && fields[0] == "MemAvailable:" {
			kb, _ := strconv.ParseInt(fields[1], 10, 64)
			available.MemoryBytes = kb << 10
		}
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return available, err
	}
	available.Descriptors = int(limit.Cur)
	return available, nil
}
