package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"time"
)

// clockTick is the unit of CPU times in /proc, which Linux fixes at 100 per second for programs.
const clockTick = 10 * time.Millisecond

// cpuTime returns the user and system time of a process.
func cpuTime(pid int) (time.Duration, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The name in parentheses may have spaces, so fields are counted after it: utime is the 12th, stime the 13th.
	f := bytes.Fields(b[bytes.LastIndexByte(b, ')')+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("malformed /proc/%d/stat", pid)
	}
	user, err := strconv.ParseInt(string(f[11]), 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(string(f[12]), 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// residentBytes returns the resident memory of a process.
func residentBytes(pid int) (int64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	f := bytes.Fields(b)
	if len(f) < 2 {
		return 0, fmt.Errorf("malformed /proc/%d/statm", pid)
	}
	pages, err := strconv.ParseInt(string(f[1]), 10, 64)
	return pages * int64(os.Getpagesize()), err
}

// socketBytes returns the kernel memory of all TCP sockets of the machine. It cannot be attributed to a process.
func socketBytes() (int64, error) {
	b, err := os.ReadFile("/proc/net/sockstat")
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(b) {
		f := bytes.Fields(line)
		if len(f) == 0 || string(f[0]) != "TCP:" {
			continue
		}
		pages, err := strconv.ParseInt(string(f[len(f)-1]), 10, 64)
		return pages * int64(os.Getpagesize()), err
	}
	return 0, fmt.Errorf("no TCP line in /proc/net/sockstat")
}

// cpuSample is the CPU time that a process had used at a point in time.
type cpuSample struct {
	pid     int
	cpu     time.Duration
	takenAt time.Time
}

func sampleCPU(pid int) (cpuSample, error) {
	cpu, err := cpuTime(pid)
	return cpuSample{pid: pid, cpu: cpu, takenAt: time.Now()}, err
}

// since returns the CPU time that the process has used since the sample, and the elapsed time.
func (s cpuSample) since() (cpu, elapsed time.Duration, err error) {
	now, err := cpuTime(s.pid)
	return now - s.cpu, time.Since(s.takenAt), err
}
