package scale

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const stopTimeout = 4 * time.Second // from a signal to SIGKILL

// process is one child, started and stopped by this program alone.
type process struct {
	name   string
	cmd    *exec.Cmd
	exited chan struct{} // closed once it has ended and was waited for
}

// startProcess starts this program with arguments, in a process group of its own so that an interrupt of the terminal
// reaches only the lab, which stops its children in order. Should the lab itself be killed, the kernel kills them. A
// goroutine waits for the process and ends with it.
func startProcess(cfg *Config, name string, env []string, pipes func(*exec.Cmd) error, args ...string) (*process, error) {
	log, err := os.OpenFile(logPath(cfg, name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, err
	}
	cmd := exec.Command(cfg.Program, args...)
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
		_ = log.Close()
		return nil, fmt.Errorf("start of %s: %w", name, err)
	}
	p := &process{name: name, cmd: cmd, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_ = cmd.Wait() // how it ended stands in its log
		_ = log.Close()
	}()
	return p, nil
}

func logPath(cfg *Config, name string) string { return filepath.Join(cfg.Dir, name+".log") }

func (p *process) pid() int { return p.cmd.Process.Pid }

func (p *process) hasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// stop sends a signal, kills the process stopTimeout later, and returns once it has ended. It tells whether it did so
// without being killed.
func (p *process) stop(sig syscall.Signal) bool {
	if p.hasExited() {
		return true
	}
	_ = p.cmd.Process.Signal(sig) // an error says that it has ended
	select {
	case <-p.exited:
		return true
	case <-time.After(stopTimeout):
	}
	_ = p.cmd.Process.Kill()
	<-p.exited
	return false
}

// lastLogLine is the end of its log, for an error.
func (p *process) lastLogLine(cfg *Config) string {
	raw, err := os.ReadFile(logPath(cfg, p.name))
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}
