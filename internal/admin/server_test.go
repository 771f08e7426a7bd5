package admin

import (
	"bufio"
	"errors"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

// Parse reads each verb with its argument, whatever the white space, and rejects everything else.
func TestParse(t *testing.T) {
	for line, want := range map[string]Command{
		"check": {Verb: Check}, " set-down  s-1 ": {SetDown, "s-1"}, "set-up\ts-1": {SetUp, "s-1"},
		"drain-on": {Verb: DrainOn}, "drain-off": {Verb: DrainOff},
	} {
		if c, err := Parse(line); err != nil || c != want {
			t.Errorf("%q: %+v, %v", line, c, err)
		}
	}
	for _, line := range []string{"", "  ", "chec", "CHECK", "check now", "set-down", "set-up a b", "set-down \x00", "drain-on s", strings.Repeat("x", MaxLine+1)} {
		if c, err := Parse(line); err == nil {
			t.Errorf("%q: %+v", line, c)
		}
	}
}

// FuzzParse: an error fits into the one line of an answer, and a command is read again as it was.
func FuzzParse(f *testing.F) {
	for _, s := range []string{"check", "set-down s", "set-up \xff", "drain-on x", "\x00"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		c, err := Parse(s)
		if err != nil {
			if strings.ContainsAny(err.Error(), "\r\n") {
				t.Fatalf("the answer to %q has more than one line: %q", s, err)
			}
			return
		}
		for _, text := range []string{c.String(), string(c.Verb) + " " + c.ID} {
			if again, err := Parse(text); err != nil || again != c {
				t.Fatalf("%q: %+v, then %+v of %q, %v", s, c, again, text, err)
			}
		}
	})
}

// start serves until the test ends.
func start(t *testing.T, h Handler) *Server {
	t.Helper()
	p, err := Listen("127.0.0.1:0", h)
	if err != nil {
		t.Fatal(err)
	}
	go p.Serve()
	t.Cleanup(p.Close)
	return p
}

// dial opens a connection that lasts until the test ends.
func dial(t *testing.T, p *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", p.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	c.SetDeadline(time.Now().Add(testkit.Limit))
	return c
}

// echo answers with the command, and refuses those for the server "no".
func echo(c Command) (string, error) {
	if c.ID == "no" {
		return "", errors.New("none such")
	}
	return string(c.Verb) + c.ID, nil
}

// Each line gets one answer, whatever follows it and however it is cut into segments; half a line gets none.
func TestEachLineGetsOneAnswer(t *testing.T) {
	t.Parallel()
	p := start(t, echo)
	for text, want := range map[string]string{
		"check\n": "200 check\n", "set-down s\r\n": "200 set-downs\n", "set-up no\n": "400 none such\n",
		"what\n": "400 ", "check\ncheck\n": "200 check\n", "\n": "400 ", "\x00\n": "400 ", strings.Repeat("x", 5*MaxLine): "400 ",
	} {
		c := dial(t, p)
		go io.WriteString(c, text)
		answer, err := io.ReadAll(c)
		if err != nil || !strings.HasPrefix(string(answer), want) || strings.Count(string(answer), "\n") != 1 {
			t.Errorf("%.20q: %q, %v", text, answer, err)
		}
	}
	c := dial(t, p)
	for _, b := range []byte("check\r\n") {
		c.Write([]byte{b})
	}
	if s, err := bufio.NewReader(c).ReadString('\n'); err != nil || s != "200 check\n" {
		t.Errorf("byte by byte: %q, %v", s, err)
	}
	half := dial(t, p)
	io.WriteString(half, "drain-on")
	half.(*net.TCPConn).CloseWrite()
	if s, err := io.ReadAll(half); err != nil || len(s) > 0 {
		t.Errorf("half a command: %q, %v", s, err)
	}
}

// Connections without a complete command are closed in favour of new ones, the one silent longest first. A connection whose
// command is being executed is not closed.
func TestSilentConnectionsGiveWay(t *testing.T) {
	t.Parallel()
	began, release := make(chan struct{}), make(chan struct{})
	p := start(t, func(c Command) (string, error) {
		if c.Verb == DrainOn {
			close(began)
			<-release
		}
		return echo(c)
	})
	busy := dial(t, p)
	io.WriteString(busy, "drain-on\n")
	testkit.Wait(t, began)
	var silent []net.Conn
	for i := range 5 * MaxConnections {
		c := dial(t, p)
		io.WriteString(c, "che"[:i%3])
		silent = append(silent, c)
	}
	c := dial(t, p)
	io.WriteString(c, "check\n")
	if s, err := bufio.NewReader(c).ReadString('\n'); err != nil || s != "200 check\n" {
		t.Errorf("after the silent ones: %q, %v", s, err)
	}
	if s, _ := io.ReadAll(silent[0]); len(s) > 0 {
		t.Errorf("the connection silent longest got %q", s)
	}
	close(release)
	if s, err := bufio.NewReader(busy).ReadString('\n'); err != nil || s != "200 drain-on\n" {
		t.Errorf("the command that was being executed: %q, %v", s, err)
	}
}
