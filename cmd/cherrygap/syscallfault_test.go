package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cherrygap/internal/lab/syscallfault"
	"cherrygap/internal/nettest"
	"cherrygap/internal/node"
	"cherrygap/internal/node/nodetest"
	"cherrygap/internal/protocol"
)

// faultyCalls are the system calls that the tests of this file can make fail.
var faultyCalls = []uint32{
	unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_OPENAT, unix.SYS_PPOLL, unix.SYS_SENDTO,
	unix.SYS_RECVFROM,
}

// execFaultyNode installs the system call filter on this process and executes this program again as a node.
func execFaultyNode() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.Unsetenv(envRunAsFaultyNode); err != nil {
		return err
	}
	return syscallfault.Exec(syscallfault.InheritedSocket, faultyCalls, program, os.Args, os.Environ())
}

// failingCall is a policy under which every call of one system call fails while the policy is active.
type failingCall struct {
	number   int // number of the system call
	active   atomic.Bool
	errno    atomic.Int32
	failures atomic.Int32 // number of calls that failed since the method start was last called
}

// decide implements syscallfault.Policy.
func (f *failingCall) decide(call syscallfault.Call) syscall.Errno {
	if call.Number != f.number || !f.active.Load() {
		return 0
	}
	f.failures.Add(1)
	return syscall.Errno(f.errno.Load())
}

// start makes the call fail with an error from now on.
func (f *failingCall) start(errno syscall.Errno) {
	f.errno.Store(int32(errno))
	f.failures.Store(0)
	f.active.Store(true)
}

// failFor makes the call fail with an error until at least the given number of calls have failed.
func (f *failingCall) failFor(t *testing.T, errno syscall.Errno, times int32) {
	t.Helper()
	f.start(errno)
	nodetest.Eventually(t, 10*time.Second, fmt.Sprint(times, " calls of system call ", f.number, " to fail with ", errno), func() bool { return f.failures.Load() >= times })
	f.active.Store(false)
}

// startFaultyNode starts a node as its own process, in which policy decides which faultyCalls fail. It returns the process and the
// path of the node's configuration.
func startFaultyNode(t *testing.T, policy syscallfault.Policy, discovery string, servers ...net.Listener) (p *nodeProcess, file string) {
	t.Helper()
	return startFaultyNodeWithConfig(t, policy, discovery, func(text string) string { return text }, servers...)
}

// startFaultyNodeWithConfig is like startFaultyNode, and passes the configuration's text through change.
func startFaultyNodeWithConfig(t *testing.T, policy syscallfault.Policy, discovery string, change func(string) string,
	servers ...net.Listener,
) (p *nodeProcess, file string) {
	t.Helper()
	p = &nodeProcess{address: nodetest.FreeAddress(t)}
	file = filepath.Join(t.TempDir(), "config.json")
	nodetest.WriteFile(t, file, change(nodeProcessConfig(p.address, discovery, 1024, servers)))
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), envRunAsNode+"=1", envRunAsFaultyNode+"=1", node.EnvConfig+"="+file)
	p.cmd.Stderr = &p.log
	injector, err := syscallfault.NewInjector(p.cmd, policy)
	if err != nil {
		t.Fatalf("create the injector of system call errors: %v", err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatalf("start the node's process: %v", err)
	}
	nodetest.KillAtEnd(t, p.cmd)
	ended := make(chan error, 1)
	go func() { ended <- injector.Run() }() // The goroutine ends with the process.
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if err := <-ended; err != nil {
			t.Errorf("the injector of system call errors ended with error %v, want none", err)
		}
	})
	return p, file
}

