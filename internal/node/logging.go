package node

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	logBufferLines  = 1000                   // lines that wait for the log's reader; further ones are dropped
	logFlushTimeout = 200 * time.Millisecond // for the lines in the buffer when the log closes
)

// openLog opens the node's log on standard error. The lines are buffered, because a slow reader must not delay requests.
// Lines beyond logBufferLines are dropped, and dropped is called with their number.
//
// closeLog writes the buffer's lines, for logFlushTimeout at most, as a slow reader must not delay the end either. Lines that
// are logged later are lost.
func openLog(level zerolog.Level, node string, dropped func(lines int)) (log zerolog.Logger, closeLog func()) {
	// The wrapper hides Close, by which the buffer would close standard error.
	buffer := diode.NewWriter(struct{ io.Writer }{os.Stderr}, logBufferLines, 0, dropped)
	log = zerolog.New(buffer).Level(level).With().Timestamp().Str("node", node).Logger()
	return log, func() {
		written := make(chan struct{})
		go func() { // ends once all lines are written; without a reader it stays until the process ends
			_ = buffer.Close() // the log was the place to report an error
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(logFlushTimeout):
		}
	}
}

// ParseLogLevel returns the level of a name. An empty or unknown name is the level info.
func ParseLogLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return zerolog.InfoLevel
	}
	return level
}
