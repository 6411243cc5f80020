package soak

import (
	"bufio"
	"encoding/json"
	"os"
	"strings"
)

// guardPrefix begins the names of the counters of the nodes' own guards.
const guardPrefix = "violations_"

// maxLogLine bounds a line of a node's log, in bytes.
const maxLogLine = 1 << 20

// readGuards sums what the guards of a node counted, over all its starts that ended in good order.
func readGuards(logPath string) (map[string]int64, error) {
	file, err := os.Open(logPath)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	guards := map[string]int64{}
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, maxLogLine)
	for scanner.Scan() {
		var line struct {
			Message  string                     `json:"message"`
			Counters map[string]json.RawMessage `json:"counters"`
		}
		if json.Unmarshal(scanner.Bytes(), &line) != nil || line.Message != "stopped" {
			continue
		}
		for name, value := range line.Counters {
			var count int64
			if strings.HasPrefix(name, guardPrefix) && json.Unmarshal(value, &count) == nil {
				guards[name] += count
			}
		}
	}
	return guards, scanner.Err()
}
