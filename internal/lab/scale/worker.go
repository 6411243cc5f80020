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
)

// worker is a child that takes commands on its standard input, a JSON line each, and answers each with one line.
type worker struct {
	*process
	cfg *Config

	mu       sync.Mutex // held over a command and its reply
	stdin    io.WriteCloser
	commands *json.Encoder
	replies  *json.Decoder
}

// startWorker starts one. It is stopped with ctx, so that no command waits for its reply any more.
func startWorker(ctx context.Context, cfg *Config, name string, args ...string) (*worker, error) {
	w := &worker{cfg: cfg}
	var err error
	w.process, err = startProcess(cfg, name, nil, func(cmd *exec.Cmd) error {
		out, err := cmd.StdoutPipe()
		if err == nil {
			w.stdin, err = cmd.StdinPipe()
		}
		w.commands, w.replies = json.NewEncoder(w.stdin), json.NewDecoder(out)
		return err
	}, args...)
	if err != nil {
		return nil, err
	}
	context.AfterFunc(ctx, func() { w.stop(syscall.SIGTERM) })
	return w, nil
}

// call sends a command (nil: none) and waits for the reply, which it decodes into reply. An error holds the last line of
// the worker's log.
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
		return fmt.Errorf("%s: %w: %s", w.name, err, w.lastLogLine(w.cfg))
	}
	return nil
}

// closeInput closes the worker's input, at which it ends by itself; it is stopped where it doesn't.
func (w *worker) closeInput() {
	_ = w.stdin.Close()
	select {
	case <-w.exited:
	case <-time.After(time.Second):
		w.stop(syscall.SIGTERM)
	}
}

// serveCommands is the worker's own side: it writes the first reply and then one to each command, until in ends.
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
