package faulttest

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// process is one node of a run; over the run it may be several processes in turn, or two at once during a replacement.
type process struct {
	w       *world
	n       int
	name    string
	ip      string
	config  string
	folder  string // of its vote, empty: it has none
	points  string // files here stop it at a point
	rate    float64
	socket  *os.File // the clients', handed to each in turn
	mu      sync.Mutex
	cmd     *exec.Cmd
	ended   chan struct{}
	since   int64 // when this one was started
	stopped int64 // since when it stands still, 0: it runs
	began   int   // processes so far
}

// boot reads the machine's clock that goes on in suspension, which all processes stamp by.
func boot() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

// start starts the node's next process, and gives back the one before.
func (p *process) start() (before *exec.Cmd, ended chan struct{}, err error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.began++
	log, err := os.OpenFile(filepath.Join(p.w.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer log.Close()
	c := exec.Command(p.w.program, "serve", "--config", p.config)
	c.Env = append(os.Environ(), fmt.Sprintf("THISTLERUDDER_CLOCK_RATE=%g", p.rate), "THISTLERUDDER_POINTS="+p.points,
		"THISTLERUDDER_WITHOUT="+p.w.plan.Without, "THISTLERUDDER_TRIAL_DOOR="+p.w.door.address,
		"THISTLERUDDER_TRIAL_RECORD="+filepath.Join(p.w.folder, fmt.Sprintf("%s.%d.record", p.name, p.began)),
		fmt.Sprintf("BALANCER_ADMIN_ADDR=%s:%d", p.ip, p.admin()), "BALANCER_PASSED_SOCKET=3", "TMPDIR="+p.w.folder, "GOMAXPROCS=2")
	c.Stdout, c.Stderr, c.ExtraFiles = log, log, []*os.File{p.socket}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // not even when the rig itself is killed does one stay
	if err := c.Start(); err != nil {
		return nil, nil, err
	}
	p.w.named(c.Process.Pid, p.name)
	before, ended = p.cmd, p.ended
	gone := make(chan struct{})
	p.cmd, p.ended, p.since, p.stopped = c, gone, boot(), 0
	go func() {
		_ = c.Wait()
		p.w.note(pause{c.Process.Pid, boot(), 1 << 62})
		close(gone)
	}()
	return before, ended, nil
}

// admin is the operators' port of the present process: another one for each, since two serve side by side meanwhile.
func (p *process) admin() int { return adminPort + p.began%100 }

// serves waits until the present process says that it serves.
func (p *process) serves() bool {
	for end := time.Now().Add(endWithin); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/status", p.ip, p.admin()))
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return true
		}
	}
	return false
}

// signal sends one to the present process.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(s)
	}
}

// end ends the present process by a signal, and waits for it.
func (p *process) end(s syscall.Signal) {
	p.mu.Lock()
	c, ended := p.cmd, p.ended
	p.mu.Unlock()
	if c == nil {
		return
	}
	began := time.Now()
	_ = c.Process.Signal(s)
	select {
	case <-ended:
		p.w.left(p, time.Since(began))
	case <-time.After(endWithin):
		p.w.left(p, time.Since(began))
		_ = c.Process.Signal(syscall.SIGQUIT) // the log then says where it waits
		time.Sleep(quitWithin)
		_ = c.Process.Kill()
		<-ended
	}
}

const (
	endWithin  = 5 * time.Second
	quitWithin = 300 * time.Millisecond
	leaveMost  = 2500 * time.Millisecond // what a node may take to end: its clients' longest limit, and a second and a half
)

// stand lets the process stand still for a while. A stop at a point is waited for, and doesn't come if nothing passes it.
func (p *process) stand(point string, span time.Duration) (struck bool) {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()
	file := filepath.Join(p.points, point)
	if point == "" {
		from := boot()
		p.signal(syscall.SIGSTOP)
		time.Sleep(span)
		p.signal(syscall.SIGCONT)
		p.w.note(pause{pid, from, boot()})
		return true
	}
	if os.WriteFile(file, nil, 0o600) != nil {
		return false
	}
	from := boot()
	for range int(pointWithin / pointLook) {
		time.Sleep(pointLook)
		if _, err := os.Stat(file); err != nil {
			time.Sleep(span)
			p.signal(syscall.SIGCONT)
			p.w.note(pause{pid, from, boot()})
			return true
		}
	}
	_ = os.Remove(file)
	p.signal(syscall.SIGCONT) // it may have come just now
	p.w.note(pause{pid, from, boot()})
	return false
}

const (
	pointLook   = time.Millisecond
	pointWithin = 1500 * time.Millisecond
)
