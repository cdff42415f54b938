// Command kit has the small stand-ins of the second review's cases: a job that leaves a trace of each of its acts, the judge of such traces, a
// platform of cache servers with a discovery service, a proxy that can be cut, and a search for free loopback ports.
package main

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

func main() {
	usage := "usage: kit ports N | kit work FILE NAME DURATION | kit judge FILE SLACK | kit platform DISCOVERY WORK CACHE... | kit lookups ADDRESS N NAME together|singly | kit proxy FROM TO [FROM TO...]"
	if len(os.Args) < 2 {
		fail(usage)
	}
	args := os.Args[2:]
	switch {
	case os.Args[1] == "ports" && len(args) == 1:
		ports(args[0])
	case os.Args[1] == "work" && len(args) == 3:
		work(args[0], args[1], parseDuration(args[2]))
	case os.Args[1] == "platform" && len(args) >= 3:
		platform(args[0], parseDuration(args[1]), args[2:])
	case os.Args[1] == "lookups" && len(args) == 4:
		lookups(args[0], args[1], args[2], args[3] == "together")
	case os.Args[1] == "judge" && len(args) == 2:
		judge(args[0], parseDuration(args[1]))
	case os.Args[1] == "proxy" && len(args) >= 2:
		proxy(args)
	default:
		fail(usage)
	}
}

// fail ends the program with the status that means that the case could not run.
func fail(text string) {
	fmt.Fprintln(os.Stderr, text)
	os.Exit(2)
}

func parseDuration(text string) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		fail(err.Error())
	}
	return d
}

// ports prints n loopback ports that nothing listens on.
func ports(count string) {
	n, err := strconv.Atoi(count)
	if err != nil {
		fail(err.Error())
	}
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			fail(err.Error())
		}
		defer l.Close()
		fmt.Println(l.Addr().(*net.TCPAddr).Port)
	}
}

const actInterval = 100 * time.Millisecond

// work appends one line for each of its acts to a file, ten a second, and a last one when all of them are done. A line has the time in nanoseconds, the
// job's name, its fencing token, its process id and what it did.
func work(file, name string, duration time.Duration) {
	f, err := os.OpenFile(file, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail(err.Error())
	}
	act := func(what string) {
		line := fmt.Sprintf("%d %s %s %d %s\n", time.Now().UnixNano(), name, os.Getenv("THISTLERUDDER_TOKEN"), os.Getpid(), what)
		if _, err := f.WriteString(line); err != nil {
			fail(err.Error())
		}
	}
	for end := time.Now().Add(duration); time.Now().Before(end); time.Sleep(actInterval) {
		act("act")
	}
	act("done")
}

// judge exits with 1 if an act under a lower token follows the first act under a higher one by more than slack: then two jobs acted as the one holder. With
// acts under fewer than two tokens there is nothing to judge, which is status 2.
func judge(file string, slack time.Duration) {
	f, err := os.Open(file)
	if err != nil {
		fail(err.Error())
	}
	defer f.Close()
	first := map[int]int64{} // time of the first act, by token
	last := map[int]int64{}
	for scanner := bufio.NewScanner(f); scanner.Scan(); {
		fields := strings.Fields(scanner.Text())
		if len(fields) != 5 {
			fail("not the line of an act: " + scanner.Text())
		}
		at, err1 := strconv.ParseInt(fields[0], 10, 64)
		token, err2 := strconv.Atoi(fields[2])
		if err1 != nil || err2 != nil {
			fail("not the line of an act: " + scanner.Text())
		}
		if _, known := first[token]; !known {
			first[token] = at
		}
		last[token] = at
	}
	if len(first) < 2 {
		fail("acts under fewer than two tokens")
	}
	overlap := time.Duration(0)
	for token, end := range last {
		for later, start := range first {
			if later > token {
				overlap = max(overlap, time.Duration(end-start))
			}
		}
	}
	fmt.Printf("two holders acted at once for %v\n", overlap.Round(time.Millisecond))
	if overlap > slack {
		os.Exit(1)
	}
}

// platform serves a discovery service at one loopback port, whose list never changes, and its cache servers at others.
func platform(discoveryPort string, work time.Duration, cachePorts []string) {
	var entries []string
	for i, port := range cachePorts {
		entries = append(entries, fmt.Sprintf(
			`{"id":"s-%d","addr":"127.0.0.1:%s","zone":"a","kind":"box","cell":0,"state":"Ready","weight":1.0,"started_ms":0}`, i+1, port))
		go cacheServer(port, work)
	}
	list := `{"version":1,"full":%v,"servers":[%s]}`
	discovery := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hold, err := strconv.Atoi(r.URL.Query().Get("hold_ms"))
		if err != nil || r.URL.Query().Get("from") != "1" {
			fmt.Fprintf(w, list, true, strings.Join(entries, ","))
			return
		}
		select {
		case <-r.Context().Done():
		case <-time.After(time.Duration(hold) * time.Millisecond):
			fmt.Fprintf(w, list, false, "")
		}
	})
	fail(http.ListenAndServe("127.0.0.1:"+discoveryPort, discovery).Error())
}

// proxy forwards connections from each FROM port to the TO port behind it, until SIGUSR1: from then on it passes nothing on, in either direction, and takes
// new connections without a word, as a network does that is cut.
func proxy(ports []string) {
	var cut atomic.Bool
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGUSR1)
	go func() {
		<-signals
		cut.Store(true)
	}()
	for i := 0; i+1 < len(ports); i += 2 {
		l, err := net.Listen("tcp", "127.0.0.1:"+ports[i])
		if err != nil {
			fail(err.Error())
		}
		go forwardAll(l, "127.0.0.1:"+ports[i+1], &cut)
	}
	select {}
}

func forwardAll(l net.Listener, to string, cut *atomic.Bool) {
	for {
		from, err := l.Accept()
		if err != nil {
			fail(err.Error())
		}
		if cut.Load() {
			continue // left open and silent
		}
		server, err := net.Dial("tcp", to)
		if err != nil {
			_ = from.Close()
			continue
		}
		go forward(from, server, cut)
		go forward(server, from, cut)
	}
}

// forward passes bytes on until one side ends. Once the network is cut it passes on neither bytes nor ends.
func forward(from, to net.Conn, cut *atomic.Bool) {
	buffer := make([]byte, 4<<10)
	for {
		n, err := from.Read(buffer)
		switch {
		case cut.Load():
			return
		case err != nil:
			_ = to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			_ = from.Close()
			return
		}
	}
}
