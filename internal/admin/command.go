// Package admin is the command port of a node, where operators control it while it runs, and the client for it. A
// connection carries one command as a line of text and is answered by one line that begins with 200 or 400
// (docs/operators-port.md).
//
// The port shares nothing with requests, neither queue nor budget nor a lock that is held over I/O, so that a node under
// overload still answers. The package never decides what a command does: that is up to the Handler.
//
// The node owns its Server, whose methods may be called from any goroutine; the Handler runs on a goroutine of each
// connection. Send is for the operator's side and shares nothing with a Server.
package admin

import (
	"errors"
	"fmt"
	"strings"
)

// Verb says what a command does.
type Verb string

// The verbs.
const (
	Check    Verb = "check"     // does the node accept requests?
	SetDown  Verb = "set-down"  // send no more requests to a server
	SetUp    Verb = "set-up"    // revoke a set-down
	DrainOn  Verb = "drain-on"  // send callers to other nodes
	DrainOff Verb = "drain-off" // revoke a drain-on
)

// serverArgument is the argument of the verbs that concern one server.
const serverArgument = "the id of a server"

// arguments describes the argument of each verb. It is empty for a verb that takes none.
var arguments = map[Verb]string{
	Check:    "",
	SetDown:  serverArgument,
	SetUp:    serverArgument,
	DrainOn:  "",
	DrainOff: "",
}

// Command is what an operator asks for.
type Command struct {
	Verb Verb
	ID   string // of a server; empty unless the verb takes one
}

// String returns the command as a line, without its end.
func (c Command) String() string { return strings.TrimSpace(string(c.Verb) + " " + c.ID) }

// asciiDelete is the control character above the printable ones.
const asciiDelete = 0x7f

// MaxLine bounds the bytes of a command's line, with its end.
const MaxLine = 512

// Why a line is no command. Their texts are answers to operators.
var (
	ErrTooLong     = fmt.Errorf("the line is longer than %d bytes", MaxLine)
	ErrEmpty       = errors.New("the line is empty: check, set-down ID, set-up ID, drain-on or drain-off")
	ErrUnprintable = errors.New("the line has bytes that are no printable characters")
)

// Parse reads a line without its end. The text of an error has no line break, so that it can be an answer.
func Parse(line string) (Command, error) {
	if len(line) > MaxLine {
		return Command{}, ErrTooLong
	}
	for _, c := range []byte(line) {
		if c < ' ' && c != '\t' || c == asciiDelete {
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
