package testfleet

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	awaitInterval   = 5 * time.Millisecond
	listenTimeout   = 20 * time.Second // until the program listens
	logTimeout      = 10 * time.Second // until the program has logged a line
	stopTimeout     = 10 * time.Second // from SIGTERM to SIGKILL
	pauseTimeout    = time.Second      // until a process is stopped
	maxLogLines     = 400              // that are kept of what a process logs
	clockTick       = 10 * time.Millisecond
	loggedListening = " listening on " // followed by the address, in the program's log
)

// Await calls condition until it holds, for as long as limit, and reports whether it did.
func Await(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); !condition(); time.Sleep(awaitInterval) {
		if time.Now().After(end) {
			return false
		}
	}
	return true
}

// Process is a running process of the real program. All methods may be called from any goroutine.
type Process struct {
	Cmd    *exec.Cmd
	Config string        // path of its file
	Addr   string        // that it listens on; the first one if there are several
	Exited chan struct{} // closed once the process has ended

	mu       sync.Mutex // guards the fields below
	lines    []string   // the latest of the log
	stopping bool       // it was told to end
}

// Start starts the program with a file and waits until it listens.
func Start(path, config string) (*Process, error) {
	return StartCommand(exec.Command(path, "-config", config), config)
}

// StartCommand is Start for a command of the caller's own.
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
	go p.readLog(stderr, listening)
	select {
	case p.Addr = <-listening:
		return p, nil
	case <-p.Exited:
		return nil, errors.New("the program ended at once:\n" + p.Tail())
	case <-time.After(listenTimeout):
		p.Stop()
		return nil, errors.New("the program does not listen:\n" + p.Tail())
	}
}

// readLog keeps the process's log, sends the first address that it listens on, and waits for the end of the process.
func (p *Process) readLog(stderr io.Reader, listening chan<- string) {
	lines := bufio.NewScanner(stderr)
	for lines.Scan() {
		p.addLine(lines.Text())
		if _, addr, found := strings.Cut(lines.Text(), loggedListening); found {
			select {
			case listening <- addr:
			default:
			}
		}
	}
	_ = p.Cmd.Wait() // the exit code is in Cmd.ProcessState
	close(p.Exited)
}

func (p *Process) addLine(line string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.lines = append(p.lines, line); len(p.lines) > maxLogLines {
		p.lines = p.lines[1:]
	}
}

// Tail returns the latest lines of the process's log.
func (p *Process) Tail() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return strings.Join(p.lines, "\n")
}

// AwaitLogged waits for a line of the log that contains text, and returns what follows it on that line.
func (p *Process) AwaitLogged(text string) (rest string, err error) {
	if Await(logTimeout, func() bool {
		_, after, found := strings.Cut(p.Tail(), text)
		rest, _, _ = strings.Cut(after, "\n")
		return found
	}) {
		return rest, nil
	}
	return "", fmt.Errorf("the program does not log %q", text)
}

// Crashed reports whether the process ended without being told to.
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

// MarkStopping notes that the process is told to end, so that its end is no crash.
func (p *Process) MarkStopping() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stopping = true
}

// Stop ends the process by SIGTERM and waits for its end; after a time-out it kills it. A paused process is resumed.
func (p *Process) Stop() {
	p.MarkStopping()
	p.signal(syscall.SIGTERM)
	p.signal(syscall.SIGCONT)
	select {
	case <-p.Exited:
	case <-time.After(stopTimeout):
		p.Kill()
	}
}

// Kill ends the process by SIGKILL and waits for its end.
func (p *Process) Kill() {
	p.MarkStopping()
	p.signal(syscall.SIGKILL)
	<-p.Exited
}

// Pause stops the process by SIGSTOP until Resume, and returns once it stands still.
func (p *Process) Pause() {
	p.signal(syscall.SIGSTOP)
	Await(pauseTimeout, func() bool {
		state, err := p.stat()
		return err != nil || strings.HasPrefix(state, "T")
	})
}

// Resume continues a paused process.
func (p *Process) Resume() { p.signal(syscall.SIGCONT) }

// signal sends a signal. It fails only where the process has ended, of which Exited tells.
func (p *Process) signal(s os.Signal) { _ = p.Cmd.Process.Signal(s) }

// Resources returns how many file descriptors the process has open, and its resident memory, from /proc; zeros where there is none.
func (p *Process) Resources() (descriptors, residentKB int) {
	if files, err := os.ReadDir(p.procPath("fd")); err == nil {
		descriptors = len(files)
	}
	text, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		return descriptors, 0
	}
	for _, line := range strings.Split(string(text), "\n") {
		if _, err := fmt.Sscanf(line, "VmRSS: %d kB", &residentKB); err == nil {
			break
		}
	}
	return descriptors, residentKB
}

// CPUTime returns the processor time that the process has used, from /proc; 0 where there is none.
func (p *Process) CPUTime() time.Duration {
	stat, err := p.stat()
	if err != nil {
		return 0
	}
	// The 12th and 13th fields after the name are user and system time in clock ticks (proc_pid_stat(5)).
	fields := strings.Fields(stat)
	if len(fields) < 13 {
		return 0
	}
	user, userErr := strconv.Atoi(fields[11])
	system, systemErr := strconv.Atoi(fields[12])
	if userErr != nil || systemErr != nil {
		return 0
	}
	return time.Duration(user+system) * clockTick
}

// stat returns the fields of /proc/PID/stat that follow the program's name, the first of which is the process's state.
func (p *Process) stat() (string, error) {
	text, err := os.ReadFile(p.procPath("stat"))
	if err != nil {
		return "", err
	}
	_, fields, _ := strings.Cut(string(text), ") ")
	return fields, nil
}

func (p *Process) procPath(file string) string {
	return fmt.Sprintf("/proc/%d/%s", p.Cmd.Process.Pid, file)
}
