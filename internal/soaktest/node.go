package soaktest

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
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

	"github.com/thistlerudder/thistlerudder/internal/loopback"
)

const (
	readyTimeout      = 10 * time.Second // from the start of a process until it serves
	readyPollInterval = 5 * time.Millisecond
	stackDumpWait     = 300 * time.Millisecond // after SIGQUIT, for the process to log its stacks
	shutdownSlack     = 700 * time.Millisecond // a process is killed if it is still running this long plus the longest deadline after SIGTERM

	// Clients go on to connect for a time between these after SIGTERM.
	minAcceptAfterSIGTERM = 200 * time.Millisecond
	maxAcceptAfterSIGTERM = 400 * time.Millisecond

	maxReloadsBeforeSIGTERM = 3
	maxSignalAfterSIGTERM   = 600 * time.Millisecond // latest time after SIGTERM of a further signal

	clientPort     = 7070
	firstAdminPort = 9600
	adminPortCount = 100 // a node's processes take turns on this many admin ports
)

// node is one node of the fleet. It has one process, or two during a hand-over.
type node struct {
	testbed      *testbed
	index        int
	folder       string
	address      string
	socket       *os.File    // listening socket for clients that is passed to each process; nil: the process opens its own
	accepting    atomic.Bool // clients may connect
	terminating  atomic.Bool // a process has got SIGTERM and has not ended
	faultMu      sync.Mutex  // held while a fault of the node is in progress
	processCount int         // processes started so far

	mu      sync.Mutex
	process *process
}

// process is one process of a node.
type process struct {
	cmd              *exec.Cmd
	adminAddress     string
	ended            chan struct{} // closed when the process has ended
	view             *processView
	discoveryServers []*discoveryServer // one for each configuration that the process was given
}

// localAddress returns a loopback address that only this node listens on. Outgoing connections use 127.0.0.1, so their local ports
// can't collide with it.
func (n *node) localAddress(port int) string {
	return fmt.Sprintf("127.%d.%d.1:%d", loopback.Octet(), n.index+1, port)
}

// newNode prepares a node. Nodes with an even index get a listening socket that is passed to each of their processes.
func newNode(tb *testbed, index int) (*node, error) {
	nd := &node{testbed: tb, index: index, folder: filepath.Join(tb.folder, fmt.Sprintf("n%d", index))}
	if err := os.Mkdir(nd.folder, 0o700); err != nil {
		return nil, err
	}
	nd.address = nd.localAddress(clientPort)
	if index%2 == 1 {
		return nd, nil
	}
	l, err := net.Listen("tcp", nd.address)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	nd.socket, err = l.(*net.TCPListener).File()
	return nd, err
}

func (n *node) configPath() string { return filepath.Join(n.folder, "node.json") }

// writeConfig opens the discovery service for a process at a new address, and writes the configuration that names it.
func (n *node) writeConfig(adminAddress string, view *processView) (*discoveryServer, error) {
	ds, err := n.testbed.discovery.listen(view)
	if err != nil {
		return nil, err
	}
	data, err := json.Marshal(map[string]any{"name": fmt.Sprintf("n%d", n.index), "listen": n.address, "discovery": ds.address,
		"admin_addr": adminAddress, "seed": fmt.Sprintf("%x", n.testbed.plan.Seed*1000+uint64(n.index)),
		"limits": map[string]any{"cores": 1, "memory_mb": 64, "sockets": 256}, "settings": n.testbed.settings.configObject(n.testbed.plan.Nodes)})
	if err != nil {
		return nil, err
	}
	return ds, os.WriteFile(n.configPath(), data, 0o600)
}

