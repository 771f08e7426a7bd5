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

// sampleState is a state with a server that is down by an administrative override.
func sampleState() State {
	s := State{Version: Version, At: 5, Seen: []uint64{1, 1 << 63}, Pools: []Pool{{
		Name: "p", ListVersion: "41",
		Servers:   []ListedServer{{ID: "a", Addr: "127.0.0.1:1", State: balancer.Draining, StartedAt: 7}},
		Knowledge: &balancer.Knowledge{Window: 3},
	}}}
	if err := s.AdminState.SetServer("a", true, 9); err != nil {
		panic(err)
	}
	return s
}

func writeFile(t *testing.T, path, text string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

func TestSaveLoad(t *testing.T) {
	dir := t.TempDir()
	if s, err := Load(dir); err != nil || len(s.AdminState.Servers) > 0 {
		t.Fatalf("without a file: %+v, %v", s, err)
	}
	for range 2 {
		if err := Save(dir, sampleState()); err != nil {
			t.Fatal(err)
		}
	}
	s, err := Load(dir)
	if err != nil || !s.AdminState.IsDown("a") || s.Seen[1] != 1<<63 {
		t.Errorf("%+v, %v", s, err)
	}
	if files, err := os.ReadDir(dir); err != nil || len(files) != 1 {
		t.Errorf("%d files are left, %v", len(files), err)
	}
}

func TestLoadRejectsInvalidFiles(t *testing.T) {
	dir := t.TempDir()
	if err := Save(dir, sampleState()); err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, fileName)
	complete, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	for name, text := range map[string]string{
		"torn":            string(complete[:len(complete)/2]),
		"empty":           "",
		"another version": `{"version":99}`,
		"not JSON":        "\x00\xff",
		"too long":        `{"version":1,"x":"` + strings.Repeat("x", maxFileBytes) + `"}`,
	} {
		t.Run(name, func(t *testing.T) {
			writeFile(t, path, text)
			if s, err := Load(dir); err == nil || len(s.AdminState.Servers) > 0 {
				t.Errorf("%+v, %v", s.AdminState, err)
			}
		})
	}
}

func TestLoadIgnoresUnknownFields(t *testing.T) {
	dir := t.TempDir()
	writeFile(t, filepath.Join(dir, fileName), `{"version":1,"later":{"x":[1]},"orders":{"servers":{"b":{"on":true,"at":1}}}}`)
	if s, err := Load(dir); err != nil || !s.AdminState.IsDown("b") {
		t.Errorf("%+v, %v", s, err)
	}
}

func TestLoadRejectsSymbolicLink(t *testing.T) {
	dir := t.TempDir()
	if err := os.Symlink("/dev/zero", filepath.Join(dir, fileName)); err != nil {
		t.Fatal(err)
	}
	if _, err := Load(dir); err == nil {
		t.Error("a symbolic link was read")
	}
}