// okServer starts an app server that answers every request with status 200.
func okServer(t *testing.T) net.Listener {
	return nodetest.ServeHTTP(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
}

// requestTimeout is the timeout of the requests in the tests of this file.
const requestTimeout = 2 * time.Second

// lastRequestID is the number in the id of the last request that requestStatus sent.
var lastRequestID atomic.Int64

// requestStatus sends a request on a new connection and returns the response's status, or 0 if the connection ends without a
// response.
func requestStatus(t *testing.T, address string) int {
	t.Helper()
	conn := nodetest.SendRequest(t, address, fmt.Sprint("fault-", lastRequestID.Add(1)), requestTimeout)
	if err := conn.SetDeadline(time.Now().Add(requestTimeout + time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// An error of accept(2) must not stop the listener for good. After each error, the node must accept clients again.
func TestAcceptErrorsDoNotStopTheListener(t *testing.T) {
	t.Parallel()
	fault := &failingCall{number: unix.SYS_ACCEPT4}
	discovery := nettest.Listen(t)
	faultyNode, _ := startFaultyNode(t, fault.decide, discovery.Addr().String(), okServer(t))
	faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
	for _, errno := range []syscall.Errno{
		unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
	} {
		fault.start(errno)
		conn, err := net.Dial("tcp", faultyNode.address)
		if err != nil {
			t.Fatalf("connecting while accept fails with %v: error %v, want none", errno, err)
		}
		nodetest.CloseAtEnd(t, conn)
		fault.failFor(t, errno, 2)
		if status := requestStatus(t, faultyNode.address); status != http.StatusOK {
			t.Fatalf("status of a request after accept failed with %v = %d (0 for no response), want %d", errno, status, http.StatusOK)
		}
	}
}

// A node that counts a request's time only from accept(2) would give its attempts too long a timeout. Here a connection with
// pipelined requests waits for accept. No attempt's timeout may be longer than the time that its client still waits.
func TestTimeBeforeAcceptCountsAgainstTheDeadline(t *testing.T) {
	t.Parallel()
	const requests, acceptDelay, slack = 3, 400 * time.Millisecond, 150 * time.Millisecond
	var sentAt time.Time
	excess := make(chan time.Duration, requests)
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(protocol.HeaderTimeout))
		excess <- time.Duration(ms)*time.Millisecond - (requestTimeout - time.Since(sentAt))
		_, _ = w.Write([]byte("done"))
	})
	fault := &failingCall{number: unix.SYS_ACCEPT4}
	discovery := nettest.Listen(t)
	faultyNode, _ := startFaultyNode(t, fault.decide, discovery.Addr().String(), server)
	faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
	fault.start(unix.ENFILE)
	conn := nodetest.Dial(t, faultyNode.address)
	sentAt = time.Now()
	for i := range requests {
		if _, err := io.WriteString(conn, nodetest.RequestText(fmt.Sprint("waits-", i), requestTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(acceptDelay) // The test measures whether this time counts against the requests.
	fault.active.Store(false)
	reader := bufio.NewReader(conn)
	for i := range requests {
		if excessTime := <-excess; excessTime > slack {
			t.Errorf("request %d: the attempt's timeout exceeds the client's remaining time by %v, want at most %v", i, excessTime, slack)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("reading the response to request %d: error %v, want none", i, err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("response to request %d: status %d, read error %v, want status %d and no error", i, response.StatusCode, err, http.StatusOK)
		}
	}
}

// If the node's own machine can't open connections, the servers are not at fault, and the node must eject none of them. It must
// serve the requests of that time once connections can be opened again.
func TestResourceExhaustionEjectsNoServer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		number int
		errnos []syscall.Errno
	}{
		{"socket", unix.SYS_SOCKET, []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
		{"connect", unix.SYS_CONNECT, []syscall.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.ENETDOWN, unix.EAGAIN}},
	} {
		for _, errno := range c.errnos {
			t.Run(fmt.Sprint(c.name, " ", strings.ReplaceAll(errno.Error(), " ", "-")), func(t *testing.T) {
				t.Parallel()
				fault := &failingCall{number: c.number}
				discovery := nettest.Listen(t)
				faultyNode, _ := startFaultyNode(t, fault.decide, discovery.Addr().String(), okServer(t), okServer(t))
				faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
				fault.start(errno)
				statuses := make(chan int)
				const requests = 6
				for range requests {
					go func() { statuses <- requestStatus(t, faultyNode.address) }()
				}
				time.Sleep(150 * time.Millisecond) // The requests wait until the fault ends.
				fault.active.Store(false)
				for range requests {
					if status := <-statuses; status != http.StatusOK {
						t.Errorf("status of a request during the fault = %d (0 for no response), want %d", status, http.StatusOK)
					}
				}
				for range requests {
					if status := requestStatus(t, faultyNode.address); status != http.StatusOK {
						t.Errorf("status of a request after the fault = %d (0 for no response), want %d", status, http.StatusOK)
					}
				}
			})
		}
	}
}

// A node must not give up a response or attempt that the kernel has no memory for, but write it once there is memory. A liveness
// check that fails for the same reason must not delay a request.
func TestResponsesOutlastFullBuffers(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name   string
		number int
		errno  syscall.Errno
	}{
		{"send-ENOBUFS", unix.SYS_SENDTO, unix.ENOBUFS},
		{"send-ENOMEM", unix.SYS_SENDTO, unix.ENOMEM},
		{"send-EINTR", unix.SYS_SENDTO, unix.EINTR},
		{"liveness-check-ENOMEM", unix.SYS_RECVFROM, unix.ENOMEM},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fault := &failingCall{number: c.number}
			discovery := nettest.Listen(t)
			faultyNode, _ := startFaultyNode(t, fault.decide, discovery.Addr().String(), okServer(t))
			faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
			fault.start(c.errno)
			statuses := make(chan int)
			const requests = 4
			for range requests {
				go func() { statuses <- requestStatus(t, faultyNode.address) }()
			}
			fault.failFor(t, c.errno, 3*requests)
			for range requests {
				if status := <-statuses; status != http.StatusOK {
					t.Errorf("status of a request during the fault = %d (0 for no response), want %d", status, http.StatusOK)
				}
			}
		})
	}
}

// A node must not end if it can't open its own sockets at its start, but become ready once it can open them.
func TestStartOutlastsResourceExhaustion(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(strings.ReplaceAll(errno.Error(), " ", "-"), func(t *testing.T) {
			t.Parallel()
			fault := &failingCall{number: unix.SYS_SOCKET}
			fault.start(errno)
			discovery := nettest.Listen(t)
			faultyNode, _ := startFaultyNode(t, fault.decide, discovery.Addr().String(), okServer(t))
			fault.failFor(t, errno, 2)
			faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
			if status := requestStatus(t, faultyNode.address); status != http.StatusOK {
				t.Errorf("status of a request after a start with %v = %d (0 for no response), want %d", errno, status, http.StatusOK)
			}
		})
	}
}

