// Package admin is the port where operators control a running node. A connection carries one command as a
// line of text and is answered with one line that begins with 200 or 400. It shares nothing with requests: no
// queue, no budget and no lock that is held over I/O, so that a node under overload still answers. It never
// decides what a command does: a Handler that the node provides does.
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

// Command is what an operator asks for.
type Command struct {
	Verb Verb
	ID   string // of a server, where the verb names one
}

// MaxLine is the most bytes of a call, with its end.
const MaxLine = 512

// Why a line is no call.
var (
	ErrTooLong     = fmt.Errorf("the line is longer than %d bytes", MaxLine)
	ErrEmpty       = errors.New("the line is empty: check, set-down ID, set-up ID, drain-on or drain-off")
	ErrUnprintable = errors.New("the line has bytes that are no printable characters")
)

// Parse reads a line, without its end.
func Parse(line string) (Command, error) {
	if len(line) > MaxLine {
		return Command{}, ErrTooLong
	}
	for _, c := range []byte(line) {
		if c < ' ' && c != '\t' || c == 0x7f {
			return Command{}, ErrUnprintable
		}
	}
	words := strings.Fields(line)
	if len(words) == 0 {
		return Command{}, ErrEmpty
	}
	c := Command{Verb: Verb(words[0])}
	argument, known := arguments[c.Verb]
	switch {
	case !known:
		return Command{}, fmt.Errorf("no call %.40q: check, set-down ID, set-up ID, drain-on or drain-off", words[0])
	case argument == "" && len(words) > 1:
		return Command{}, fmt.Errorf("%s takes no argument", c.Verb)
	case argument != "" && len(words) != 2:
		return Command{}, fmt.Errorf("%s takes one argument, %s", c.Verb, argument)
	case argument != "":
		c.ID = words[1]
	}
	return c, nil
}