// startProcess starts the node's next process and waits until it serves. On a timeout it returns both the process and an error.
func (n *node) startProcess() (*process, error) {
	n.processCount++
	adminAddress := n.localAddress(firstAdminPort + n.processCount%adminPortCount) // two processes run side by side during a hand-over
	view := newProcessView(n.testbed.recorder, n.index)
	ds, err := n.writeConfig(adminAddress, view)
	if err != nil {
		return nil, err
	}
	log, err := os.OpenFile(n.logPath(), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, err
	}
	defer log.Close()
	c := exec.Command(n.testbed.plan.Program, "serve", "--config", n.configPath(), "--log-level", n.testbed.plan.logLevel())
	c.Env = append(os.Environ(), "TMPDIR="+n.folder, "GOMAXPROCS=2", "THISTLERUDDER_WITHOUT="+n.testbed.plan.DisabledSafeguard)
	c.Env = append(c.Env, n.testbed.plan.Env...)
	c.Stdout, c.Stderr = log, log
	if n.socket != nil {
		c.ExtraFiles = []*os.File{n.socket}
		c.Env = append(c.Env, "BALANCER_PASSED_SOCKET=3")
	}
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return nil, err
	}
	p := &process{cmd: c, adminAddress: adminAddress, ended: make(chan struct{}), view: view, discoveryServers: []*discoveryServer{ds}}
	go func() {
		_ = c.Wait()
		p.view.markEnded()
		for _, ds := range n.discoveryServersOf(p) {
			_ = ds.httpServer.Close()
		}
		close(p.ended)
	}()
	return p, n.waitUntilServing(p)
}

func (n *node) logPath() string { return filepath.Join(n.folder, "log") }

// discoveryServersOf returns a copy of the process's discovery servers.
func (n *node) discoveryServersOf(p *process) []*discoveryServer {
	n.mu.Lock()
	defer n.mu.Unlock()
	return append([]*discoveryServer(nil), p.discoveryServers...)
}

// waitUntilServing polls a process until it reports that it is ready and the node serves clients.
func (n *node) waitUntilServing(p *process) error {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for start := time.Now(); time.Since(start) < readyTimeout; time.Sleep(readyPollInterval) {
		resp, err := client.Get("http://" + p.adminAddress + "/status")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK && n.isUp() {
			return nil
		}
	}
	return fmt.Errorf("node %d is not ready after %v, see its log %s", n.index, readyTimeout, n.logPath())
}

// isUp reports whether the node answers the health check that a load balancer in front of it makes.
func (n *node) isUp() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + n.address + "/up")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// start starts the node's first process, or the next one after the previous one has ended.
func (n *node) start() error {
	p, err := n.startProcess()
	if err != nil {
		if p != nil {
			_ = p.cmd.Process.Kill()
		}
		return err
	}
	n.mu.Lock()
	n.process = p
	n.mu.Unlock()
	n.accepting.Store(true)
	return nil
}

// shutdownPlan is what happens to a process around its SIGTERM. The zero value is SIGTERM alone.
type shutdownPlan struct {
	reloadsBefore int            // configurations, each with a SIGHUP, just before SIGTERM
	signalAfter   syscall.Signal // a further signal; 0: none
	signalDelay   time.Duration  // from SIGTERM to that signal
	acceptTime    time.Duration  // for which clients go on to connect
}

// drawShutdown draws what happens around a SIGTERM: often signals come in series.
func drawShutdown(rng *rand.Rand) shutdownPlan {
	plan := shutdownPlan{
		signalAfter: randomChoice(rng, 0, syscall.SIGTERM, syscall.SIGHUP),
		signalDelay: randomDuration(rng, 0, maxSignalAfterSIGTERM),
		acceptTime:  randomDuration(rng, minAcceptAfterSIGTERM, maxAcceptAfterSIGTERM),
	}
	if rng.IntN(2) == 0 {
		plan.reloadsBefore = 1 + rng.IntN(maxReloadsBeforeSIGTERM)
	}
	return plan
}

