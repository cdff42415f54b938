package soaktest

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	readyMost  = 10 * time.Second
	readyEvery = 5 * time.Millisecond
	quitWithin = 300 * time.Millisecond
	killAfter  = 700 * time.Millisecond // after the longest deadline, a process that was told to end is killed
	comingFor  = 300 * time.Millisecond // after SIGTERM new connections go on coming

	clientsPort = 7070
	adminPort   = 9600
	adminPorts  = 100
	runsFrom    = 100 // second bytes of the runs' addresses
	runsMost    = 100
)

// node is one node of the fleet: one process, or two in a hand-over.
type node struct {
	w         *world
	n         int
	folder    string
	address   string
	socket    *os.File // the clients', where the platform holds it; nil: the node opens its own
	accepting atomic.Bool
	busy      sync.Mutex // one trouble at a time
	began     int        // processes so far

	mu      sync.Mutex
	process *process
}

// process is one process of a node.
type process struct {
	cmd   *exec.Cmd
	admin string
	ended chan struct{}
	hears *audience
	lists []*listener
}

// place gives an address of the node's own part of the loopback range, where no connection's own port can be in the way.
func (x *node) place(port int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", runsFrom+os.Getpid()%runsMost, x.n+1, port)
}

// newNode prepares a node; every second one's socket is held for it.
func newNode(w *world, n int) (*node, error) {
	x := &node{w: w, n: n, folder: filepath.Join(w.folder, fmt.Sprintf("n%d", n))}
	if err := os.Mkdir(x.folder, 0o700); err != nil {
		return nil, err
	}
	x.address = x.place(clientsPort)
	if n%2 == 1 {
		return x, nil
	}
	l, err := net.Listen("tcp", x.address)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	x.socket, err = l.(*net.TCPListener).File()
	return x, err
}

func (x *node) config() string { return filepath.Join(x.folder, "node.json") }

// write writes the configuration, with the list at a new address.
func (x *node) write(admin string, to *audience) (*listener, error) {
	list, err := x.w.discovery.listen(to)
	if err != nil {
		return nil, err
	}
	text, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", x.n), "listen": x.address, "discovery": list.address,
		"admin_addr": admin, "seed": fmt.Sprintf("%x", x.w.plan.Seed*1000+uint64(x.n)),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": x.w.settings.object(x.w.plan.Nodes)})
	if err != nil {
		return nil, err
	}
	return list, os.WriteFile(x.config(), text, 0o600)
}

// start starts the node's next process, and waits until it serves.
func (x *node) start() (*process, error) {
	x.began++
	admin := x.place(adminPort + x.began%adminPorts) // two processes serve side by side in a hand-over
	hears := newAudience(x.w.ledger, x.n)
	list, err := x.write(admin, hears)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(x.log(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := exec.Command(x.w.plan.Program, "serve", "--config", x.config(), "--log-level", x.w.plan.level())
	c.Env = append(os.Environ(), "TMPDIR="+x.folder, "GOMAXPROCS=2", "THISTLERUDDER_WITHOUT="+x.w.plan.Without)
	c.Env = append(c.Env, x.w.plan.Env...)
	c.Stdout, c.Stderr = log, log
	if x.socket != nil {
		c.ExtraFiles = []*os.File{x.socket}
		c.Env = append(c.Env, "BALANCER_PASSED_SOCKET=3")
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: c, admin: admin, ended: make(chan struct{}), hears: hears, lists: []*listener{list}}
	go func() {
		_ = c.Wait()
		p.hears.end()
		for _, l := range x.listsOf(p) {
			_ = l.server.Close()
		}
		close(p.ended)
	}()
	return p, x.serves(p)
}

func (x *node) log() string { return filepath.Join(x.folder, "log") }

func (x *node) listsOf(p *process) []*listener {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]*listener(nil), p.lists...)
}

