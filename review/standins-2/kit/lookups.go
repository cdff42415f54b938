package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	timeLimit = 750 * time.Millisecond // that each lookup's client waits, from when it has sent it
	// lostAfter is when a lookup without its final answer is lost: 50 ms later on sockets, half a second in which it only earns nothing, and 200 ms for a
	// machine that is busy.
	lostAfter = timeLimit + 50*time.Millisecond + 500*time.Millisecond + 200*time.Millisecond
	patience  = 10 * time.Second // of the client for the whole, so that the record tells when the answers came
)

// lookups sends lookups on one connection, all at once or each after the answer of the one before, and exits with 1 if one of them is lost. At the end it
// prints what was sent and answered.
func lookups(address, count, name string, together bool) {
	n, err := strconv.Atoi(count)
	if err != nil {
		fail(err.Error())
	}
	conn, err := net.Dial("tcp", address)
	if err != nil {
		fail(err.Error())
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(patience))
	answers := bufio.NewReader(conn)
	var heads []string
	for i := range n {
		heads = append(heads, fmt.Sprintf("GET /meter-lookup/%s-%d HTTP/1.1\r\nHost: service.internal\r\nX-Trace-Id: %s-%d\r\nX-Expires-In: %dm\r\n\r\n",
			name, i, name, i, timeLimit.Milliseconds()))
	}
	sentAt := time.Now()
	if together {
		send(conn, strings.Join(heads, ""))
	}
	lost, late, served := 0, 0, 0
	for i, head := range heads {
		if !together {
			sentAt = time.Now()
			send(conn, head)
		}
		status, err := readAnswer(answers)
		after := time.Since(sentAt)
		switch {
		case err != nil:
			fmt.Printf("%d %s-%d no answer: %v\n", time.Now().UnixNano(), name, i, err)
			lost += n - i
		default:
			fmt.Printf("%d %s-%d answered with %d %v after it was sent\n", time.Now().UnixNano(), name, i, status, after.Round(time.Millisecond))
		}
		if err != nil {
			break
		}
		if status == http.StatusOK {
			served++
		}
		if after > timeLimit {
			late++
		}
		if after > lostAfter {
			lost++
		}
	}
	fmt.Printf("%s: %d lookups, %d served, %d answered after their %v, %d of them or never answered lost (over %v)\n", name, n, served, late, timeLimit, lost, lostAfter)
	if lost > 0 {
		os.Exit(1)
	}
	if served == 0 {
		fail("no lookup was served")
	}
}

func send(conn net.Conn, text string) {
	if _, err := io.WriteString(conn, text); err != nil {
		fail(err.Error())
	}
}

// readAnswer reads one whole answer and returns its status.
func readAnswer(answers *bufio.Reader) (status int, err error) {
	resp, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// cacheServer answers each lookup after its work, as a cache server that has all keys, and prints what it has run.
func cacheServer(port string, work time.Duration) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Trace-Id")
		fmt.Printf("%d cache server at %s runs %s, told %s\n", time.Now().UnixNano(), port, id, r.Header.Get("X-Expires-In"))
		time.Sleep(work)
		fmt.Fprintf(w, "value for %s", id)
	})
	fail(http.ListenAndServe("127.0.0.1:"+port, handler).Error())
}
