package scale

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// endWithin is how long a worker may take to end by itself.
const endWithin = 3 * time.Second

// workerProcess is a worker in a process of its own.
type workerProcess struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	lines *bufio.Scanner
	mu    sync.Mutex // held over a call: one at a time
	once  sync.Once
}

// startWorker starts this program again as a worker.
func startWorker(program, kind string) (*workerProcess, error) {
	w := &workerProcess{cmd: exec.Command(program, "worker", kind)}
	w.cmd.Stderr = os.Stderr
	in, err := w.cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := w.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	w.in, w.lines = in, bufio.NewScanner(out)
	w.lines.Buffer(nil, longestLine)
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // a terminal's interrupt reaches the orchestrator, which ends it in order
	return w, w.cmd.Start()
}

func (w *workerProcess) pid() int { return w.cmd.Process.Pid }

// call asks the worker and waits for its answer.
func (w *workerProcess) call(q request) (r response, err error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	text, err := json.Marshal(q)
	if err != nil {
		return r, err
	}
	if _, err := w.in.Write(append(text, '\n')); err != nil {
		return r, fmt.Errorf("a worker has ended: %w", err)
	}
	if !w.lines.Scan() {
		return r, fmt.Errorf("a worker has ended: %w", errors.Join(w.lines.Err(), io.ErrUnexpectedEOF))
	}
	if err := json.Unmarshal(w.lines.Bytes(), &r); err != nil {
		return r, err
	}
	if r.Err != "" {
		return r, errors.New(r.Err)
	}
	return r, nil
}

// close ends the worker: by closing its input, and if that does not help by a signal.
func (w *workerProcess) close() {
	w.once.Do(func() {
		w.in.Close()
		late := time.AfterFunc(endWithin, func() { w.cmd.Process.Kill() })
		defer late.Stop()
		w.cmd.Wait()
	})
}
