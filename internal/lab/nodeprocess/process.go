// Package nodeprocess starts and stops the laboratory's child processes: real edge nodes, and the workers that simulate
// many nodes or servers.
package nodeprocess

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Command describes a child process.
type Command struct {
	Program string                // path
	Args    []string              // without the program's name
	Env     []string              // in addition to this process's environment
	Dir     string                // folder of the log file
	Name    string                // of the log file, without ".log", and in errors
	Prepare func(*exec.Cmd) error // called before the start, for pipes and inherited files; nil for none
}

// Process is a started child process. Its methods may be called from several goroutines.
type Process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{} // closed once the process has ended and was waited for
}

// Ending is the way in which a process ended in Stop.
type Ending int

// The endings.
const (
	EndedInTime Ending = iota // or before Stop was called
	Killed                    // it did not end in time after the signal
)

// LogPath returns the path of the log file of the processes with a name in dir.
func LogPath(dir, name string) string { return filepath.Join(dir, name+".log") }

// Start starts a process whose standard error is appended to its log file. The process has its own process group, so that
// a terminal's interrupt reaches only the laboratory, which then stops its children in order. The kernel kills the process
// if the laboratory itself is killed. The goroutine that waits for the process ends with it.
func Start(command Command) (*Process, error) {
	logPath := LogPath(command.Dir, command.Name)
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("start of %s: %w", command.Name, err)
	}
	cmd := exec.Command(command.Program, command.Args...)
	cmd.Env = append(os.Environ(), command.Env...)
	cmd.Stderr = log
	cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true, Pdeathsig: syscall.SIGKILL}
	if command.Prepare != nil {
		err = command.Prepare(cmd)
	}
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		_ = log.Close()
		return nil, fmt.Errorf("start of %s: %w", command.Name, err)
	}
	p := &Process{name: command.Name, logPath: logPath, cmd: cmd, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_ = cmd.Wait() // the exit state is in cmd.ProcessState, the reason in the log
		_ = log.Close()
	}()
	return p, nil
}

// Name returns the name in the process's Command.
func (p *Process) Name() string { return p.name }

// PID returns the process's ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Exited returns a channel that is closed once the process has ended.
func (p *Process) Exited() <-chan struct{} { return p.exited }

// HasExited reports whether the process has ended.
func (p *Process) HasExited() bool {
	select {
	case <-p.exited:
		return true
	default:
		return false
	}
}

// Signal sends a signal. It does nothing if the process has ended.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Stop sends a signal, kills the process if it has not ended after killAfter, and returns once the process has ended.
func (p *Process) Stop(signal syscall.Signal, killAfter time.Duration) Ending {
	if p.HasExited() {
		return EndedInTime
	}
	p.Signal(signal)
	select {
	case <-p.exited:
		return EndedInTime
	case <-time.After(killAfter):
	}
	p.Signal(syscall.SIGKILL)
	<-p.exited
	return Killed
}

// LastLogLine returns the last line of the process's log for use in an error, or the error of reading the log.
func (p *Process) LastLogLine() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}
