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
type clusterNode struct {
	cluster      *testCluster
	index        int
	name         string
	ip           string
	configPath   string
	folder       string // of its vote, empty: it has none
	pointsDir    string // files here stop it at a point
	clockRate    float64
	clientSocket *os.File // the clients', handed to each in turn
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	startedNs    int64 // when this one was started
	stoppedNs    int64 // since when it stands still, 0: it runs
	startCount   int   // processes so far
}

// boot reads the machine's clock that goes on in suspension, which all processes stamp by.
func bootTimeNs() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

// start starts the node's next process, and gives back the one before.
func (n *clusterNode) start() (previous *exec.Cmd, previousExited chan struct{}, err error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startCount++
	logFile, err := os.OpenFile(filepath.Join(n.cluster.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, nil, err
	}
	defer logFile.Close()
	cmd := exec.Command(n.cluster.program, "serve", "--config", n.configPath)
	cmd.Env = append(os.Environ(), fmt.Sprintf("THISTLERUDDER_CLOCK_RATE=%g", n.clockRate), "THISTLERUDDER_POINTS="+n.pointsDir,
		"THISTLERUDDER_WITHOUT="+n.cluster.plan.DisabledSafeguard, "THISTLERUDDER_TRIAL_DOOR="+n.cluster.resource.addr,
		"THISTLERUDDER_TRIAL_RECORD="+filepath.Join(n.cluster.dir, fmt.Sprintf("%s.%d.record", n.name, n.startCount)),
		fmt.Sprintf("BALANCER_ADMIN_ADDR=%s:%d", n.ip, n.adminPort()), "BALANCER_PASSED_SOCKET=3", "TMPDIR="+n.cluster.dir, "GOMAXPROCS=2")
	cmd.Stdout, cmd.Stderr, cmd.ExtraFiles = logFile, logFile, []*os.File{n.clientSocket}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // not even when the rig itself is killed does one stay
	if err := cmd.Start(); err != nil {
		return nil, nil, err
	}
	n.cluster.setNodeName(cmd.Process.Pid, n.name)
	previous, previousExited = n.cmd, n.exited
	exited := make(chan struct{})
	n.cmd, n.exited, n.startedNs, n.stoppedNs = cmd, exited, bootTimeNs(), 0
	go func() {
		_ = cmd.Wait()
		n.cluster.recordPause(pause{cmd.Process.Pid, bootTimeNs(), 1 << 62})
		close(exited)
	}()
	return previous, previousExited, nil
}

// admin is the operators' port of the present process: another one for each, since two serve side by side meanwhile.
func (n *clusterNode) adminPort() int { return firstAdminPort + n.startCount%100 }

// serves waits until the present process says that it serves.
func (n *clusterNode) waitReady() bool {
	for deadline := time.Now().Add(exitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		resp, err := http.Get(fmt.Sprintf("http://%s:%d/status", n.ip, n.adminPort()))
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
func (n *clusterNode) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// end ends the present process by a signal, and waits for it.
func (n *clusterNode) stop(sig syscall.Signal) {
	n.mu.Lock()
	cmd, exited := n.cmd, n.exited
	n.mu.Unlock()
	if cmd == nil {
		return
	}
	sentAt := time.Now()
	_ = cmd.Process.Signal(sig)
	select {
	case <-exited:
		n.cluster.recordExit(n, time.Since(sentAt))
	case <-time.After(exitTimeout):
		n.cluster.recordExit(n, time.Since(sentAt))
		_ = cmd.Process.Signal(syscall.SIGQUIT) // the log then says where it waits
		time.Sleep(stackDumpTime)
		_ = cmd.Process.Kill()
		<-exited
	}
}

const (
	exitTimeout   = 5 * time.Second
	stackDumpTime = 300 * time.Millisecond
	maxExitTime   = 2500 * time.Millisecond // what a node may take to end: its clients' longest limit, and a second and a half
)

// stand lets the process stand still for a while. A stop at a point is waited for, and doesn't come if nothing passes it.
func (n *clusterNode) pause(point string, duration time.Duration) (paused bool) {
	n.mu.Lock()
	pid := n.cmd.Process.Pid
	n.mu.Unlock()
	file := filepath.Join(n.pointsDir, point)
	if point == "" {
		startNs := bootTimeNs()
		n.signal(syscall.SIGSTOP)
		time.Sleep(duration)
		n.signal(syscall.SIGCONT)
		n.cluster.recordPause(pause{pid, startNs, bootTimeNs()})
		return true
	}
	if os.WriteFile(file, nil, 0o600) != nil {
		return false
	}
	startNs := bootTimeNs()
	for range int(pointTimeout / pointPollInterval) {
		time.Sleep(pointPollInterval)
		if _, err := os.Stat(file); err != nil {
			time.Sleep(duration)
			n.signal(syscall.SIGCONT)
			n.cluster.recordPause(pause{pid, startNs, bootTimeNs()})
			return true
		}
	}
	_ = os.Remove(file)
	n.signal(syscall.SIGCONT) // it may have come just now
	n.cluster.recordPause(pause{pid, startNs, bootTimeNs()})
	return false
}

const (
	pointPollInterval = time.Millisecond
	pointTimeout      = 1500 * time.Millisecond
)
