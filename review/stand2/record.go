package stand2

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	ExitHeld   = 0
	ExitBroken = 1
	ExitNotRun = 2
)

// Record is what was sent, answered and run, a line each with its time.
type Record struct {
	began time.Time

	mu    sync.Mutex // guards lines
	lines []string
}

// NewRecord returns an empty record that begins now.
func NewRecord() *Record { return &Record{began: time.Now()} }

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	line := fmt.Sprintf("%9.3f s  ", time.Since(r.began).Seconds()) + fmt.Sprintf(format, args...)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line)
}

// At returns a time as the record shows it.
func (r *Record) At(t time.Time) string {
	if t.IsZero() {
		return "no time"
	}
	return fmt.Sprintf("%.3f s", t.Sub(r.began).Seconds())
}

// Write writes record.txt into the folder of the case: first the summary, then the lines.
func (r *Record) Write(folder string, summary []string) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := strings.Join(summary, "\n") + "\n\n" + strings.Join(r.lines, "\n") + "\n"
	return os.WriteFile(filepath.Join(folder, "record.txt"), []byte(text), 0o600)
}

// Finish writes the record, prints the summary and returns the exit code: ExitNotRun if the case could not run, ExitBroken if there
// are breaks of the rule.
func (r *Record) Finish(folder string, breaks, summary []string, err error) int {
	code := ExitHeld
	switch {
	case err != nil:
		summary = append(summary, "could not run: "+err.Error())
		code = ExitNotRun
	case len(breaks) > 0:
		summary = append(summary, fmt.Sprintf("the rule is broken, %d times", len(breaks)))
		code = ExitBroken
	default:
		summary = append(summary, "the rule holds")
	}
	summary = append(summary, breaks...)
	fmt.Println(strings.Join(summary, "\n"))
	if err := r.Write(folder, summary); err != nil {
		fmt.Println("record.txt:", err)
		return ExitNotRun
	}
	return code
}

// HasTrouble reports whether the script makes the disruption: always, unless TROUBLE=0.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }
