// Command simadapter runs decision modules (balancer.Balancer) for the simulator: it reads batches of events from standard
// input and writes one reply for each batch to standard output, in the format of internal/wire. Each simulated load
// balancer is an instance, with a decision module of its own. The program never reads the system clock: each batch has the
// simulated time.
package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/wire"
)

// usage is the help text.
const usage = `usage: simadapter < EVENTS > REPLIES

Runs decision modules for the simulator: it reads batches of events from standard input and writes one reply
for each batch to standard output, until the input ends. It has no flags but -h.

Example, an empty batch: printf 'sync\t1\neob\n' | simadapter

It exits with 1 at input that it cannot read; the reason is on standard error.
`

// exitFailed is the exit code for input that cannot be read.
const exitFailed = 1

func main() {
	if len(os.Args) == 2 && slices.Contains([]string{"-h", "--help"}, os.Args[1]) {
		fmt.Print(usage)
		return
	}
	if err := run(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintf(os.Stderr, "simadapter: %v\n", err)
		os.Exit(exitFailed)
	}
}

// run replies to batches until the input ends. It writes a reply at the end of its batch, so after an error in the batch
// nothing of it is written.
func run(in io.Reader, out io.Writer) error {
	decoder := wire.NewDecoder(in)
	a := newAdapter(out)
	for {
		m, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if err := a.handle(m); err != nil {
			return err
		}
	}
}

// adapter has the decision modules of the running instances, and the reply to the current batch.
type adapter struct {
	out     io.Writer
	modules map[int]*balancer.Balancer // by instance
	now     time.Duration              // simulated time of the current batch
	reply   bytes.Buffer
	encoder *wire.Encoder // writes to reply
}

// newAdapter returns an adapter without instances that writes its replies to out.
func newAdapter(out io.Writer) *adapter {
	a := &adapter{out: out, modules: map[int]*balancer.Balancer{}}
	a.encoder = wire.NewEncoder(&a.reply)
	return a
}

// handle handles one message of a batch.
func (a *adapter) handle(m wire.Message) error {
	switch m.Kind {
	case wire.BatchStart:
		a.now = m.Now
	case wire.InstanceStart:
		module, err := balancer.New(m.Settings, m.Seed)
		if err != nil {
			return fmt.Errorf("hello for instance %d: %w", m.Instance, err)
		}
		a.modules[m.Instance] = module
	case wire.InstanceStop:
		delete(a.modules, m.Instance)
	case wire.Event:
		return a.handleEvent(m)
	case wire.BatchEnd:
		return a.writeReply()
	case wire.Ignored: // not for decision modules
	}
	return nil
}

// handleEvent passes an event to the module of its instance, and adds the resulting actions to the reply.
func (a *adapter) handleEvent(m wire.Message) error {
	module := a.modules[m.Instance]
	if module == nil {
		return fmt.Errorf("event %T for instance %d before its hello", m.Event, m.Instance)
	}
	for _, action := range module.Handle(a.now, m.Event) {
		a.encoder.Action(m.Instance, action)
	}
	return nil
}

// writeReply writes the reply to a complete batch, and clears it for the next one.
func (a *adapter) writeReply() error {
	if err := a.encoder.Flush(); err != nil {
		return err
	}
	_, err := a.reply.WriteTo(a.out)
	return err
}
