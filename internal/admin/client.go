package admin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"strings"
)

// Send makes a call at a node's operators' port: yes and the node's words, or why not. An error says that there was no
// answer.
func Send(ctx context.Context, addr string, c Command) (yes bool, text string, err error) {
	line := strings.TrimSpace(string(c.Verb) + " " + c.ID)
	if again, err := Parse(line); err != nil || again != c {
		return false, "", fmt.Errorf("%q is no call: %v", line, err)
	}
	var d net.Dialer
	nc, err := d.DialContext(ctx, "tcp", addr)
	if err != nil {
		return false, "", err
	}
	defer nc.Close()
	stop := context.AfterFunc(ctx, func() { nc.Close() })
	defer stop()
	if _, err := io.WriteString(nc, line+"\n"); err != nil {
		return false, "", err
	}
	answer, err := bufio.NewReaderSize(io.LimitReader(nc, 4<<10), 4<<10).ReadString('\n')
	if err != nil {
		return false, "", fmt.Errorf("no whole answer from %s: %w", addr, err)
	}
	code, text, _ := strings.Cut(strings.TrimSpace(answer), " ")
	if code != "200" && code != "400" {
		return false, "", fmt.Errorf("%s answers %.60q", addr, answer)
	}
	return code == "200", text, nil
}
