package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"cherrygap/internal/node/nodetest"
)

const (
	drainStop           = 1100 * time.Millisecond // time for which the process stands still until clients send
	sendBeforeResume    = 100 * time.Millisecond  // time between that and the end of the stop
	betweenStops        = 30 * time.Millisecond   // time for which the process runs between two stops
	drainRequestTimeout = 3 * time.Second
	// earliestKill is the earliest SIGKILL after SIGTERM: the longest deadline of the settings, 3 s, and 0.7 s.
	earliestKill = 3700 * time.Millisecond
)

// Protects against requests without an answer at SIGKILL, where the process stood still as SIGTERM came and app servers hang: the drain
// counted from the moment at which the signal was handled (review/8).
func TestDrainCountsFromTheSignalOverAPause(t *testing.T) {
	for _, c := range []struct {
		name string
		play func(t *testing.T, p *nodeProcess, signal func(), send func())
	}{
		{"stopped before the signal", func(t *testing.T, p *nodeProcess, signal, send func()) {
			p.pause(t)
			signal()
			time.Sleep(drainStop)
			send()
			time.Sleep(sendBeforeResume)
			p.resume(t)
		}},
		{"stopped after the signal", func(t *testing.T, p *nodeProcess, signal, send func()) {
			signal()
			time.Sleep(betweenStops)
			p.pause(t)
			time.Sleep(drainStop)
			send()
			time.Sleep(sendBeforeResume)
			p.resume(t)
		}},
		{"two stops", func(t *testing.T, p *nodeProcess, signal, send func()) {
			p.pause(t)
			signal()
			time.Sleep(drainStop / 2)
			p.resume(t)
			time.Sleep(betweenStops)
			p.pause(t)
			time.Sleep(drainStop)
			send()
			time.Sleep(sendBeforeResume)
			p.resume(t)
		}},
		{"the signal twice", func(t *testing.T, p *nodeProcess, signal, send func()) {
			p.pause(t)
			signal()
			time.Sleep(drainStop)
			send()
			time.Sleep(sendBeforeResume)
			p.resume(t)
			time.Sleep(betweenStops)
			_ = p.cmd.Process.Signal(syscall.SIGTERM) // fails if the process has ended
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			playDrainOverPause(t, c.play)
		})
	}
}

// playDrainOverPause starts a node with app servers that hang from a moment on, lets play stop it around SIGTERM while clients send
// requests over open connections, and checks that each request has its answer by the earliest SIGKILL.
func playDrainOverPause(t *testing.T, play func(t *testing.T, p *nodeProcess, signal func(), send func())) {
	const clients = 10
	var hangs atomic.Bool
	var forwarded atomic.Int64
	end := make(chan struct{})
	t.Cleanup(func() { close(end) })
	server := nodetest.ServeHTTP(t, func(_ http.ResponseWriter, q *http.Request) {
		_, _ = io.Copy(io.Discard, q.Body) // fails if the node has closed the connection
		if hangs.Load() {
			forwarded.Add(1)
			<-end
		}
	})
	p := startNodeProcess(t, nodetest.FreeAddress(t), 1024, server)
	conns := openClients(t, p.address, clients)
	for k, conn := range conns {
		if status := exchangeRequest(conn, fmt.Sprint("before-", k), time.Now().Add(drainRequestTimeout)); status != http.StatusOK {
			t.Fatalf("request %d before the signal: status %d, want %d", k, status, http.StatusOK)
		}
	}
	hangs.Store(true)
	var signalAt time.Time
	statuses := make(chan int, clients)
	play(t, p, func() {
		signalAt = time.Now()
		if err := p.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			t.Fatal(err)
		}
	}, func() {
		for k, conn := range conns {
			go func() { statuses <- exchangeRequest(conn, fmt.Sprint("after-", k), signalAt.Add(earliestKill)) }()
		}
	})
	unanswered := 0
	for range clients {
		if <-statuses == 0 {
			unanswered++
		}
	}
	if unanswered > 0 || forwarded.Load() == 0 {
		t.Errorf("%d of %d requests have no answer %v after SIGTERM, %d were forwarded; want 0, and at least 1 forwarded", unanswered, clients,
			earliestKill, forwarded.Load())
	}
}

// exchangeRequest sends a request and waits for its response until a given time. It returns the status, or 0 without a response.
func exchangeRequest(conn net.Conn, id string, until time.Time) int {
	_ = conn.SetDeadline(until) // fails only for a closed connection
	if _, err := io.WriteString(conn, nodetest.RequestText(id, drainRequestTimeout)); err != nil {
		return 0
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}
