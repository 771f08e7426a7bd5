// Package admin is where operators call a running node: one line to a connection, one line back that begins with
// 200 or 400. It shares nothing with requests: no queue, no budget and no lock that is held over I/O.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// Verb is what a call asks for.
type Verb string

// Verbs.
const (
	Check    Verb = "check"
	SetDown  Verb = "set-down"
	SetUp    Verb = "set-up"
	DrainOn  Verb = "drain-on"
	DrainOff Verb = "drain-off"
)

// arguments of each verb.
var arguments = map[Verb]string{Check: "", SetDown: "the id of a server", SetUp: "the id of a server", DrainOn: "", DrainOff: ""}

// Call is what an operator asks for.
type Call struct {
	Verb Verb
	ID   string // of a server, where the verb names one
}

// MaxLine is the most bytes of a call, with its end.
const MaxLine = 512

// Why a line is no call.
var (
	ErrLong   = fmt.Errorf("the line is longer than %d bytes", MaxLine)
	ErrEmpty  = errors.New("the line is empty: check, set-down ID, set-up ID, drain-on or drain-off")
	ErrBinary = errors.New("the line has bytes that are no printable characters")
)

// Parse reads a line, without its end.
func Parse(line string) (Call, error) {
	if len(line) > MaxLine {
		return Call{}, ErrLong
	}
	for _, c := range []byte(line) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Call{}, ErrBinary
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Call{}, ErrEmpty
	}
	c := Call{Verb: Verb(words[0])}
	argument, known := arguments[c.Verb]
	switch {
	case !known:
		return Call{}, fmt.Errorf("no call %.40q: check, set-down ID, set-up ID, drain-on or drain-off", words[0])
	case argument == "" && len(words) > 1:
		return Call{}, fmt.Errorf("%s takes no argument", c.Verb)
	case argument != "" && len(words) != 2:
		return Call{}, fmt.Errorf("%s takes one argument, %s", c.Verb, argument)
	case argument != "":
		c.ID = words[1]
	}
	return c, nil
}