// terminate sends SIGTERM to a process and waits for its end. Clients go on using their connections to it. It is a violation if the
// process does not end before the earliest time of the SIGKILL that it then gets, after a SIGQUIT, or if it ends with an exit code
// other than 0. Requests that the SIGKILL leaves unanswered are lost.
func (n *node) terminate(p *process, plan shutdownPlan) {
	if plan.reloadsBefore > 0 {
		n.testbed.faultCounts.add("node: SIGHUP just before SIGTERM", 1)
		if err := n.reload(plan.reloadsBefore, 0); err != nil {
			n.testbed.addProcessViolation(fmt.Sprintf("node %d: %v", n.index, err))
		}
	}
	_ = p.cmd.Process.Signal(syscall.SIGTERM)
	n.terminating.Store(true)
	defer n.terminating.Store(false)
	if plan.signalAfter != 0 {
		n.testbed.faultCounts.add(fmt.Sprintf("node: %v after SIGTERM", plan.signalAfter), 1)
		defer time.AfterFunc(plan.signalDelay, func() { _ = p.cmd.Process.Signal(plan.signalAfter) }).Stop()
	}
	select {
	case <-p.ended:
	case <-time.After(n.testbed.settings.maxDeadline() + shutdownSlack):
		n.testbed.addProcessViolation(fmt.Sprintf("node %d: its process was still running %v after SIGTERM, %s", n.index,
			n.testbed.settings.maxDeadline()+shutdownSlack, kernelState(p.cmd.Process.Pid)))
		_ = p.cmd.Process.Signal(syscall.SIGQUIT) // the process logs the stacks of its goroutines
		time.Sleep(stackDumpWait)
		_ = p.cmd.Process.Kill()
		<-p.ended
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		n.testbed.addProcessViolation(fmt.Sprintf("node %d: its process ended with %v after SIGTERM", n.index, p.cmd.ProcessState))
	}
}

// kernelState returns the state, thread count and resident memory of a process as the kernel reports them. It tells a running process
// from a zombie, which has ended but was not waited for, and from one that is gone.
func kernelState(pid int) string {
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

// restart ends the process with SIGTERM and starts the next one.
func (n *node) restart(plan shutdownPlan) error {
	start := time.Now()
	time.AfterFunc(plan.acceptTime, func() { n.accepting.Store(false) })
	n.terminate(n.process, plan)
	n.accepting.Store(false)
	time.Sleep(time.Millisecond) // if the timer is just firing, let it store false before start stores true
	err := n.start()
	n.testbed.recorder.update(func() {
		n.testbed.recorder.interruptions = append(n.testbed.recorder.interruptions, interruption{n.index, start, time.Now(), "restarted"})
	})
	return err
}

// kill ends the process with SIGKILL and starts the next one.
func (n *node) kill() error {
	n.accepting.Store(false)
	start := time.Now()
	_ = n.process.cmd.Process.Kill()
	<-n.process.ended
	n.testbed.recorder.update(func() {
		n.testbed.recorder.interruptions = append(n.testbed.recorder.interruptions, interruption{n.index, start, time.Now(), "killed"})
	})
	return n.start()
}

// stall stops the process for a duration with SIGSTOP and SIGCONT.
func (n *node) stall(duration time.Duration) error {
	start := time.Now()
	_ = n.process.cmd.Process.Signal(syscall.SIGSTOP)
	time.Sleep(duration)
	_ = n.process.cmd.Process.Signal(syscall.SIGCONT)
	n.testbed.recorder.update(func() {
		n.testbed.recorder.interruptions = append(n.testbed.recorder.interruptions, interruption{n.index, start, time.Now(), "stalled"})
	})
	return nil
}

// reload writes configurations in quick succession, each with another address of the discovery service, and sends a SIGHUP after
// each. It pauses after each SIGHUP.
func (n *node) reload(times int, pause time.Duration) error {
	for range times {
		ds, err := n.writeConfig(n.process.adminAddress, n.process.view)
		if err != nil {
			return err
		}
		n.mu.Lock()
		n.process.discoveryServers = append(n.process.discoveryServers, ds)
		n.mu.Unlock()
		_ = n.process.cmd.Process.Signal(syscall.SIGHUP)
		time.Sleep(pause)
	}
	return nil
}

// handOver starts the next process while the current one serves, then ends the current one with SIGTERM.
func (n *node) handOver(plan shutdownPlan) error {
	start, previous := time.Now(), n.process
	next, err := n.startProcess()
	if err != nil {
		return err
	}
	n.terminate(previous, plan)
	n.mu.Lock()
	n.process = next
	n.mu.Unlock()
	n.testbed.recorder.update(func() {
		n.testbed.recorder.interruptions = append(n.testbed.recorder.interruptions, interruption{n.index, start, time.Now(), "handed over"})
	})
	return nil
}

// close ends the node's process and closes its socket. It waits for a fault in progress.
func (n *node) close() {
	n.faultMu.Lock()
	defer n.faultMu.Unlock()
	n.accepting.Store(false)
	if n.process != nil {
		n.terminate(n.process, shutdownPlan{})
	}
	if n.socket != nil {
		_ = n.socket.Close()
	}
}
