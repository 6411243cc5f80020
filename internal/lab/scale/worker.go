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
	sigkillDelay      = 4 * time.Second // from SIGTERM to SIGKILL
	workerExitTimeout = time.Second     // from the end of a worker's input to SIGTERM
)

// worker is a child process that reads commands from its standard input and writes one reply to each to its standard
// output, as JSON lines. Its methods may be called from several goroutines.
type worker struct {
	process *nodeprocess.Process

	mu       sync.Mutex // guards the fields below; held from a command to its reply
	stdin    io.WriteCloser
	commands *json.Encoder
	replies  *json.Decoder
}

// startWorker starts this program as a worker. The worker is stopped when ctx ends, so that no call waits for a reply any
// more.
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

// openPipes connects the worker's standard input and output.
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

// call sends a command, unless it is nil, and decodes the reply into reply. An error contains the last line of the
// worker's log.
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
		return fmt.Errorf("%s: %w: %s", w.process.Name(), err, w.process.LastLogLine())
	}
	return nil
}

// closeInput closes the worker's standard input, at which the worker ends, and stops a worker that does not end in time.
func (w *worker) closeInput() {
	_ = w.stdin.Close() // fails if the worker has ended
	select {
	case <-w.process.Exited():
	case <-time.After(workerExitTimeout):
		w.process.Stop(syscall.SIGTERM, sigkillDelay)
	}
}

// serveCommands is the worker's side of the protocol: it writes the first reply and then one reply to each command, until
// in ends.
func serveCommands[Command, Reply any](in *json.Decoder, out io.Writer, first Reply, execute func(Command) Reply) error {
	replies := json.NewEncoder(out)
	if err := replies.Encode(first); err != nil {
		return fmt.Errorf("write of a reply: %w", err)
	}
	for {
		var command Command
		if err := in.Decode(&command); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("read of a command: %w", err)
		}
		if err := replies.Encode(execute(command)); err != nil {
			return fmt.Errorf("write of a reply: %w", err)
		}
	}
}
