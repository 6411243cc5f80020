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

// faultyCalls are the system calls that the tests of this file make fail.
var faultyCalls = []uint32{
	unix.SYS_ACCEPT4, unix.SYS_SOCKET, unix.SYS_CONNECT, unix.SYS_OPENAT, unix.SYS_PPOLL, unix.SYS_SENDTO,
	unix.SYS_RECVFROM,
}

// execFaultyNode puts the filter on this process and starts this program anew as a node.
func execFaultyNode() error {
	program, err := os.Executable()
	if err != nil {
		return err
	}
	if err := os.Unsetenv(asFaultyNode); err != nil {
		return err
	}
	return syscallfault.Exec(syscallfault.InheritedSocket, faultyCalls, program, os.Args, os.Environ())
}

// failingCall is a policy that fails one system call as long as it is on.
type failingCall struct {
	number int
	on     atomic.Bool
	errno  atomic.Int32
	failed atomic.Int32
}

func (f *failingCall) decide(call syscallfault.Call) syscall.Errno {
	if call.Number != f.number || !f.on.Load() {
		return 0
	}
	f.failed.Add(1)
	return syscall.Errno(f.errno.Load())
}

func (f *failingCall) begin(errno syscall.Errno) {
	f.errno.Store(int32(errno))
	f.failed.Store(0)
	f.on.Store(true)
}

// failFor fails the call until it has failed so often.
func (f *failingCall) failFor(t *testing.T, errno syscall.Errno, times int32) {
	t.Helper()
	f.begin(errno)
	nodetest.Eventually(t, 10*time.Second, fmt.Sprint(times, " failures by ", errno), func() bool { return f.failed.Load() >= times })
	f.on.Store(false)
}

// faultyProcess readies a node in a process of its own whose system calls a policy decides on; start starts it.
func faultyProcess(t *testing.T, policy syscallfault.Policy, discovery string, servers ...net.Listener) (p *process, file string) {
	t.Helper()
	return faultyProcessWith(t, policy, discovery, func(text string) string { return text }, servers...)
}

// faultyProcessWith is faultyProcess with a change of the configuration's text.
func faultyProcessWith(t *testing.T, policy syscallfault.Policy, discovery string, change func(string) string,
	servers ...net.Listener,
) (p *process, file string) {
	t.Helper()
	p = &process{addr: nodetest.FreeAddress(t)}
	file = filepath.Join(t.TempDir(), "config.json")
	nodetest.WriteFile(t, file, change(processConfig(p.addr, discovery, 1024, servers)))
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(os.Environ(), asNode+"=1", asFaultyNode+"=1", node.EnvConfig+"="+file)
	p.cmd.Stderr = &p.log
	injector, err := syscallfault.NewInjector(p.cmd, policy)
	if err != nil {
		t.Fatal(err)
	}
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	nodetest.KillAtEnd(t, p.cmd)
	ended := make(chan error, 1)
	go func() { ended <- injector.Run() }() // ends with the process
	t.Cleanup(func() {
		_ = p.cmd.Process.Kill()
		if err := <-ended; err != nil {
			t.Error(err)
		}
	})
	return p, file
}

// echoServer is an app server that answers every request.
func echoServer(t *testing.T) net.Listener {
	return nodetest.ServeHTTP(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("done")) })
}

const faultTimeout = 2 * time.Second // of the requests of these tests

var lastFaultID atomic.Int64

// requestStatus sends a request on a connection of its own and returns its status, or 0 where the connection ends without one.
func requestStatus(t *testing.T, address string) int {
	t.Helper()
	conn := nodetest.SendRequest(t, address, fmt.Sprint("fault-", lastFaultID.Add(1)), faultTimeout)
	if err := conn.SetDeadline(time.Now().Add(faultTimeout + time.Second)); err != nil {
		t.Fatal(err)
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0
	}
	return response.StatusCode
}

// After a moment of any error of accept(2) clients are accepted again.
func TestAcceptErrorsDoNotStopTheListener(t *testing.T) {
	t.Parallel()
	fault := &failingCall{number: unix.SYS_ACCEPT4}
	discovery := nettest.Listen(t)
	p, _ := faultyProcess(t, fault.decide, discovery.Addr().String(), echoServer(t))
	p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
	for _, errno := range []syscall.Errno{
		unix.ECONNABORTED, unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM, unix.EPROTO, unix.EPERM, unix.EINTR,
		unix.ENETDOWN, unix.ENETUNREACH, unix.EHOSTUNREACH, unix.ETIMEDOUT,
	} {
		fault.begin(errno)
		conn, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatalf("before %v: %v", errno, err)
		}
		nodetest.CloseAtEnd(t, conn)
		fault.failFor(t, errno, 2)
		if status := requestStatus(t, p.addr); status != http.StatusOK {
			t.Fatalf("after %v of accept a request ended with status %d", errno, status)
		}
	}
}

