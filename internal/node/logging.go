package node

import (
	"io"
	"os"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
)

const (
	logBufferLines  = 1000                   // capacity of the buffer between the node and the log's reader
	logFlushTimeout = 200 * time.Millisecond // limit of the time in which closeLog writes the buffered lines
)

// openLog opens the node's log on standard error. The lines are buffered, because a slow reader must not delay requests.
// Lines beyond logBufferLines are dropped, and onDropped is called with their number.
//
// closeLog writes the buffered lines, for logFlushTimeout at most, because a slow reader must not delay the node's end
// either. Lines that are logged later are lost.
func openLog(level zerolog.Level, node string, onDropped func(lines int)) (log zerolog.Logger, closeLog func()) {
	// The struct hides the method Close of os.Stderr. The buffer's Close would otherwise close standard error.
	buffer := diode.NewWriter(struct{ io.Writer }{os.Stderr}, logBufferLines, 0, onDropped)
	log = zerolog.New(buffer).Level(level).With().Timestamp().Str("node", node).Logger()
	return log, func() {
		written := make(chan struct{})
		go func() { // The goroutine ends once all lines are written. If nothing reads the log, it ends with the process.
			_ = buffer.Close() // only the log itself could report the error
			close(written)
		}()
		select {
		case <-written:
		case <-time.After(logFlushTimeout):
		}
	}
}

// ParseLogLevel returns the log level with the given name. For an empty or unknown name it returns zerolog.InfoLevel.
func ParseLogLevel(name string) zerolog.Level {
	level, err := zerolog.ParseLevel(name)
	if err != nil || name == "" {
		return zerolog.InfoLevel
	}
	return level
}
