package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/adminstate"
	"cranegrade/internal/testkit"
)

func sample() State {
	s := State{Version: Version, At: 5, Seen: []uint64{1, 1 << 63}, Pools: []Pool{{
		Name: "p", ListVersion: "41",
		Servers: []ListedServer{{ID: "a", Addr: "127.0.0.1:1", State: balancer.Draining, StartedAt: 7}}, Knowledge: &balancer.Knowledge{Window: 3},
	}}}
	s.AdminState.SetServer("a", true, 9)
	return s
}

func TestSaveLoad(t *testing.T) {
	dir := t.TempDir()
	if s, err := Load(dir); err != nil || len(s.AdminState.Servers) > 0 {
		t.Fatalf("of nothing: %+v, %v", s, err)
	}
	for range 2 {
		if err := Save(dir, sample()); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Load(dir)
	if err != nil || !s.AdminState.IsDown("a") || s.Seen[1] != 1<<63 {
		t.Errorf("%+v, %v", s, err)
	}
	if l, _ := os.ReadDir(dir); len(l) != 1 {
		t.Errorf("%d files are left", len(l))
	}
	whole, _ := os.ReadFile(filepath.Join(dir, fileName))
	for name, text := range map[string]string{
		"torn": string(whole[:len(whole)/2]), "empty": "", "of another version": `{"version":99}`,
		"nonsense": "\x00\xff", "long": `{"version":1,"x":"` + strings.Repeat("x", maxFileBytes) + `"}`,
	} {
		os.WriteFile(filepath.Join(dir, fileName), []byte(text), 0o600)
		if s, err := Load(dir); err == nil || len(s.AdminState.Servers) > 0 {
			t.Errorf("%s: %+v, %v", name, s.AdminState, err)
		}
	}
	os.WriteFile(filepath.Join(dir, fileName), []byte(`{"version":1,"later":{"x":[1]},"orders":{"servers":{"b":{"on":true,"at":1}}}}`), 0o600)
	if s, err := Load(dir); err != nil || !s.AdminState.IsDown("b") {
		t.Errorf("with a field of a later build: %+v, %v", s, err)
	}
	os.Remove(filepath.Join(dir, fileName))
	os.Symlink("/dev/zero", filepath.Join(dir, fileName))
	if _, err := Load(dir); err == nil {
		t.Error("a link to elsewhere was read")
	}
}

func FuzzParse(f *testing.F) {
	text, _ := json.Marshal(sample())
	f.Add(text)
	f.Add([]byte(`{"version":1,"pools":[{"servers":[{"id":"a","state":7}]}]}`))
	f.Add([]byte(`{"version":1,"orders":{"servers":{"":{"at":-1}}},"pools":[{"knowledge":{"window":-1}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		again, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(again); err != nil {
			t.Fatalf("%q was taken and %q is not: %v", text, again, err)
		}
	})
}

// A successor gets the state and a listener from the same queue; each side's orders reach the other before they are
// confirmed, and the end of either is noticed.
func TestJoin(t *testing.T) {
	for name, dir := range map[string]string{"short": t.TempDir(), "long": filepath.Join(t.TempDir(), strings.Repeat("x", 120))} {
		t.Run(name, func(t *testing.T) {
			os.MkdirAll(dir, 0o700)
			if _, err := Connect(dir); !errors.Is(err, ErrNoPredecessor) {
				t.Fatalf("of nobody: %v", err)
			}
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			links := make(chan *Link, 1)
			serving, orders1, orders2 := make(chan bool, 1), make(chan adminstate.State, 1), make(chan adminstate.State, 1)
			s, err := Listen(dir, func() (State, []*net.TCPListener) { return sample(), []*net.TCPListener{l.(*net.TCPListener)} }, func(k *Link) {
				k.Start(Handlers{Serving: func() { serving <- true }, AdminState: func(s adminstate.State) { orders1 <- s }})
				links <- k
			})
			if err != nil {
				t.Fatal(err)
			}
			j, err := Connect(dir)
			if err != nil {
				t.Fatal(err)
			}
			defer j.CloseUnclaimed()
			j.Link.Start(Handlers{AdminState: func(s adminstate.State) { orders2 <- s }})
			if j.State.Pools[0].Knowledge.Window != 3 || !j.State.AdminState.IsDown("a") {
				t.Errorf("told %+v", j.State)
			}
			if j.Listener("127.0.0.1:1") != nil {
				t.Error("a listener of another address")
			}
			mine := j.Listener(l.Addr().String())
			if mine == nil {
				t.Fatal("no listener")
			}
			defer mine.Close()
			l.Close() // what comes from now on is the successor's
			c, err := net.Dial("tcp", mine.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			if a, err := mine.Accept(); err != nil {
				t.Error(err)
			} else {
				a.Close()
			}
			old := testkit.Wait(t, links)
			if err := j.Link.SendServing(); err != nil || !testkit.Wait(t, serving) {
				t.Error(err)
			}
			if err := old.SendAdminState(adminstate.State{Drain: adminstate.Override{On: true, At: 1}}); err != nil || !testkit.Wait(t, orders2).Drain.On {
				t.Error(err)
			}
			if err := j.Link.SendAdminState(adminstate.State{Drain: adminstate.Override{On: true, At: 1}}); err != nil || !testkit.Wait(t, orders1).Drain.On {
				t.Error(err)
			}
			old.Close()
			testkit.Wait(t, j.Link.Done())
			if err := j.Link.SendAdminState(adminstate.State{}); err != nil {
				t.Errorf("one that is gone owes nothing: %v", err)
			}
			s.Close()
			if _, err := Connect(dir); !errors.Is(err, ErrNoPredecessor) {
				t.Errorf("of one that is dead: %v", err)
			}
		})
	}
}

// What stands in the directory and is no predecessor, or one that is silent or talks nonsense, holds nobody up for long.
func TestOddPredecessors(t *testing.T) {
	t.Parallel()
	for name, serve := range map[string]func(c net.Conn){
		"silent":    func(c net.Conn) { io.Copy(io.Discard, c) },
		"gone":      func(c net.Conn) { c.Close() },
		"nonsense":  func(c net.Conn) { io.WriteString(c, "\x00\x00\x00\x05hello") },
		"huge":      func(c net.Conn) { io.WriteString(c, "\xff\xff\xff\xffhello") },
		"torn":      func(c net.Conn) { io.WriteString(c, "\x00\x00\x00\x20{\"version\":1}"); c.Close() },
		"another's": func(c net.Conn) { io.WriteString(c, "\x00\x00\x00\x0d{\"version\":7}") },
		"promises":  func(c net.Conn) { io.WriteString(c, "\x00\x00\x00\x1f{\"version\":1,\"listeners\":[\"a\"]}") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			dir := t.TempDir()
			l, err := net.Listen("unix", filepath.Join(dir, socketName))
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				if c, err := l.Accept(); err == nil {
					serve(c)
				}
			}()
			if j, err := Connect(dir); err == nil || errors.Is(err, ErrNoPredecessor) {
				t.Errorf("%+v, %v", j, err)
			}
		})
	}
	dir := t.TempDir()
	os.WriteFile(filepath.Join(dir, socketName), nil, 0o600)
	if _, err := Connect(dir); err == nil || errors.Is(err, ErrNoPredecessor) {
		t.Errorf("of a file: %v", err)
	}
}

// One that joins and says nothing, or nonsense, keeps no other from joining for longer than its time.
func TestOddSuccessors(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	joined := make(chan *Link, 1)
	s, err := Listen(dir, func() (State, []*net.TCPListener) { return sample(), nil }, func(k *Link) { k.Start(Handlers{}); joined <- k })
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	for _, text := range []string{"nonsense\n", `{"version":9}` + "\n", strings.Repeat("x", 1000)} {
		c, err := net.Dial("unix", filepath.Join(dir, socketName))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, text)
		c.SetReadDeadline(time.Now().Add(testkit.Limit))
		if b, _ := io.ReadAll(c); len(b) > 0 {
			t.Errorf("%.20q hears %q", text, b)
		}
	}
	j, err := Connect(dir)
	if err != nil {
		t.Fatal(err)
	}
	j.Link.Close()
	testkit.Wait(t, testkit.Wait(t, joined).Done())
}
