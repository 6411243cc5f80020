// Package memusage measures the memory that a process holds: its resident set, and the kernel's buffers of its TCP sockets.
package memusage

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Usage is a process's memory in bytes.
type Usage struct {
	Resident     int64 // resident set; in Peak the largest one since the process's start (VmHWM)
	SocketMemory int64 // memory that the kernel holds for the process's TCP sockets over IPv4
	Total        int64 // Resident and SocketMemory of the same moment
}

// Peak returns the largest value of each field of u and other.
func (u Usage) Peak(other Usage) Usage {
	return Usage{
		Resident:     max(u.Resident, other.Resident),
		SocketMemory: max(u.SocketMemory, other.SocketMemory),
		Total:        max(u.Total, other.Total),
	}
}

// Of returns the present usage of a process. It returns an error if the process has ended.
func Of(pid int) (Usage, error) {
	resident, err := statusValue(pid, "VmRSS")
	if err != nil {
		return Usage{}, err
	}
	sockets, err := socketMemory(pid)
	return Usage{Resident: resident, SocketMemory: sockets, Total: resident + sockets}, err
}

// statusValue returns a value in kB of the file status of a process, in bytes.
func statusValue(pid int, key string) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(raw)) {
		name, value, _ := strings.Cut(line, ":")
		if name == key {
			kB, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kB << 10, err
		}
	}
	return 0, fmt.Errorf("process %d has no %s, so it has ended", pid, key)
}

// sampleInterval is the time between two samples of a Sampler.
const sampleInterval = 20 * time.Millisecond

// Sampler records the peak usage of a process. It misses peaks of the socket memory that last less than sampleInterval.
type Sampler struct {
	pid     int
	stop    chan struct{}
	stopped sync.WaitGroup
	peak    Usage // valid once the sampling goroutine has ended
}

// StartSampler starts to sample a process. The caller must call Stop.
func StartSampler(pid int) *Sampler {
	s := &Sampler{pid: pid, stop: make(chan struct{})}
	s.stopped.Add(1)
	go s.run() // ends on Stop
	return s
}

// run samples the process until Stop.
func (s *Sampler) run() {
	defer s.stopped.Done()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		if usage, err := Of(s.pid); err == nil {
			s.peak = s.peak.Peak(usage)
		}
		if resident, err := statusValue(s.pid, "VmHWM"); err == nil {
			s.peak.Resident = max(s.peak.Resident, resident)
		}
		select {
		case <-s.stop:
			return
		case <-ticker.C:
		}
	}
}

// Stop ends the sampling and returns the peak of each value. The resident set's peak counts from the process's start.
func (s *Sampler) Stop() Usage {
	close(s.stop)
	s.stopped.Wait()
	s.peak.Total = max(s.peak.Total, s.peak.Resident)
	return s.peak
}
