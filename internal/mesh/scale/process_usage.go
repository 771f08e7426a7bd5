package scale

import (
	"fmt"
	"os"
	"strconv"
	"strings"
)

// clockTicks is how many units of processor time in /proc make a second: the kernel's USER_HZ, 100 on every platform that Go runs on.
const clockTicks = 100

// Usage is what a process has used since its start.
type Usage struct {
	Processor float64 `json:"processor_s"` // seconds of processor time, of all its threads
	Resident  int64   `json:"resident"`    // bytes of memory now
	Read      int64   `json:"read"`        // bytes by read calls: sockets, files and pipes
	Written   int64   `json:"written"`     // the same by write calls
}

func (u *Usage) add(o Usage) {
	u.Processor += o.Processor
	u.Resident += o.Resident
	u.Read += o.Read
	u.Written += o.Written
}

// processUsage reads the usage of a process from /proc, see proc(5).
func processUsage(pid int) (u Usage, err error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	if u.Processor, u.Resident, err = parseStat(string(stat)); err != nil {
		return u, err
	}
	ioText, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return u, err
	}
	u.Read, u.Written = parseIO(string(ioText))
	return u, nil
}

// parseIO reads the bytes of read and write calls from the text of /proc/PID/io.
func parseIO(text string) (read, written int64) {
	for line := range strings.Lines(text) {
		name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
		bytes, _ := strconv.ParseInt(value, 10, 64) // 0 where the kernel writes another form
		switch name {
		case "rchar":
			read = bytes
		case "wchar":
			written = bytes
		}
	}
	return read, written
}

// Fields of /proc/PID/stat behind the program's name. proc(5) numbers them from 1, with the process ID and the name before them.
const (
	statFieldsBefore = 3
	statUserTime     = 14 - statFieldsBefore
	statSystemTime   = 15 - statFieldsBefore
	statResident     = 24 - statFieldsBefore // pages
)

// parseStat reads processor time and resident memory from the text of /proc/PID/stat.
func parseStat(text string) (processor float64, resident int64, err error) {
	nameEnd := strings.LastIndexByte(text, ')') // the name may itself hold spaces and parentheses
	fields := strings.Fields(text[nameEnd+1:])
	if nameEnd < 0 || len(fields) <= statResident {
		return 0, 0, fmt.Errorf("/proc stat: %q", text)
	}
	var values [3]int64
	for i, field := range []int{statUserTime, statSystemTime, statResident} {
		if values[i], err = strconv.ParseInt(fields[field], 10, 64); err != nil {
			return 0, 0, fmt.Errorf("/proc stat: %w", err)
		}
	}
	user, system, pages := values[0], values[1], values[2]
	return float64(user+system) / clockTicks, pages * int64(os.Getpagesize()), nil
}