// The time that a connection waits for accept(2) counts against the deadlines of its requests. No attempt's timeout is longer
// than the time left, for pipelined requests too.
func TestTimeBeforeAcceptCountsAgainstTheDeadline(t *testing.T) {
	t.Parallel()
	const requests, waits, slack = 3, 400 * time.Millisecond, 150 * time.Millisecond
	var sentAt time.Time
	overstated := make(chan time.Duration, requests)
	server := nodetest.ServeHTTP(t, func(w http.ResponseWriter, r *http.Request) {
		ms, _ := strconv.Atoi(r.Header.Get(protocol.HeaderTimeout))
		overstated <- time.Duration(ms)*time.Millisecond - (faultTimeout - time.Since(sentAt))
		_, _ = w.Write([]byte("done"))
	})
	fault := &failingCall{number: unix.SYS_ACCEPT4}
	discovery := nettest.Listen(t)
	p, _ := faultyProcess(t, fault.decide, discovery.Addr().String(), server)
	p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
	fault.begin(unix.ENFILE)
	conn := nodetest.Dial(t, p.addr)
	sentAt = time.Now()
	for i := range requests {
		if _, err := io.WriteString(conn, nodetest.RequestText(fmt.Sprint("waits-", i), faultTimeout)); err != nil {
			t.Fatal(err)
		}
	}
	time.Sleep(waits) // the fault's length: what it takes of the requests' time is measured
	fault.on.Store(false)
	reader := bufio.NewReader(conn)
	for i := range requests {
		if more := <-overstated; more > slack {
			t.Errorf("request %d: the server was told %v more than was left", i, more)
		}
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, response.Body); err != nil || response.StatusCode != http.StatusOK {
			t.Errorf("request %d: status %d, %v", i, response.StatusCode, err)
		}
	}
}

// While the node's own machine can't open connections, no server is ejected. A request of that time is served once they can
// be opened again.
func TestResourceExhaustionEjectsNoServer(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		number int
		errnos []syscall.Errno
	}{
		{unix.SYS_SOCKET, []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM}},
		{unix.SYS_CONNECT, []syscall.Errno{unix.EADDRNOTAVAIL, unix.ENETUNREACH, unix.ENOBUFS, unix.ENETDOWN, unix.EAGAIN}},
	} {
		for _, errno := range c.errnos {
			t.Run(fmt.Sprint(c.number, " ", strings.ReplaceAll(errno.Error(), " ", "-")), func(t *testing.T) {
				t.Parallel()
				fault := &failingCall{number: c.number}
				discovery := nettest.Listen(t)
				p, _ := faultyProcess(t, fault.decide, discovery.Addr().String(), echoServer(t), echoServer(t))
				p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
				fault.begin(errno)
				statuses := make(chan int)
				const requests = 6
				for range requests {
					go func() { statuses <- requestStatus(t, p.addr) }()
				}
				time.Sleep(150 * time.Millisecond) // the fault's length: what it does to the requests that wait is measured
				fault.on.Store(false)
				for range requests {
					if status := <-statuses; status != http.StatusOK {
						t.Errorf("a request that met the fault ended with status %d", status)
					}
				}
				for range requests {
					if status := requestStatus(t, p.addr); status != http.StatusOK {
						t.Errorf("a request after the fault ended with status %d", status)
					}
				}
			})
		}
	}
}

// A response or attempt that the kernel has no memory for is written once there is memory. A liveness check that fails so
// delays no request.
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
		{"look-ENOMEM", unix.SYS_RECVFROM, unix.ENOMEM},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fault := &failingCall{number: c.number}
			discovery := nettest.Listen(t)
			p, _ := faultyProcess(t, fault.decide, discovery.Addr().String(), echoServer(t))
			p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
			fault.begin(c.errno)
			statuses := make(chan int)
			const requests = 4
			for range requests {
				go func() { statuses <- requestStatus(t, p.addr) }()
			}
			fault.failFor(t, c.errno, 3*requests)
			for range requests {
				if status := <-statuses; status != http.StatusOK {
					t.Errorf("a request that met the fault ended with status %d", status)
				}
			}
		})
	}
}

