// Package nodeprocess starts and stops the laboratory's child processes. These are real edge nodes, and workers that simulate
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
	Program string                // path of the program
	Args    []string              // arguments, without the program's name
	Env     []string              // environment variables, in addition to those of this process
	Dir     string                // directory of the log file
	Name    string                // name of the process in errors, and of its log file without ".log"
	Prepare func(*exec.Cmd) error // optional function that sets pipes and inherited files before the start; may be nil
}

// Process is a started child process. Its methods may be called from several goroutines.
type Process struct {
	name    string
	logPath string
	cmd     *exec.Cmd
	exited  chan struct{} // channel that is closed once the process has ended and was waited for
}

// Ending states whether Stop had to kill a process.
type Ending int

const (
	// EndedInTime means that the process ended in time after the signal, or before Stop was called.
	EndedInTime Ending = iota
	// Killed means that the process did not end in time after the signal.
	Killed
)

// LogPath returns the path of the log file in dir for processes with the given name.
func LogPath(dir, name string) string { return filepath.Join(dir, name+".log") }

// Start starts a process and appends its standard error to its log file. The process has its own process group, so that a
// terminal's interrupt reaches only the laboratory, which then stops its children in order. The kernel kills the process if
// the laboratory itself is killed. The goroutine that waits for the process ends with the process.
func Start(command Command) (*Process, error) {
	logPath := LogPath(command.Dir, command.Name)
	log, err := os.OpenFile(logPath, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", command.Name, err)
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
		return nil, fmt.Errorf("start %s: %w", command.Name, err)
	}
	p := &Process{name: command.Name, logPath: logPath, cmd: cmd, exited: make(chan struct{})}
	go func() {
		defer close(p.exited)
		_ = cmd.Wait() // cmd.ProcessState has the exit state, and the log has the reason.
		_ = log.Close()
	}()
	return p, nil
}

// Name returns the Name of the process's Command.
func (p *Process) Name() string { return p.name }

// PID returns the process ID.
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

// Signal sends a signal to the process. It does nothing if the process has ended.
func (p *Process) Signal(signal syscall.Signal) { _ = p.cmd.Process.Signal(signal) }

// Stop sends a signal, and kills the process if it has not ended after killAfter. Stop returns once the process has ended.
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

// LastLogLine returns the last line of the process's log, for use in an error message. If the log can't be read, it returns the
// text of that error.
func (p *Process) LastLogLine() string {
	raw, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(raw)), "\n")
	return lines[len(lines)-1]
}
