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
	logFlushTimeout = 200 * time.Millisecond // for the lines that still wait at the end of the process
)

// openLog opens the node's log on standard error. Its lines are buffered, because a reader that is too slow must not hold up
// requests: lines that find no room are dropped, and dropped is called with their number. closeLog writes what is left in the
// buffer, for logFlushTimeout at most, because the end of the process must not wait for a reader either.
func openLog(level zerolog.Level, node string, dropped func(lines int)) (log zerolog.Logger, closeLog func()) {
	// The wrapper hides Close, by which the buffer would close standard error.
	buffer := diode.NewWriter(struct{ io.Writer }{os.Stderr}, logBufferLines, 0, dropped)
	log = zerolog.New(buffer).Level(level).With().Timestamp().Str("node", node).Logger()
	return log, func() {
		written := make(chan struct{})
		go func() { // ends once all is written, or with the process
			_ = buffer.Close() // there is nowhere left to report an error to
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(logFlushTimeout):
		}
	}
}

// ParseLogLevel gives the level of that name, or info for a name that is none.
func ParseLogLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return zerolog.InfoLevel
	}
	return level
}
