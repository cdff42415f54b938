package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"
)

const (
	timeLimit = 800 * time.Millisecond // of reading-submit

	// finalSlack is what the pages add to a request's time before it counts as lost: 50 ms on sockets and half a second. The rest is for this machine.
	finalSlack = 50*time.Millisecond + 500*time.Millisecond + 200*time.Millisecond

	submitInterval = 400 * time.Millisecond
	timedFromFirst = 64 << 10 // over so many bytes the first ones are timed
)

// submitAll sends writes, one every submitInterval, each from a client of its own, and returns statusBroken if one had no final answer when it counts as lost.
func submitAll(node string, count int, rec *recorder) (status int) {
	results := make(chan bool, count)
	for i := range count {
		go func() { results <- submit(node, fmt.Sprintf("w%d", i), rec) }()
		time.Sleep(submitInterval)
	}
	lost := 0
	for range count {
		if !<-results {
			lost++
		}
	}
	verdict := fmt.Sprintf("held: each of %d writes got its final answer, or an end that its client can tell, in time", count)
	if lost > 0 {
		status = statusBroken
		verdict = fmt.Sprintf("BROKEN: %d of %d writes had no final answer %v after they were sent, of which %v were their time", lost, count,
			timeLimit+finalSlack, timeLimit)
	}
	rec.note("%s", verdict)
	fmt.Println(verdict)
	return status
}

// submit sends one write, and reports whether its client had a final answer, or saw an end, before the write counts as lost. Then the client closes its
// connection.
func submit(node, id string, rec *recorder) (answered bool) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var lost atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(httptrace.WroteRequestInfo) {
		time.AfterFunc(timeLimit+finalSlack, func() { lost.Store(true); cancel() })
	}})
	body := bytes.Repeat([]byte("r"), 200)
	request, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+node+"/reading-submit/meter-"+id, bytes.NewReader(body))
	if err != nil {
		return true
	}
	request.Header.Set("X-Trace-Id", "trace-"+id)
	request.Header.Set("Idempotency-Key", "key-"+id)
	request.Header.Set("X-Expires-In", fmt.Sprintf("%dm", timeLimit.Milliseconds()))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	start := time.Now()
	rec.note("client sends id=trace-%s", id)
	resp, err := transport.RoundTrip(request)
	if err != nil {
		rec.note("client of id=trace-%s: no answer after %v: %v", id, time.Since(start).Round(time.Millisecond), err)
		return !lost.Load()
	}
	defer resp.Body.Close()
	headAfter := time.Since(start).Round(time.Millisecond)
	n, err := io.Copy(io.Discard, resp.Body)
	rec.note("client of id=trace-%s: status %d after %v, %d bytes and the end (%v) after %v", id, resp.StatusCode, headAfter, n, err,
		time.Since(start).Round(time.Millisecond))
	return !errors.Is(err, context.Canceled) || !lost.Load() || n > timedFromFirst
}