// serves waits until a process says that it serves.
func (x *node) serves(p *process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for began := time.Now(); time.Since(began) < readyMost; time.Sleep(readyEvery) {
		resp, err := client.Get("http://" + p.admin + "/status")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && x.up() {
			return nil
		}
	}
	return fmt.Errorf("node %d did not get ready in %v: see %s", x.n, readyMost, x.log())
}

// up asks the node as a front does.
func (x *node) up() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + x.address + "/up")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// begin starts the first process, or the next one after an end.
func (x *node) begin() error {
	p, err := x.start()
	if err != nil {
		if p != nil {
			_ = p.cmd.Process.Kill()
		}
		return err
	}
	x.mu.Lock()
	x.process = p
	x.mu.Unlock()
	x.accepting.Store(true)
	return nil
}

// leave tells a process to end, and kills it if it doesn't.
func (x *node) leave(p *process) {
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-p.ended:
	case <-time.After(x.w.settings.longest() + killAfter):
		x.w.broke(fmt.Sprintf("node %d: its process was still there %v after SIGTERM, %s", x.n, x.w.settings.longest()+killAfter,
			stateOf(p.cmd.Process.Pid)))
		_ = p.cmd.Process.Signal(syscall.SIGQUIT) // its log then says where it waits
		time.Sleep(quitWithin)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		x.w.broke(fmt.Sprintf("node %d: its process ended with %v after SIGTERM", x.n, p.cmd.ProcessState))
	}
}

// stateOf tells what the kernel says of a process: whether it runs, has ended already (zombie), or is gone.
func stateOf(pid int) string {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return "gone"
	}
	var found []string
	for line := range strings.Lines(string(text)) {
		if strings.HasPrefix(line, "State:") || strings.HasPrefix(line, "Threads:") || strings.HasPrefix(line, "VmRSS:") {
			found = append(found, strings.Join(strings.Fields(line), " "))
		}
	}
	return strings.Join(found, ", ")
}

// restart ends the process with SIGTERM, and starts the next.
func (x *node) restart() error {
	time.AfterFunc(comingFor, func() { x.accepting.Store(false) })
	x.leave(x.process)
	x.accepting.Store(false)
	time.Sleep(time.Millisecond) // the timer may have come late
	return x.begin()
}

// kill ends the process outright, and starts the next.
func (x *node) kill() error {
	x.accepting.Store(false)
	at := time.Now()
	_ = x.process.cmd.Process.Kill()
	<-x.process.ended
	x.w.ledger.change(func() { x.w.ledger.stops = append(x.w.ledger.stops, stop{x.n, at, time.Now(), "killed"}) })
	return x.begin()
}

// stall lets the process stand still.
func (x *node) stall(span time.Duration) error {
	from := time.Now()
	_ = x.process.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(span)
	_ = x.process.cmd.Process.Signal(syscall.SIGCONT)
	x.w.ledger.change(func() { x.w.ledger.stops = append(x.w.ledger.stops, stop{x.n, from, time.Now(), "stalled"}) })
	return nil
}

// reload writes configurations in quick succession, each with the list at another address.
func (x *node) reload(times int) error {
	for range times {
		list, err := x.write(x.process.admin, x.process.hears)
		if err != nil {
			return err
		}
		x.mu.Lock()
		x.process.lists = append(x.process.lists, list)
		x.mu.Unlock()
		_ = x.process.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(10 * time.Millisecond)
	}
	return nil
}

// handOver starts the next process beside the present one, and ends that.
func (x *node) handOver() error {
	from, before := time.Now(), x.process
	next, err := x.start()
	if err != nil {
		return err
	}
	x.leave(before)
	x.mu.Lock()
	x.process = next
	x.mu.Unlock()
	x.w.ledger.change(func() { x.w.ledger.stops = append(x.w.ledger.stops, stop{x.n, from, time.Now(), "handed over"}) })
	return nil
}

// close ends the node for good.
func (x *node) close() {
	x.busy.Lock()
	defer x.busy.Unlock()
	x.accepting.Store(false)
	if x.process != nil {
		x.leave(x.process)
	}
	if x.socket != nil {
		_ = x.socket.Close()
	}
}
