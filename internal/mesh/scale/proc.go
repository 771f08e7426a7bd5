package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is the kernel's USER_HZ, the unit of processor times in /proc: 100 on every platform that Go runs on.
const clockTicks = 100

// Usage is what a process has used since its start.
type Usage struct {
	Processor float64 `json:"processor_s"` // seconds of processor time, of all its threads
	Resident  int64   `json:"resident"`    // bytes of memory at the moment
	Read      int64   `json:"read"`        // bytes by read calls: sockets, files and pipes
	Written   int64   `json:"written"`     // the same by write calls
}

func (u *Usage) add(o Usage) {
	u.Processor += o.Processor
	u.Resident += o.Resident
	u.Read += o.Read
	u.Written += o.Written
}

// processUsage reads a process's usage from /proc.
func processUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u.Processor, u.Resident, err = parseStat(string(stat)); err != nil {
		return u, err
	}
	io, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(io)) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		n, _ := strconv.ParseInt(value, 10, 64)
		switch name {
		case "rchar":
			u.Read = n
		case "wchar":
			u.Written = n
		}
	}
	return u, nil
}

// parseStat reads processor time and resident memory from the text of /proc/PID/stat.
func parseStat(text string) (processor float64, resident int64, err error) {
	end := strings.LastIndexByte(text, ')') // the program's name may hold anything
	fields := strings.Fields(text[end+1:])
	const user, system, pages = 14 - 3, 15 - 3, 24 - 3 // as numbered by proc(5), less the two before and their base
	if end < 0 || len(fields) <= pages {
		return 0, 0, fmt.Errorf("/proc stat: %q", text)
	}
	var n [3]int64
	for i, at := range []int{user, system, pages} {
		if n[i], err = strconv.ParseInt(fields[at], 10, 64); err != nil {
			return 0, 0, err
		}
	}
	return float64(n[0]+n[1]) / clockTicks, n[2] * int64(os.Getpagesize()), nil
}

// machineTime is the machine's processor time so far, in seconds over all cores: all of it, and that in which it was idle.
func machineTime() (all, idle float64) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return 0, 0
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, f := range strings.Fields(line) {
		n, err := strconv.ParseFloat(f, 64)
		if err != nil || i > 8 { // guest times are among user times
			continue
		}
		all += n / clockTicks
		if i == 4 || i == 5 { // idle, waiting for disks
			idle += n / clockTicks
		}
	}
	return all, idle
}