// A node whose own sockets can't be opened at its start is ready once they can be opened.
func TestStartOutlastsResourceExhaustion(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOBUFS, unix.ENOMEM} {
		t.Run(strings.ReplaceAll(errno.Error(), " ", "-"), func(t *testing.T) {
			t.Parallel()
			fault := &failingCall{number: unix.SYS_SOCKET}
			fault.begin(errno)
			discovery := nettest.Listen(t)
			p, _ := faultyProcess(t, fault.decide, discovery.Addr().String(), echoServer(t))
			fault.failFor(t, errno, 2)
			p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
			if status := requestStatus(t, p.addr); status != http.StatusOK {
				t.Errorf("a request ended with status %d", status)
			}
		})
	}
}

// A SIGHUP while the configuration is being written moves discovery once the file is complete. The log has one line on the
// partial file.
func TestReloadOutlastsPartialFile(t *testing.T) {
	t.Parallel()
	before, after := nettest.Listen(t), nettest.Listen(t)
	called := make(chan struct{})
	go func() {
		if conn, err := after.Accept(); err == nil {
			_ = conn.Close()
			close(called)
		}
	}()
	server := echoServer(t)
	p, file := faultyProcess(t, (&failingCall{}).decide, before.Addr().String(), server)
	p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
	text := processConfig(p.addr, after.Addr().String(), 1024, []net.Listener{server})
	nodetest.WriteFile(t, file, text[:len(text)/2])
	nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
	time.Sleep(3 * node.ReloadRetryInterval) // some tries find the half
	nodetest.WriteFile(t, file, text)
	select {
	case <-called:
	case <-time.After(5 * time.Second):
		t.Error("discovery was not moved")
	}
	p.kill(t)
	if lines := strings.Count(p.log.String(), "configuration reload failed"); lines != 1 {
		t.Errorf("%d lines in the log of a reload that failed", lines)
	}
}

// A SIGHUP whose configuration can't be opened for a moment still moves discovery.
func TestReloadOutlastsResourceExhaustion(t *testing.T) {
	t.Parallel()
	for _, errno := range []syscall.Errno{unix.ENFILE, unix.EMFILE, unix.ENOMEM, unix.EIO} {
		t.Run(strings.ReplaceAll(errno.Error(), " ", "-"), func(t *testing.T) {
			t.Parallel()
			fault := &failingCall{number: unix.SYS_OPENAT}
			before, after := nettest.Listen(t), nettest.Listen(t)
			called := make(chan struct{})
			go func() {
				if conn, err := after.Accept(); err == nil {
					_ = conn.Close()
					close(called)
				}
			}()
			server := echoServer(t)
			p, file := faultyProcess(t, fault.decide, before.Addr().String(), server)
			p.eventually(t, "a listener", func() bool { return nodetest.Accepts(p.addr) })
			nodetest.WriteFile(t, file, processConfig(p.addr, after.Addr().String(), 1024, []net.Listener{server}))
			fault.begin(errno)
			nodetest.Signal(t, p.cmd.Process, syscall.SIGHUP)
			fault.failFor(t, errno, 1)
			select {
			case <-called:
			case <-time.After(5 * time.Second):
				t.Error("discovery was not moved")
			}
		})
	}
}

// Where lists are polled, a call whose connection can't be opened is made once it can. The next poll would be due seconds
// later.
func TestPollOutlastsResourceExhaustion(t *testing.T) {
	t.Parallel()
	const outage, atOnce = 100 * time.Millisecond, 300 * time.Millisecond
	fault := &failingCall{number: unix.SYS_CONNECT}
	discovery := nettest.Listen(t)
	called := make(chan time.Time, 1)
	go func() {
		if conn, err := discovery.Accept(); err == nil {
			called <- time.Now()
			_ = conn.Close()
		}
	}()
	p := startFaultyProcess(t, fault, discovery.Addr().String())
	p.eventually(t, "a call that can't be made", func() bool { return fault.failed.Load() > 0 })
	time.Sleep(outage) // the fault's length
	fault.on.Store(false)
	over := time.Now()
	select {
	case at := <-called:
		if late := at.Sub(over); late > atOnce {
			t.Errorf("called %v after it could be", late)
		}
	case <-time.After(10 * time.Second):
		t.Error("never called")
	}
}

// startFaultyProcess starts a node that asks for lists, all of whose connections fail from its start on.
func startFaultyProcess(t *testing.T, fault *failingCall, discovery string) *process {
	t.Helper()
	fault.begin(unix.ENETUNREACH)
	pollConfig := func(text string) string {
		return strings.Replace(text, `"settings":{`, `"settings":{"registry_mode":"subscribe","safety":{"ask_within":2000000},`, 1)
	}
	p, _ := faultyProcessWith(t, fault.decide, discovery, pollConfig)
	return p
}
