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
	replyWithin = 30 * time.Second
	endWithin   = 10 * time.Second
	realNodes   = 1_000_000 // what real nodes' numbers begin with, beside those of hollow ones
)

// process is one that a run has started: a host of hollow nodes, the stand-in of discovery, or a node of its own.
type process struct {
	name   string
	folder string
	args   []string
	orders bool // it is told by lines; else by signals
	nodes  []int

	mu    sync.Mutex
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	ended chan struct{}
}

// start starts it, or its next.
func (p *process) start(program string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	log, err := os.OpenFile(filepath.Join(p.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	c := exec.Command(program, p.args...)
	c.Env = append(os.Environ(), "TMPDIR="+p.folder, faults.UsageVariable+"="+p.usage())
	c.Stderr = log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL, Setpgid: true} // it ends with us, but not by the terminal's own signal
	if p.orders {
		in, err1 := c.StdinPipe()
		out, err2 := c.StdoutPipe()
		if err := errors.Join(err1, err2); err != nil {
			return err
		}
		p.in, p.out = in, bufio.NewReaderSize(out, 1<<20)
	}
	if err := c.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	p.cmd, p.ended = c, ended
	go func() {
		if p.orders { // the pipe is read to its end by who waits for a reply; Wait would close it under them
			_, _ = c.Process.Wait()
		} else {
			_ = c.Wait()
		}
		close(ended)
	}()
	return nil
}

func (p *process) usage() string { return filepath.Join(p.folder, p.name+".usage") }

// tell gives an order, and waits for the reply.
func (p *process) tell(o order) (r reply, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	b, err := json.Marshal(o)
	if err != nil {
		return r, err
	}
	late := time.AfterFunc(replyWithin, func() { _ = p.cmd.Process.Kill() }) // its end is then what ends the read below
	defer late.Stop()
	if _, err = p.in.Write(append(b, '\n')); err == nil {
		var line []byte
		if line, err = p.out.ReadBytes('\n'); err == nil {
			err = json.Unmarshal(line, &r)
		}
	}
	if err == nil && r.Err != "" {
		err = errors.New(r.Err)
	}
	if err != nil {
		return r, fmt.Errorf("%s: %s: %w", p.name, o.Do, err)
	}
	return r, nil
}

// runs says whether its process does.
func (p *process) runs() bool {
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
func (p *process) end(s syscall.Signal) {
	if !p.runs() {
		return
	}
	p.mu.Lock()
	c, ended := p.cmd, p.ended
	p.mu.Unlock()
	_ = c.Process.Signal(s)
	select {
	case <-ended:
	case <-time.After(endWithin):
		_ = c.Process.Kill()
		<-ended
	}
	if p.orders {
		_ = p.in.Close()
	}
}

// used gives what it has used, from itself and from the kernel.
func (p *process) used() (u used, err error) {
	u.at = faulttest.Boot()
	if p.orders {
		r, err := p.tell(order{Do: "use"})
		if err != nil {
			return u, err
		}
		u.Usage = *r.Used
		if r.Calls != nil {
			u.calls = *r.Calls
		}
	} else {
		_ = os.Remove(p.usage())
		if err := p.cmd.Process.Signal(syscall.SIGUSR2); err != nil {
			return u, fmt.Errorf("%s: %w", p.name, err)
		}
		for end := time.Now().Add(replyWithin); ; time.Sleep(2 * time.Millisecond) {
			b, err := os.ReadFile(p.usage())
			if err == nil && json.Unmarshal(b, &u.Usage) == nil {
				break
			}
			if time.Now().After(end) || !p.runs() {
				return u, fmt.Errorf("%s tells nothing of its use", p.name)
			}
		}
	}
	u.resident = residentOf(p.pid())
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.pid()))
	u.descriptors = len(entries)
	return u, nil
}

// used is what one process has used since its start.
type used struct {
	faults.Usage
	calls       Calls
	at          int64
	resident    int64 // bytes
	descriptors int
}

func residentOf(pid int) int64 {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	f := strings.Fields(string(b))
	if len(f) < 2 {
		return 0
	}
	pages, _ := strconv.ParseInt(f[1], 10, 64)
	return pages * int64(os.Getpagesize())
}

// logged gives the marks of a real node, from its log.
func (p *process) logged(n int) (all []Mark) {
	b, _ := os.ReadFile(filepath.Join(p.folder, p.name+".log"))
	offset := time.Now().UnixNano() - faulttest.Boot()
	for line := range bytes.SplitSeq(b, []byte{'\n'}) {
		var l struct {
			TS      string `json:"ts"`
			Msg     string `json:"msg"`
			Version int64  `json:"version"`
		}
		if json.Unmarshal(line, &l) != nil || markOf[l.Msg] == "" {
			continue
		}
		if at, err := time.Parse("2006-01-02T15:04:05.000Z0700", l.TS); err == nil {
			all = append(all, Mark{Node: n, What: markOf[l.Msg], At: at.UnixNano() - offset + int64(time.Millisecond), N: l.Version})
		}
	}
	return all
}

const (
	lateLook  = 10 * time.Millisecond
	stillMost = 150 * time.Millisecond // half of the time in which voters and nodes answer each other
)

// late notes for how long a process did not run at the most, though it was to: then a bound that is broken tells of the machine.
type late struct{ worst atomic.Int64 }

func (l *late) watch(ctx context.Context) {
	for ctx.Err() == nil {
		was := faulttest.Boot()
		time.Sleep(lateLook)
		if x := faulttest.Boot() - was - int64(lateLook); x > l.worst.Load() {
			l.worst.Store(x)
		}
	}
}

// free tells what the machine has for a run.
func free() (r Room, err error) {
	b, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return r, err
	}
	for line := range strings.Lines(string(b)) {
		if f := strings.Fields(line); len(f) > 1 && f[0] == "MemAvailable:" {
			kb, _ := strconv.ParseInt(f[1], 10, 64)
			r.Memory = kb << 10
		}
	}
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return r, err
	}
	r.Descriptors = int(l.Cur)
	return r, nil
}
