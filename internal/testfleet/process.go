package testfleet

import (
	"bufio"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Await looks again and again, for as long as limit.
func Await(limit time.Duration, f func() bool) bool {
	for end := time.Now().Add(limit); !f(); time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Process is the real program, running.
type Process struct {
	Cmd    *exec.Cmd
	Config string        // its file
	Addr   string        // where it listens, the first if there are several
	Exited chan struct{} // closed once it has

	mu       sync.Mutex // guards lines and told
	lines    []string
	stopping bool // to stop
}

// keptLines of what it says are kept.
const maxLogLines = 400

// Start starts the program with a file and waits until it listens.
func Start(path, config string) (*Process, error) {
	return StartCommand(exec.Command(path, "-config", config), config)
}

// StartCommand is Start for any way to start it.
func StartCommand(cmd *exec.Cmd, config string) (*Process, error) {
	p := &Process{Cmd: cmd, Config: config, Exited: make(chan struct{})}
	stderr, err := p.Cmd.StderrPipe()
	if err != nil {
		return nil, err
	}
	if err := p.Cmd.Start(); err != nil {
		return nil, fmt.Errorf("starting the program: %w", err)
	}
	listening := make(chan string, 1)
	go func() {
		lines := bufio.NewScanner(stderr)
		for lines.Scan() {
			p.mu.Lock()
			if p.lines = append(p.lines, lines.Text()); len(p.lines) > maxLogLines {
				p.lines = p.lines[1:]
			}
			p.mu.Unlock()
			if _, addr, is := strings.Cut(lines.Text(), " listening on "); is {
				select {
				case listening <- addr:
				default:
				}
			}
		}
		p.Cmd.Wait()
		close(p.Exited)
	}()
	select {
	case p.Addr = <-listening:
		return p, nil
	case <-p.Exited:
		return nil, errors.New("the program ended at once:\n" + p.Tail())
	case <-time.After(20 * time.Second):
		p.Stop()
		return nil, errors.New("the program does not listen:\n" + p.Tail())
	}
}

// Tail is the last that it said.
func (p *Process) Tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// Said waits for a line that holds these words, and gives the rest of it.
func (p *Process) AwaitLogged(words string) (rest string, err error) {
	if Await(10*time.Second, func() bool {
		_, after, is := strings.Cut(p.Tail(), words)
		rest, _, _ = strings.Cut(after, "\n")
		return is
	}) {
		return rest, nil
	}
	return "", fmt.Errorf("the program does not say %q", words)
}

// Crashed says that it ended without being told to.
func (p *Process) Crashed() bool {
	select {
	case <-p.Exited:
		p.mu.Lock()
		defer p.mu.Unlock()
		return !p.stopping
	default:
		return false
	}
}

func (p *Process) markStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Stop ends it by SIGTERM, and waits for it.
func (p *Process) Stop() {
	p.markStopping()
	p.Cmd.Process.Signal(syscall.SIGTERM)
	p.Cmd.Process.Signal(syscall.SIGCONT)
	select {
	case <-p.Exited:
	case <-time.After(10 * time.Second):
		p.Kill()
	}
}

// Kill ends it at once, and waits until it is gone.
func (p *Process) Kill() {
	p.markStopping()
	p.Cmd.Process.Kill()
	<-p.Exited
}

// Pause stops it as it is, and returns once it stands; Resume has it go on.
func (p *Process) Pause() {
	p.Cmd.Process.Signal(syscall.SIGSTOP)
	Await(time.Second, func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
		_, state, _ := strings.Cut(string(text), ") ")
		return err != nil || strings.HasPrefix(state, "T")
	})
}

// Resume has a stopped process go on.
func (p *Process) Resume() { p.Cmd.Process.Signal(syscall.SIGCONT) }

// Resources are what it holds, from /proc; zeros where there is none.
func (p *Process) Resources() (descriptors int, residentKB int) {
	dir := fmt.Sprintf("/proc/%d", p.Cmd.Process.Pid)
	if l, err := os.ReadDir(dir + "/fd"); err == nil {
		descriptors = len(l)
	}
	text, err := os.ReadFile(dir + "/status")
	if err != nil {
		return descriptors, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		fmt.Sscanf(line, "VmRSS: %d kB", &residentKB)
	}
	return descriptors, residentKB
}

// CPU is the processor time that the program has used, from /proc; 0 where there is none.
func (p *Process) CPUTime() time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Cmd.Process.Pid))
	if err != nil {
		return 0
	}
	// After the name in brackets: the 12th and 13th fields are user and system time in ticks of 10 ms.
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	return time.Duration(user+system) * 10 * time.Millisecond
}
