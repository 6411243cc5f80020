package scale

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"sync"
	"syscall"
	"time"

	"cherrygap/internal/lab/nodeprocess"
)

const (
	sigkillDelay      = 4 * time.Second // time from SIGTERM to SIGKILL of a child process
	workerExitTimeout = time.Second     // time from the end of a worker's input to SIGTERM
)

// worker is a child process that reads commands from its standard input and writes one reply to each command to its standard
// output, all as lines of JSON. Its methods may be called from several goroutines.
type worker struct {
	process *nodeprocess.Process

	mu       sync.Mutex // guards the fields below; held from a command until its reply
	stdin    io.WriteCloser
	commands *json.Encoder
	replies  *json.Decoder
}

// startWorker starts this program with args as a worker. name is the name of its log. When ctx ends, the worker is stopped,
// so that no call waits for a reply any longer.
func startWorker(ctx context.Context, cfg *Config, name string, args ...string) (*worker, error) {
	w := &worker{}
	var err error
	w.process, err = nodeprocess.Start(nodeprocess.Command{
		Program: cfg.Program, Args: args, Dir: cfg.Dir, Name: name, Prepare: w.openPipes,
	})
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { w.process.Stop(syscall.SIGTERM, sigkillDelay) })
	return w, nil
}

// openPipes connects pipes to the standard input and output of the worker's command.
func (w *worker) openPipes(cmd *exec.Cmd) error {
	out, err := cmd.StdoutPipe()
	if err != nil {
		return err
	}
	if w.stdin, err = cmd.StdinPipe(); err != nil {
		return err
	}
	w.commands, w.replies = json.NewEncoder(w.stdin), json.NewDecoder(out)
	return nil
}

// pid returns the worker's process ID.
func (w *worker) pid() int { return w.process.PID() }

// call sends a command, unless it is nil, and decodes the next line of the worker's output into reply. An error contains the
// worker's name and the last line of its log.
func (w *worker) call(command, reply any) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	var err error
	if command != nil {
		err = w.commands.Encode(command)
	}
	if err == nil {
		err = w.replies.Decode(reply)
	}
	if err != nil {
		return fmt.Errorf("worker %q: %w; last line of its log: %s", w.process.Name(), err, w.process.LastLogLine())
	}
	return nil
}

// closeInput closes the worker's standard input, which lets the worker end. It stops a worker that does not end within
// workerExitTimeout.
func (w *worker) closeInput() {
	_ = w.stdin.Close() // The call fails if the worker has ended.
	select {
	case <-w.process.Exited():
	case <-time.After(workerExitTimeout):
		w.process.Stop(syscall.SIGTERM, sigkillDelay)
	}
}

// serveCommands is the worker's side of the protocol. It writes the first reply, then executes commands and writes one reply
// to each, until in ends.
func serveCommands[Command, Reply any](in *json.Decoder, out io.Writer, first Reply, execute func(Command) Reply) error {
	replies := json.NewEncoder(out)
	if err := replies.Encode(first); err != nil {
		return fmt.Errorf("cannot write a reply: %w", err)
	}
	for {
		var command Command
		if err := in.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("cannot read a command: %w", err)
		}
		if err := replies.Encode(execute(command)); err != nil {
			return fmt.Errorf("cannot write a reply: %w", err)
		}
	}
}
