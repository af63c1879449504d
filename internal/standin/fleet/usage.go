package fleet

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"
)

// clockTick is the unit of CPU times in /proc (1/USER_HZ).
const clockTick = 10 * time.Millisecond

// Usage is the resource usage of a process since its start.
type Usage struct {
	// CPU is the CPU time in user and system mode.
	CPU time.Duration
	// ResidentBytes is the current resident set size, PeakBytes its maximum.
	ResidentBytes int64
	PeakBytes     int64
}

// Usage reads the resource usage of the process from /proc.
func (p *Process) Usage() (Usage, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.PID()))
	if err != nil {
		return Usage{}, err
	}
	cpu, err := cpuTime(stat)
	return Usage{
		CPU:           cpu,
		ResidentBytes: statusBytes(status, "VmRSS:"),
		PeakBytes:     statusBytes(status, "VmHWM:"),
	}, err
}

// cpuTime reads utime and stime, the 12th and 13th fields after the command.
func cpuTime(stat []byte) (time.Duration, error) {
	fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
	if len(fields) < 13 {
		return 0, fmt.Errorf("/proc stat has %d fields after the command", len(fields))
	}
	user, err := strconv.ParseInt(fields[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// statusBytes returns a field of /proc status that is given in kB, in bytes, or 0
// if it is missing.
func statusBytes(status []byte, name string) int64 {
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) < 2 || fields[0] != name {
			continue
		}
		value, _ := strconv.ParseInt(fields[1], 10, 64)
		return value << 10
	}
	return 0
}