// A node that gets SIGHUP while its configuration is being written must not keep the old discovery address. It must change to
// the new one once the file is complete, and log one line on the partial file.
func TestReloadOutlastsPartialFile(t *testing.T) {
	t.Parallel()
	oldDiscovery, newDiscovery := nettest.Listen(t), nettest.Listen(t)
	called := make(chan struct{})
	go func() {
		if conn, err := newDiscovery.Accept(); err == nil {
			_ = conn.Close()
			close(called)
		}
	}()
	server := okServer(t)
	faultyNode, file := startFaultyNode(t, (&failingCall{}).decide, oldDiscovery.Addr().String(), server)
	faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
	text := nodeProcessConfig(faultyNode.address, newDiscovery.Addr().String(), 1024, []net.Listener{server})
	nodetest.WriteFile(t, file, text[:len(text)/2])
	nodetest.Signal(t, faultyNode.cmd.Process, syscall.SIGHUP)
	time.Sleep(3 * node.ReloadRetryInterval) // Some tries read the partial file.
	nodetest.WriteFile(t, file, text)
	select {
	case <-called:
	case <-time.After(5 * time.Second):
		t.Error("the node has not called the new discovery address within 5 s after the test wrote the complete configuration, want a call")
	}
	faultyNode.kill(t)
	if lines := strings.Count(faultyNode.log.String(), "configuration reload failed"); lines != 1 {
		t.Errorf("the node's log has %d lines \"configuration reload failed\", want 1; log: %s", lines, faultyNode.log.String())
	}
}

// A node that can't open its configuration for a moment after SIGHUP must not keep the old discovery address.
func TestReloadOutlastsResourceExhaustion(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOMEM, unix.EIO} {
		t.Run(strings.ReplaceAll(errno.Error(), " ", "-"), func(t *testing.T) {
			t.Parallel()
			fault := &failingCall{number: unix.SYS_OPENAT}
			oldDiscovery, newDiscovery := nettest.Listen(t), nettest.Listen(t)
			called := make(chan struct{})
			go func() {
				if conn, err := newDiscovery.Accept(); err == nil {
					_ = conn.Close()
					close(called)
				}
			}()
			server := okServer(t)
			faultyNode, file := startFaultyNode(t, fault.decide, oldDiscovery.Addr().String(), server)
			faultyNode.eventually(t, "the node to listen at "+faultyNode.address, func() bool { return nodetest.Accepts(faultyNode.address) })
			nodetest.WriteFile(t, file, nodeProcessConfig(faultyNode.address, newDiscovery.Addr().String(), 1024, []net.Listener{server}))
			fault.start(errno)
			nodetest.Signal(t, faultyNode.cmd.Process, syscall.SIGHUP)
			fault.failFor(t, errno, 1)
			select {
			case <-called:
			case <-time.After(5 * time.Second):
				t.Error("the node has not called the new discovery address within 5 s of the fault's end, want a call")
			}
		})
	}
}

// A node that polls discovery must not wait for the next poll, seconds later, if it can't open the connection of a call. It must
// make the call as soon as it can open the connection.
func TestPollOutlastsResourceExhaustion(t *testing.T) {
	t.Parallel()
	const faultTime, maxDelay = 100 * time.Millisecond, 300 * time.Millisecond
	fault := &failingCall{number: unix.SYS_CONNECT}
	discovery := nettest.Listen(t)
	called := make(chan time.Time, 1)
	go func() {
		if conn, err := discovery.Accept(); err == nil {
			called <- time.Now()
			_ = conn.Close()
		}
	}()
	pollingNode := startPollingNode(t, fault, discovery.Addr().String())
	pollingNode.eventually(t, "a connect of the node to fail", func() bool { return fault.failures.Load() > 0 })
	time.Sleep(faultTime)
	fault.active.Store(false)
	faultEnd := time.Now()
	select {
	case calledAt := <-called:
		if delay := calledAt.Sub(faultEnd); delay > maxDelay {
			t.Errorf("the node called discovery %v after the fault's end, want at most %v", delay, maxDelay)
		}
	case <-time.After(10 * time.Second):
		t.Error("the node has not called discovery within 10 s of the fault's end, want a call")
	}
}

// startPollingNode starts a node that polls discovery for lists. The system call of fault fails until the test clears
// fault.active.
func startPollingNode(t *testing.T, fault *failingCall, discovery string) *nodeProcess {
	t.Helper()
	fault.start(unix.ENETUNREACH)
	pollConfig := func(text string) string {
		return strings.Replace(text, `"settings":{`, `"settings":{"registry_mode":"subscribe","safety":{"ask_within":2000000},`, 1)
	}
	p, _ := startFaultyNodeWithConfig(t, fault.decide, discovery, pollConfig)
	return p
}
