package scale

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"time"
)

const (
	memoryCheckInterval = 250 * time.Millisecond // how often the processes' memory is compared with the limit
	loadSpan            = time.Second            // over which the load by other processes is measured before a run
)

// thisMachine describes the machine. It takes loadSpan.
func thisMachine() Machine {
	m := Machine{Cores: runtime.NumCPU(), Memory: machineMemory()}
	before := readMachineTime()
	time.Sleep(loadSpan)
	m.Load = readMachineTime().busySince(before)
	return m
}

// machineMemory returns the machine's memory in bytes, or 0 if it can't be read.
func machineMemory() int64 {
	text, err := os.ReadFile("/proc/meminfo")
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(text), "MemTotal:")
	kib, _, _ := strings.Cut(strings.TrimSpace(rest), " ")
	n, _ := strconv.ParseInt(kib, 10, 64)
	return n << 10
}

// machineTime is the machine's processor time since its start, in seconds over all cores.
type machineTime struct {
	total float64
	idle  float64
}

// Fields of the first line of /proc/stat, see proc(5); field 0 is its label.
const (
	cpuIdle      = 4
	cpuIOWait    = 5
	cpuLastField = 8 // guest times follow, which are counted as user time too
)

// readMachineTime returns zeroes where /proc/stat can't be read.
func readMachineTime() (t machineTime) {
	text, err := os.ReadFile("/proc/stat")
	if err != nil {
		return t
	}
	line, _, _ := strings.Cut(string(text), "\n")
	for i, field := range strings.Fields(line) {
		ticks, err := strconv.ParseFloat(field, 64)
		if err != nil || i > cpuLastField {
			continue
		}
		t.total += ticks / clockTicks
		if i == cpuIdle || i == cpuIOWait {
			t.idle += ticks / clockTicks
		}
	}
	return t
}

// busySince returns the share of the cores that were busy between two times, or 0 where no time has passed.
func (t machineTime) busySince(before machineTime) float64 {
	total := t.total - before.total
	if total <= 0 {
		return 0
	}
	return 1 - (t.idle-before.idle)/total
}

// watchMemory cancels a measurement when this process and its children use more than limit bytes together. It returns when ctx ends.
func watchMemory(ctx context.Context, cancel context.CancelCauseFunc, limit int64) {
	for sleep(ctx, memoryCheckInterval) {
		if used := familyMemory(os.Getpid()); used > limit {
			cancel(fmt.Errorf("the processes of the run hold %d MiB of memory, more than the %d that memory_gib allows", used>>20, limit>>20))
			return
		}
	}
}

// familyMemory returns the resident memory of a process and its children, in bytes. A process that ends meanwhile counts as 0.
func familyMemory(pid int) (total int64) {
	if usage, err := processUsage(pid); err == nil {
		total = usage.Resident
	}
	tasks, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/children", pid)) // the pattern is valid
	for _, task := range tasks {
		text, _ := os.ReadFile(task)
		for _, child := range strings.Fields(string(text)) {
			childPID, err := strconv.Atoi(child)
			if err != nil {
				continue
			}
			if usage, err := processUsage(childPID); err == nil {
				total += usage.Resident
			}
		}
	}
	return total
}
