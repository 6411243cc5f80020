package scale

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	endsWithin = 4 * time.Second // of SIGTERM, before SIGKILL
	upWithin   = 20 * time.Second
	clockTick  = 100 // of /proc's CPU times, a second: the same on all of Linux
)

// process is one child, started and ended by this program alone.
type process struct {
	name  string
	cmd   *exec.Cmd
	ended chan struct{}
}

// start starts this program with arguments, in a group of its own so that an interrupt of the terminal reaches only the
// lab, which ends its children in order. Should the lab itself be killed, the kernel ends them.
func start(c *Config, name string, env []string, pipes func(*exec.Cmd) error, args ...string) (*process, error) {
	log, err := os.OpenFile(filepath.Join(c.Dir, name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(c.Program, args...)
	cmd.Env = append(os.Environ(), env...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if pipes != nil {
		err = pipes(cmd)
	}
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		log.Close()
		return nil, err
	}
	p := &process{name: name, cmd: cmd, ended: make(chan struct{})}
	go func() { cmd.Wait(); log.Close(); close(p.ended) }()
	return p, nil
}

// stop ends the process and tells whether it went of its own accord.
func (p *process) stop(sig syscall.Signal) bool {
	select {
	case <-p.ended:
		return true
	default:
	}
	p.cmd.Process.Signal(sig)
	select {
	case <-p.ended:
		return true
	case <-time.After(endsWithin):
	}
	p.cmd.Process.Kill()
	<-p.ended
	return false
}

// lastLine is the end of its log, for an error.
func (p *process) lastLine(c *Config) string {
	raw, _ := os.ReadFile(filepath.Join(c.Dir, p.name+".log"))
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}

// worker is a child that takes orders, a JSON line each, and answers each with one.
type worker struct {
	*process
	mu  sync.Mutex
	in  io.WriteCloser
	enc *json.Encoder
	dec *json.Decoder
	c   *Config
}

// startWorker starts one. It ends with ctx, so that no order waits for its word any more.
func startWorker(ctx context.Context, c *Config, name string, args ...string) (*worker, error) {
	w := &worker{c: c}
	var err error
	w.process, err = start(c, name, nil, func(cmd *exec.Cmd) error {
		out, err := cmd.StdoutPipe()
		if err == nil {
			w.in, err = cmd.StdinPipe()
		}
		w.enc, w.dec = json.NewEncoder(w.in), json.NewDecoder(out)
		return err
	}, args...)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { w.stop(syscall.SIGTERM) })
	return w, nil
}

// ask gives an order (nil: none, only its word is awaited) and waits for the word on it.
func (w *worker) ask(order, word any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	if order != nil {
		err = w.enc.Encode(order)
	}
	if err == nil {
		err = w.dec.Decode(word)
	}
	if err != nil {
		return fmt.Errorf("%s: %w: %s", w.name, err, w.lastLine(w.c))
	}
	return nil
}

// end closes the worker's input, at which it ends.
func (w *worker) end() {
	w.in.Close()
	select {
	case <-w.ended:
	case <-time.After(time.Second):
		w.stop(syscall.SIGTERM)
	}
}

// realNode is one edge node with sockets, over its restarts.
type realNode struct {
	number       int
	listen, peer string
	agent        string
	peers        []netip.AddrPort
	all          string

	mu         sync.Mutex
	p          *process
	up         bool
	since      time.Time
	hwm, rss   int64 // KiB, most over its starts
	killed     int
	unexpected int // it ended by itself
}

// freeAddr is an address of a block that was free a moment ago.
func freeAddr(network string, block, i int) (string, error) {
	if network == "udp" {
		c, err := net.ListenPacket("udp", loopback(block, i, 0))
		if err != nil {
			return "", err
		}
		defer c.Close()
		return c.LocalAddr().String(), nil
	}
	ln, err := net.Listen("tcp", loopback(block, i, 0))
	if err != nil {
		return "", err
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}

// config is what the node is started with.
func (n *realNode) config(c *Config, known json.RawMessage, start int) ([]byte, error) {
	return json.Marshal(map[string]any{
		"name": "real" + strconv.Itoa(n.number), "listen": n.listen, "discovery": n.agent,
		"seed":   strconv.FormatUint(c.Seed<<20|uint64(start)<<10|uint64(n.number), 16),
		"limits": map[string]any{"cores": 1, "memory_mb": c.MemoryMB, "sockets": c.Sockets}, "peer_listen": n.peer,
		"peers": n.peers, "peers_all": n.all, "known": known, "settings": platformSettings(*c, n.number),
	})
}

// begin starts the node and waits until it can take requests.
func (n *realNode) begin(ctx context.Context, c *Config, known json.RawMessage, start_ int) error {
	raw, err := n.config(c, known, start_)
	if err != nil {
		return err
	}
	path := filepath.Join(c.Dir, fmt.Sprintf("real%d.json", n.number))
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return err
	}
	p, err := start(c, fmt.Sprintf("real%d", n.number), []string{"GW_CONFIG=" + path, "GW_NAME=", "GW_LISTEN=", "GW_DISCOVERY="},
		nil, "serve")
	if err != nil {
		return err
	}
	n.mu.Lock()
	n.p, n.up = p, false
	n.mu.Unlock()
	for end := time.Now().Add(upWithin); time.Now().Before(end); {
		a, err := http.Get("http://" + n.listen + "/healthz")
		if err == nil {
			a.Body.Close()
			if a.StatusCode == http.StatusOK {
				n.mu.Lock()
				n.up, n.since = true, time.Now()
				n.mu.Unlock()
				return nil
			}
		}
		select {
		case <-p.ended:
			return fmt.Errorf("real node %d ended at its start: %s", n.number, p.lastLine(c))
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
	return fmt.Errorf("real node %d is not ready %v after its start", n.number, upWithin)
}

// end drains the node. Clients come for a part of a second more, as to any node that is taken out.
func (n *realNode) end(clientsFor time.Duration) {
	n.memory()
	n.mu.Lock()
	p := n.p
	n.mu.Unlock()
	if p == nil {
		return
	}
	select {
	case <-p.ended:
		n.unexpected++
	default:
	}
	ended := make(chan bool, 1)
	go func() { ended <- p.stop(syscall.SIGTERM) }()
	time.Sleep(clientsFor)
	n.mu.Lock()
	n.up = false
	n.mu.Unlock()
	if !<-ended {
		n.killed++
	}
}

// taking tells whether clients go to the node.
func (n *realNode) taking() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.up
}

// ready tells since when; the zero time: it isn't.
func (n *realNode) ready() time.Time {
	n.mu.Lock()
	defer n.mu.Unlock()
	if !n.up {
		return time.Time{}
	}
	return n.since
}

func (n *realNode) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.p == nil {
		return 0
	}
	return n.p.cmd.Process.Pid
}

// memory looks at what the process holds and has held, KiB.
func (n *realNode) memory() {
	raw, err := readStatus(n.pid())
	if err != nil {
		return
	}
	n.rss = max(n.rss, field(raw, "VmRSS:"))
	n.hwm = max(n.hwm, field(raw, "VmHWM:"))
}

func readStatus(pid int) ([]byte, error) { return os.ReadFile(fmt.Sprintf("/proc/%d/status", pid)) }

func field(raw []byte, name string) int64 {
	for line := range bytes.Lines(raw) {
		if f := strings.Fields(string(line)); len(f) > 1 && f[0] == name {
			v, _ := strconv.ParseInt(f[1], 10, 64)
			return v
		}
	}
	return 0
}

var errStat = errors.New("no CPU time in /proc")

// cpu is the CPU time of a process so far.
func cpu(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(raw), ") ") // behind the name, which may hold anything
	f := strings.Fields(rest)
	if !ok || len(f) < 13 {
		return 0, errStat
	}
	user, err1 := strconv.ParseInt(f[11], 10, 64)
	system, err2 := strconv.ParseInt(f[12], 10, 64)
	if err1 != nil || err2 != nil {
		return 0, errStat
	}
	return time.Duration(user+system) * time.Second / clockTick, nil
}
