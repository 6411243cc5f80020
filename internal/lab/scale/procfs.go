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
	clockTicksPerSecond = 100 // unit of /proc's CPU times (USER_HZ, proc(5))
	kibPerMiB           = 1024
)

var errNoCPUTime = errors.New("no CPU time in /proc")

// memoryUse is the resident memory of a process, KiB.
type memoryUse struct {
	rss, peakRSS int64
}

// readMemory returns the memory of a process; 0 if the process has ended.
func readMemory(pid int) memoryUse {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return memoryUse{}
	}
	return memoryUse{rss: statusField(raw, "VmRSS:"), peakRSS: statusField(raw, "VmHWM:")}
}

// statusField returns a number of a /proc status file; 0 if it is missing.
func statusField(raw []byte, name string) int64 {
	for line := range bytes.Lines(raw) {
		if fields := strings.Fields(string(line)); len(fields) > 1 && fields[0] == name {
			v, _ := strconv.ParseInt(fields[1], 10, 64)
			return v
		}
	}
	return 0
}

// peakRSSMiB returns the largest resident memory that a process has had, MiB.
func peakRSSMiB(pid int) float64 { return float64(readMemory(pid).peakRSS) / kibPerMiB }

// cpuTime returns the CPU time that a process has used.
func cpuTime(pid int) (time.Duration, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	_, rest, ok := strings.Cut(string(raw), ") ") // after the program's name, which may contain blanks
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
