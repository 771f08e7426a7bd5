package stage

import (
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"syscall"
	"time"
)

// maxRunTime is how long a script runs at most.
const maxRunTime = 110 * time.Second

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// defaultServices are the services of the machines, as in the deployment saman-push.
var defaultServices = []string{
	"dispatch", "dispatch", "dispatch", "dispatch", "devicebook", "devicebook", "devicebook", "devicebook",
}

// Main plays a case with the programs in the folder of the first argument, and writes the record to the file of the second one. With TROUBLE=0
// the case comes without its disruption. It returns the exit code.
func Main(run func(trouble bool, mesh *Mesh) (broken []string, err error)) int {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "arguments: the folder of the built programs, and the file of the record")
		return exitNotRun
	}
	file, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer func() { _ = file.Close() }() // the exit code tells the result
	record := NewRecord(file)
	mesh := NewMesh(os.Args[1], record, defaultServices...)
	defer mesh.Close()
	endInTime(mesh)
	var broken []string
	if err = mesh.Start(); err == nil {
		broken, err = run(os.Getenv("TROUBLE") != "0", mesh)
	}
	if err != nil {
		record.Note("script", "can't run: %v", err)
		fmt.Println("can't run:", err)
		return exitNotRun
	}
	for _, text := range broken {
		record.Note("script", "BROKEN: %s", text)
		fmt.Println("BROKEN:", text)
	}
	if len(broken) > 0 {
		return exitBroken
	}
	record.Note("script", "the rule held")
	fmt.Println("the rule held")
	return exitHeld
}

// endInTime ends the script with all its processes after maxRunTime, or when it is told to end.
func endInTime(mesh *Mesh) {
	ended := make(chan os.Signal, 1)
	signal.Notify(ended, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case <-ended:
		case <-time.After(maxRunTime):
		}
		mesh.Record.Note("script", "is ended before the case has")
		mesh.Close()
		os.Exit(exitNotRun)
	}()
}

// Twice returns the keys of which two requests ran within the window.
func Twice(record *Record, window time.Duration) (broken []string) {
	first := map[string]Run{}
	for _, run := range record.Runs() {
		if run.Key == "" {
			continue
		}
		earlier, found := first[run.Key]
		if found && run.At-earlier.At < window {
			broken = append(broken, fmt.Sprintf("TWICE: key %s ran as %s at %s after %.3f s, and as %s at %s after %.3f s", run.Key,
				earlier.Attempt, earlier.Instance, earlier.At.Seconds(), run.Attempt, run.Instance, run.At.Seconds()))
		}
		if !found {
			first[run.Key] = run
		}
	}
	return broken
}

// minRetryPause is the pause of a client that is not told one.
const minRetryPause = 50 * time.Millisecond

// RetryAfter returns how long a client waits before it tries again.
func RetryAfter(answer Answer) time.Duration {
	seconds, err := strconv.ParseFloat(answer.RetryAfter, 64)
	if err != nil {
		return minRetryPause
	}
	return max(minRetryPause, time.Duration(seconds*float64(time.Second)))
}
