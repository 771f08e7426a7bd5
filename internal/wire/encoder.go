package wire

import (
	"bufio"
	"fmt"
	"io"
	"strconv"
	"time"

	"cranegrade/balancer"
)

const writeBufferBytes = 1 << 16

// Encoder writes replies. Errors of the writer are returned by Flush.
type Encoder struct {
	w        *bufio.Writer
	instance int // that the last action was of, or noInstance
}

// NewEncoder returns an Encoder that writes to w.
func NewEncoder(w io.Writer) *Encoder {
	return &Encoder{w: bufio.NewWriterSize(w, writeBufferBytes), instance: noInstance}
}

// Action adds one action of an instance to the reply. Actions that the simulator does not have are left out.
func (e *Encoder) Action(instance int, a balancer.Action) {
	if instance != e.instance {
		fmt.Fprintf(e.w, "%s\t%d\n", nameReplyAddress, instance)
		e.instance = instance
	}
	switch a := a.(type) {
	case balancer.Send:
		fmt.Fprintf(e.w, "%s\t%s\t%s\t%s\n", nameSend, a.ID, a.Server, formatMilliseconds(a.Timeout))
	case balancer.Cancel:
		fmt.Fprintf(e.w, "%s\t%s\t%d\n", nameCancel, a.ID, a.Attempt)
	case balancer.Reject:
		fmt.Fprintf(e.w, "%s\t%s\t%s\n", nameReject, a.ID, formatMilliseconds(a.RetryAfter))
	case balancer.Fail:
		fmt.Fprintf(e.w, "%s\t%s\n", nameFail, a.ID)
	case balancer.Wake:
		fmt.Fprintf(e.w, "%s\t%s\t%s\n", nameWake, formatMilliseconds(a.At), a.Token)
	case balancer.Subscribe:
		fmt.Fprintf(e.w, "%s\t1\n", nameSubscribe)
	}
}

// Flush ends the reply and writes it out.
func (e *Encoder) Flush() error {
	e.instance = noInstance
	fmt.Fprintf(e.w, "%s\n", nameReplyEnd)
	return e.w.Flush()
}

func formatMilliseconds(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', -1, 64)
}
