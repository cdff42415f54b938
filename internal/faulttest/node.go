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

// clusterNode is a node of the test cluster. Each restart gives it a new process. During an upgrade it has two processes.
type clusterNode struct {
	cluster      *testCluster
	index        int
	name         string
	ip           string
	configPath   string
	folder       string // fleet.folder of a voter; empty: the node is not a voter
	pointsDir    string // a file in it, named after a point of package faults, stops the process there
	clockRate    float64
	clientSocket *os.File // listens for clients; each process inherits it
	mu           sync.Mutex
	cmd          *exec.Cmd
	exited       chan struct{}
	startedNs    int64 // start time of the current process
	stoppedNs    int64 // 0: the process is not stopped
	startCount   int   // processes started so far
}

// bootTimeNs returns the time of the machine's boot clock, which also advances during suspend. All recorded times use it.
func bootTimeNs() int64 {
	var t unix.Timespec
	_ = unix.ClockGettime(unix.CLOCK_BOOTTIME, &t)
	return t.Nano()
}

// start starts a new process of the node. It returns the previous one, and a channel that is closed when that one exits.
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
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL} // no node outlives the rig, even if the rig is killed
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

// adminPort returns the admin port of the current process. Each process has its own, since two of them run during an upgrade.
func (n *clusterNode) adminPort() int { return firstAdminPort + n.startCount%100 }

// waitReady waits until the current process reports that it is ready.
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

// signal sends a signal to the current process.
func (n *clusterNode) signal(sig syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.cmd != nil {
		_ = n.cmd.Process.Signal(sig)
	}
}

// stop sends a signal to the current process and waits until it exits. A process that hangs is killed.
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
		_ = cmd.Process.Signal(syscall.SIGQUIT) // writes the stacks of its goroutines to the log
		time.Sleep(stackDumpTime)
		_ = cmd.Process.Kill()
		<-exited
	}
}

const (
	exitTimeout   = 5 * time.Second
	stackDumpTime = 300 * time.Millisecond
	maxExitTime   = 2500 * time.Millisecond // for a shutdown: the longest time limit of a client, plus 1.5 s
)

// pause stops the process for the duration: at once if point is empty, and else when it reaches that point of package faults.
// It reports whether the process was stopped, which doesn't happen if the process doesn't reach the point within pointTimeout.
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
	n.signal(syscall.SIGCONT) // the process may have reached the point just before the file was removed
	n.cluster.recordPause(pause{pid, startNs, bootTimeNs()})
	return false
}

const (
	pointPollInterval = time.Millisecond
	pointTimeout      = 1500 * time.Millisecond
)
