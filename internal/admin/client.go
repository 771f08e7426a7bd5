package admin

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
)

// maxAnswer bounds the bytes of an answer that the client reads.
const maxAnswer = 4 << 10

// errNotReadAsWritten says that a command would be read as another one.
var errNotReadAsWritten = errors.New("it would be read as another call")

// Send sends a command to a node's command port and returns the answer: ok says whether the node has executed it, text what
// holds now or why not. An error says that no answer came before ctx ended.
func Send(ctx context.Context, addr string, c Command) (ok bool, text string, err error) {
	if err := checkSendable(c); err != nil {
		return false, "", fmt.Errorf("%q is no call: %w", c, err)
	}
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, "", err
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { conn.Close() }) // ends the reads and writes below
	defer stop()
	if _, err := io.WriteString(conn, c.String()+"\n"); err != nil {
		return false, "", err
	}
	answer, err := bufio.NewReaderSize(io.LimitReader(conn, maxAnswer), maxAnswer).ReadString('\n')
	if err != nil {
		return false, "", fmt.Errorf("no whole answer from %s: %w", addr, err)
	}
	code, text, _ := strings.Cut(strings.TrimSpace(answer), " ")
	if code != codeOK && code != codeRejected {
		return false, "", fmt.Errorf("%s answers %.60q", addr, answer)
	}
	return code == codeOK, text, nil
}

// checkSendable returns an error unless the node will read the command as it is.
func checkSendable(c Command) error {
	parsed, err := Parse(c.String())
	if err == nil && parsed != c {
		err = errNotReadAsWritten
	}
	return err
}