// FuzzParse: a state that is accepted is accepted again after it was encoded.
func FuzzParse(f *testing.F) {
	text, err := json.Marshal(sampleState())
	if err != nil {
		f.Fatal(err)
	}
	f.Add(text)
	f.Add([]byte(`{"version":1,"pools":[{"servers":[{"id":"a","state":7}]}]}`))
	f.Add([]byte(`{"version":1,"orders":{"servers":{"":{"at":-1}}},"pools":[{"knowledge":{"window":-1}}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			return
		}
		encoded, err := json.Marshal(s)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := Parse(encoded); err != nil {
			t.Fatalf("%q was accepted and %q is not: %v", text, encoded, err)
		}
	})
}

// A successor gets the state and a listener on the same queue. Changes of either side are in effect on the
// other before they are confirmed, and the end of either is noticed.
func TestTakeover(t *testing.T) {
	for name, dir := range map[string]string{
		"short path": t.TempDir(),
		"long path":  filepath.Join(t.TempDir(), strings.Repeat("x", 120)),
	} {
		t.Run(name, func(t *testing.T) {
			if err := os.MkdirAll(dir, 0o700); err != nil {
				t.Fatal(err)
			}
			testTakeover(t, dir)
		})
	}
}

func testTakeover(t *testing.T, dir string) {
	t.Helper()
	if _, err := Connect(dir); !errors.Is(err, ErrNoPredecessor) {
		t.Fatalf("without a predecessor: %v", err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	links := make(chan *Link, 1)
	serving, toOld, toNew := make(chan bool, 1), make(chan adminstate.State, 1), make(chan adminstate.State, 1)
	state := func() (State, []*net.TCPListener) { return sampleState(), []*net.TCPListener{l.(*net.TCPListener)} }
	server, err := Listen(dir, state, func(link *Link) {
		link.Start(Handlers{Serving: func() { serving <- true }, AdminState: func(s adminstate.State) { toOld <- s }})
		links <- link
	})
	if err != nil {
		t.Fatal(err)
	}
	p, err := Connect(dir)
	if err != nil {
		t.Fatal(err)
	}
	defer p.CloseUnclaimed()
	p.Link.Start(Handlers{AdminState: func(s adminstate.State) { toNew <- s }})
	if p.State.Pools[0].Knowledge.Window != 3 || !p.State.AdminState.IsDown("a") {
		t.Errorf("received %+v", p.State)
	}
	checkInheritedListener(t, p, l)
	old := testkit.Wait(t, links)
	if err := p.Link.SendServing(); err != nil || !testkit.Wait(t, serving) {
		t.Error(err)
	}
	draining := adminstate.State{Drain: adminstate.Override{On: true, At: 1}}
	if err := old.SendAdminState(draining); err != nil || !testkit.Wait(t, toNew).Drain.On {
		t.Error(err)
	}
	if err := p.Link.SendAdminState(draining); err != nil || !testkit.Wait(t, toOld).Drain.On {
		t.Error(err)
	}
	old.Close()
	testkit.Wait(t, p.Link.Done())
	if err := p.Link.SendAdminState(adminstate.State{}); err != nil {
		t.Errorf("a process that has ended does not have to confirm: %v", err)
	}
	server.Close()
	if _, err := Connect(dir); !errors.Is(err, ErrNoPredecessor) {
		t.Errorf("with the socket of a process that has ended: %v", err)
	}
}

// checkInheritedListener checks that the successor accepts connections to the predecessor's listener, which
// it closes.
func checkInheritedListener(t *testing.T, p *Predecessor, predecessors net.Listener) {
	t.Helper()
	if p.Listener("127.0.0.1:1") != nil {
		t.Error("a listener of another address")
	}
	inherited := p.Listener(predecessors.Addr().String())
	if inherited == nil {
		t.Fatal("no listener")
	}
	defer inherited.Close()
	predecessors.Close() // connections that come from now on are the successor's
	client, err := net.Dial("tcp", inherited.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	accepted, err := inherited.Accept()
	if err != nil {
		t.Fatal(err)
	}
	accepted.Close()
}

// What is in the directory and is no predecessor, or one that is silent or sends nonsense, does not hold up
// a successor for long.
func TestInvalidPredecessors(t *testing.T) {
	t.Parallel()
	write := func(c net.Conn, text string) { _, _ = io.WriteString(c, text) }
	for name, serve := range map[string]func(c net.Conn){
		"silent":             func(c net.Conn) { _, _ = io.Copy(io.Discard, c) },
		"closes":             func(c net.Conn) { c.Close() },
		"not JSON":           func(c net.Conn) { write(c, "\x00\x00\x00\x05hello") },
		"huge":               func(c net.Conn) { write(c, "\xff\xff\xff\xffhello") },
		"torn":               func(c net.Conn) { write(c, "\x00\x00\x00\x20{\"version\":1}"); c.Close() },
		"another version":    func(c net.Conn) { write(c, "\x00\x00\x00\x0d{\"version\":7}") },
		"without its socket": func(c net.Conn) { write(c, "\x00\x00\x00\x1f{\"version\":1,\"listeners\":[\"a\"]}") },
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
			if p, err := Connect(dir); err == nil || errors.Is(err, ErrNoPredecessor) {
				t.Errorf("%+v, %v", p, err)
			}
		})
	}
	t.Run("regular file", func(t *testing.T) {
		t.Parallel()
		dir := t.TempDir()
		writeFile(t, filepath.Join(dir, socketName), "")
		if _, err := Connect(dir); err == nil || errors.Is(err, ErrNoPredecessor) {
			t.Errorf("%v", err)
		}
	})
}

// A successor that sends nothing, or nonsense, keeps others from taking over no longer than the handshake's
// time-out.
func TestInvalidSuccessors(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	links := make(chan *Link, 1)
	state := func() (State, []*net.TCPListener) { return sampleState(), nil }
	server, err := Listen(dir, state, func(link *Link) { link.Start(Handlers{}); links <- link })
	if err != nil {
		t.Fatal(err)
	}
	defer server.Close()
	for _, text := range []string{"nonsense\n", `{"version":9}` + "\n", strings.Repeat("x", 1000)} {
		c, err := net.Dial("unix", filepath.Join(dir, socketName))
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		fmt.Fprint(c, text)
		if err := c.SetReadDeadline(time.Now().Add(testkit.Limit)); err != nil {
			t.Fatal(err)
		}
		if b, _ := io.ReadAll(c); len(b) > 0 { // the connection may be reset
			t.Errorf("%.20q is answered by %q", text, b)
		}
	}
	p, err := Connect(dir)
	if err != nil {
		t.Fatal(err)
	}
	p.Link.Close()
	testkit.Wait(t, testkit.Wait(t, links).Done())
}
