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

// workerExitTimeout is how long a worker may take to end once its input is closed.
const workerExitTimeout = 3 * time.Second

// workerProcess is a worker in a process of its own.
type workerProcess struct {
	cmd       *exec.Cmd
	in        io.WriteCloser
	lines     *bufio.Scanner
	mu        sync.Mutex // held over a call, so that there is one at a time
	closeOnce sync.Once
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
	w.in = in
	w.lines = bufio.NewScanner(out)
	w.lines.Buffer(nil, maxLineBytes)
	// In a process group of its own, a worker is not reached by an interrupt from the terminal: the orchestrator ends it in order.
	w.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return w, w.cmd.Start()
}

func (w *workerProcess) pid() int { return w.cmd.Process.Pid }

// call sends a request to the worker and waits for its response. It may be called from any goroutine.
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
		return r, fmt.Errorf("response of a worker: %w", err)
	}
	if r.Err != "" {
		return r, errors.New(r.Err)
	}
	return r, nil
}

// close ends the worker by closing its input, and kills it if it does not end in time. It may be called again.
func (w *workerProcess) close() {
	w.closeOnce.Do(func() {
		w.in.Close()
		kill := time.AfterFunc(workerExitTimeout, func() { _ = w.cmd.Process.Kill() }) // it fails if the worker has just ended
		defer kill.Stop()
		_ = w.cmd.Wait() // how a worker ends does not matter any more
	})
}
