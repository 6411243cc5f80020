package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

const (
	stoppedMessage         = "stopped"     // message of the log line with a node's final counters
	violationCounterPrefix = "violations_" // name prefix of the counters of the node's own invariant checks
	maxLogLine             = 1 << 20       // longest line of a log, in bytes
)

// readViolationCounters reads a node's log and returns the sums of the violation counters by name. It sums over all processes of
// the node that logged final counters, as a process does when it exits after SIGTERM.
func readViolationCounters(logPath string) (map[string]int64, error) {
	file, err := os.Open(logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	sums := map[string]int64{}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line struct {
			Message  string                     `json:"message"`
			Counters map[string]json.RawMessage `json:"counters"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message != stoppedMessage {
			continue
		}
		for name, value := range line.Counters {
			var count int64
			if strings.HasPrefix(name, violationCounterPrefix) && json.Unmarshal(value, &count) == nil {
				sums[name] += count
			}
		}
	}
	return sums, scanner.Err()
}
