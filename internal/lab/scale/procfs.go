package scale

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

const (
	clockTicksPerSecond = 100 // ticks per second of CPU times in /proc (USER_HZ, proc(5))
	kibPerMiB           = 1024
)

var errNoCPUTime = errors.New("the stat file of the process in /proc has no valid CPU time")

// memoryUse is the resident memory of a process and its peak, in KiB.
type memoryUse struct {
	rss, peakRSS int64
}

// readMemory returns the memory use of a process. It returns 0 if the process has ended.
func readMemory(pid int) memoryUse {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return memoryUse{}
	}
	return memoryUse{rss: statusField(raw, "VmRSS:"), peakRSS: statusField(raw, "VmHWM:")}
}

// statusField returns the number in the line of a /proc status file that begins with name. It returns 0 if the line is
// missing.
func statusField(raw []byte, name string) int64 {
	for line := range bytes.Lines(raw) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == name {
			v, _ := strconv.ParseInt(fields[1], 10, 64)
			return v
		}
	}
	return 0
}

// peakRSSMiB returns the peak resident memory of a process, in MiB.
func peakRSSMiB(pid int) float64 { return float64(readMemory(pid).peakRSS) / kibPerMiB }

// cpuTime returns the user and system CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(raw), ") ") // rest follows the program's name, which may contain blanks
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return 0, errNoCPUTime
	}
	user, userErr := strconv.ParseInt(fields[11], 10, 64)
	system, systemErr := strconv.ParseInt(fields[12], 10, 64)
	if userErr != nil || systemErr != nil {
		return 0, errNoCPUTime
	}
	return time.Duration(user+system) * time.Second / clockTicksPerSecond, nil
}
