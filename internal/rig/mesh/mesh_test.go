package mesh

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/rig"
)

var programs string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mesh")
	if err == nil {
		err = Build(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programs = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const patience = 20 * time.Second

// start starts a mesh of real processes with two services and three routes.
func start(t *testing.T, services ...string) *Mesh {
	t.Helper()
	return startPrograms(t, programs, services...)
}

// startPrograms is start with the programs of a folder.
func startPrograms(t *testing.T, from string, services ...string) *Mesh {
	t.Helper()
	dir := t.TempDir()
	for _, p := range []string{"line", "register"} {
		assert.NilError(t, os.Symlink(from+"/"+p, dir+"/"+p))
	}
	m, err := New(dir, 3, services...)
	if m != nil {
		t.Cleanup(m.Close)
		t.Cleanup(func() {
			if t.Failed() {
				for _, x := range append(append([]*Machine(nil), m.Registers...), m.Lines...) {
					if x.Process != nil {
						t.Logf("%s:\n%s", x.Name, x.Process.Tail())
					}
				}
			}
		})
	}
	assert.NilError(t, err)
	m.change(t, 1, Route("read", "idempotent", "/read/", "stock", 1), Route("send", "keyed", "/send/", "orders", 1), Route("move", "idempotent", "/move/", "stock", 1))
	assert.Assert(t, m.Ready(patience), "the lines are not ready")
	return m
}

// change has a configuration acknowledged by whichever register does.
func (m *Mesh) change(t *testing.T, version int, routes ...map[string]any) *Machine {
	t.Helper()
	var by *Machine
	var last string
	ok := rig.Await(patience, func() bool {
		for _, x := range m.Registers {
			if x.Process == nil {
				continue
			}
			status, text := x.Operate(Modify(version, []string{"stock", "orders"}, routes...))
			if status == 200 {
				by = x
				return true
			}
			last = text
		}
		return false
	})
	assert.Assert(t, ok, last)
	return by
}

// holds checks that a register reads back a text.
func (x *Machine) holds(t *testing.T, text string) {
	t.Helper()
	var got string
	assert.Assert(t, rig.Await(patience, func() bool {
		status, all := x.Fetch()
		got = all
		return status == 200
	}), got)
	assert.Assert(t, strings.Contains(got, text), got)
}

// served waits until a line serves a request, and gives the answer.
func (x *Machine) served(t *testing.T, method, path, key string) (told Told) {
	t.Helper()
	assert.Assert(t, rig.Await(patience, func() bool {
		told = x.Call(method, path, key, []byte("body"))
		return told.Status == 200
	}), "%v", told)
	return told
}

func (m *Mesh) clean(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(m.Record.Faults()) == 0, "%v", m.Record.Faults())
}

func TestServes(t *testing.T) {
	m := start(t, "stock", "stock", "orders", "orders")
	for _, x := range m.Lines {
		got := x.served(t, "GET", "/read/a%20b?c=d&bytes=300000", "")
		assert.Assert(t, strings.HasPrefix(got.Body, "GET /read/a%20b?c=d&bytes=300000 i-side-"), got.Body[:60])
		assert.Assert(t, len(got.Body) > 300_000)
		assert.Equal(t, x.Call("GET", "/none/", "", nil).Status, 404)
		assert.Equal(t, x.Call("POST", "/send/x", "", nil).Status, 400, "a keyed request without its key")
	}
	// Once, and the first's answer to whoever comes again, by any line.
	first := m.Lines[0].served(t, "POST", "/send/x", "k1")
	for _, x := range m.Lines {
		again := x.served(t, "POST", "/send/x", "k1")
		assert.Equal(t, again.Body, first.Body)
		assert.Equal(t, again.Seal, first.Seal)
	}
	// An invalid call is refused whole; a change binds everywhere.
	status, text := m.Registers[1].Operate(Modify(2, nil, Route("read", "idempotent", "/read/", "orders", 2), Route("bad", "idempotent", "/bad/", "nobody", 2)))
	assert.Assert(t, status == 400 && strings.Contains(text, `route bad`) && strings.Contains(text, `nobody`), text)
	m.change(t, 3, Route("move", "idempotent", "/move/", "orders", 3))
	for _, x := range m.Lines {
		assert.Assert(t, rig.Await(patience, func() bool {
			return strings.Contains(x.Call("GET", "/move/", "", nil).Body, "i-side-3") || strings.Contains(x.Call("GET", "/move/", "", nil).Body, "i-side-4")
		}))
		assert.Equal(t, x.Call("GET", "/bad/", "", nil).Status, 404)
	}
	m.clean(t)
}

// Requests sent behind one another on a connection run at once, and are answered in their order: the server answers none
// until all of them are there.
func TestBehindOneAnother(t *testing.T) {
	m := start(t, "stock", "orders")
	x := m.Lines[1]
	x.served(t, "GET", "/read/", "")
	m.Lines[0].App.Together(4)
	c, err := net.Dial("tcp", x.At("Outbound"))
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	for n := range 4 {
		_, err := fmt.Fprintf(c, "GET /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: behind-%d\r\nTime-Budget: 3000\r\n\r\n", n, Host, n)
		assert.NilError(t, err)
	}
	r := bufio.NewReader(c)
	for n := range 4 {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err)
		text, err := io.ReadAll(resp.Body)
		assert.NilError(t, err)
		assert.Assert(t, resp.StatusCode == 200 && resp.Header.Get("Attempt-Id") == fmt.Sprint("behind-", n), "%v %s", resp, text)
		assert.Assert(t, strings.HasPrefix(string(text), fmt.Sprintf("GET /read/%d ", n)))
	}
	m.clean(t)
}

// A line that ends while the first of several requests on a connection still runs: the others' answers are there, and are not
// lost with it.
func TestEndBehindOne(t *testing.T) {
	m := start(t, "stock", "orders")
	x := m.Lines[1]
	x.served(t, "GET", "/read/", "")
	c, err := net.Dial("tcp", x.At("Outbound"))
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
	ask := func(n int) {
		_, err := fmt.Fprintf(c, "GET /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: ends-%d\r\nTime-Budget: 30000\r\n\r\n", n, Host, n)
		assert.NilError(t, err)
	}
	m.Lines[0].App.Work(20 * time.Second)
	ask(0)
	assert.Assert(t, rig.Await(patience, func() bool { return len(m.Record.Runs("ends-0")) == 1 }))
	m.Lines[0].App.Work(time.Millisecond)
	ask(1)
	ask(2)
	assert.Assert(t, rig.Await(patience, func() bool { return len(m.Record.Runs("ends-2")) == 1 }))
	assert.NilError(t, x.Process.Cmd.Process.Signal(syscall.SIGTERM))
	r := bufio.NewReader(c)
	for n := range 3 {
		resp, err := http.ReadResponse(r, nil)
		assert.NilError(t, err, "answer %d", n)
		io.Copy(io.Discard, resp.Body)
		assert.Equal(t, resp.Header.Get("Attempt-Id"), fmt.Sprint("ends-", n))
		assert.Equal(t, resp.StatusCode, map[bool]int{true: 502, false: 200}[n == 0])
	}
}

// The same key at all lines at once, its server breaking some: at most one run, and one answer for all.
func TestOneKey(t *testing.T) {
	m := start(t, "orders", "orders", "orders", "stock")
	m.Lines[1].App.Break(true)
	var all sync.WaitGroup
	for n := range 30 {
		key := fmt.Sprint("key", n)
		var mu sync.Mutex
		bodies := map[string]bool{}
		for _, x := range m.Lines {
			for range 2 {
				all.Go(func() {
					if got := x.Call("POST", "/send/x", key, []byte("once")); got.Status == 200 {
						mu.Lock()
						defer mu.Unlock()
						bodies[got.Body] = true
					}
				})
			}
		}
		all.Wait()
		assert.Assert(t, len(bodies) <= 1, "%v", bodies)
	}
	m.clean(t)
}

// The register that acknowledged is killed at once, then its disk is lost, too; then another is replaced by one elsewhere,
// and at last all are killed. What was acknowledged stands, and keys stay held.
func TestCoreLosses(t *testing.T) {
	m := start(t, "orders", "stock")
	m.Lines[0].served(t, "POST", "/send/x", "kept")
	by := m.change(t, 2, Route("one", "idempotent", "/one/", "stock", 2))
	by.Kill()
	for _, x := range m.Registers {
		if x != by {
			x.holds(t, `"/one/"`)
		}
	}
	assert.NilError(t, by.Wipe())
	assert.NilError(t, by.Start())
	by.holds(t, `"/one/"`)
	m.change(t, 3, Route("two", "idempotent", "/two/", "stock", 3))
	// Replaced: gone for good, an empty one at another address.
	gone := m.Registers[0]
	gone.Kill()
	assert.NilError(t, gone.Wipe())
	added, err := m.AddRegister(false)
	assert.NilError(t, err)
	added.holds(t, `"/two/"`)
	_, err = added.Process.Said(`"members":3`)
	assert.NilError(t, err)
	m.change(t, 4, Route("three", "idempotent", "/three/", "stock", 4))
	assert.Assert(t, rig.Await(patience, func() bool { // it is one of them, not only an onlooker, in the place of the one that is gone
		for _, x := range m.Registers[1:] {
			if members := x.members(); len(members) != 3 || !members[added.IP] || members[gone.IP] {
				return false
			}
		}
		return true
	}))
	for _, x := range m.Registers[1:] {
		x.Kill()
	}
	for _, x := range m.Registers[1:] {
		assert.NilError(t, x.Start())
	}
	added.holds(t, `"/three/"`)
	m.Lines[1].served(t, "GET", "/three/", "")
	m.Lines[1].served(t, "POST", "/send/x", "kept")
	m.clean(t)
}

// Lines and servers: one drains, one crashes, a line is killed; no request runs twice, and none goes to a server that drains.
func TestServersLeave(t *testing.T) {
	m := start(t, "stock", "stock", "stock", "orders")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, x := range m.Lines {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					x.Call("GET", fmt.Sprint("/read/", n), "", nil)
				}
			}
		})
	}
	assert.Assert(t, m.Lines[0].App.Drain())
	for _, x := range m.Lines { // what was on its way has come; nothing new does
		for range 20 {
			got := x.Call("GET", "/read/after", "", nil)
			assert.Assert(t, got.Status != 200 || !strings.Contains(got.Body, m.Lines[0].App.Instance+" "))
		}
	}
	m.Lines[1].App.Crash()
	got := m.Lines[3].served(t, "GET", "/read/", "")
	assert.Assert(t, strings.Contains(got.Body, "i-side-3-1"))
	// A new life at the same address is another server; the line beside it learns by its beat.
	assert.NilError(t, m.Lines[1].StartApp())
	assert.Assert(t, rig.Await(patience, func() bool { return strings.Contains(m.Lines[3].Call("GET", "/read/", "", nil).Body, "i-side-2-2") }))
	m.Lines[2].Kill()
	m.Lines[3].served(t, "GET", "/read/", "")
	assert.NilError(t, m.Lines[2].Start())
	assert.Assert(t, rig.Await(patience, func() bool { return strings.Contains(m.Lines[3].Call("GET", "/read/", "", nil).Body, "i-side-3-1") }))
	close(stop)
	all.Wait()
	m.clean(t)
}

// A leader whose process has ended is found out by its port, not by its silence; one that is frozen is not taken for ended.
func TestKilledLeaderIsFoundOut(t *testing.T) {
	m := start(t, "orders", "stock")
	for _, kill := range []bool{false, true} {
		var by *Machine
		assert.Assert(t, rig.Await(patience, func() bool {
			for _, x := range m.Registers {
				if s, err := x.Status(); err == nil && s.Leads && s.Touch {
					by = x
				}
			}
			return by != nil
		}))
		id := by.Process.Addr
		if kill {
			by.Kill()
		} else {
			by.Process.Pause()
		}
		m.change2(t, by, map[bool]int{false: 10, true: 11}[kill])
		found := false
		for _, x := range m.Registers {
			found = found || x != by && strings.Contains(x.Process.Tail(), `"addr":"`+id+`","wait"`)
		}
		assert.Equal(t, found, kill)
		if !kill {
			by.Process.Resume()
		}
		m.Lines[0].served(t, "POST", "/send/x", fmt.Sprint("found", kill))
	}
	m.clean(t)
}

// A register that stands still is no home, and wakes as no leader.
func TestFrozen(t *testing.T) {
	m := start(t, "orders", "stock")
	for round := range 2 {
		by := m.Registers[round]
		by.Process.Pause()
		m.change2(t, by, 10+round)
		for _, x := range m.Lines {
			x.served(t, "GET", fmt.Sprintf("/frozen%d/", round), "")
			x.served(t, "POST", "/send/x", fmt.Sprint(x.Name, round))
		}
		by.Process.Resume()
		by.holds(t, fmt.Sprintf(`"/frozen%d/"`, round))
	}
	m.clean(t)
}

// members are the machines that a register last said to be the members, by IP.
func (x *Machine) members() map[string]bool {
	said := x.Process.Tail()
	_, last, _ := strings.Cut(said[max(0, strings.LastIndex(said, `"addrs":[`)):], `"addrs":[`)
	last, _, _ = strings.Cut(last, "]")
	l := map[string]bool{}
	for _, addr := range strings.Split(last, ",") {
		ip, _, _ := strings.Cut(strings.Trim(addr, `"`), ":")
		l[ip] = true
	}
	return l
}

// change2 is change at the registers that run on.
func (m *Mesh) change2(t *testing.T, but *Machine, version int) {
	t.Helper()
	all := m.Registers
	m.Registers = nil
	for _, x := range all {
		if x != but {
			m.Registers = append(m.Registers, x)
		}
	}
	m.change(t, version, Route(fmt.Sprint("frozen", version), "idempotent", fmt.Sprintf("/frozen%d/", version-10), "stock", version))
	m.Registers = all
}

// A store whose bytes are turned is as a lost disk: the register says so, and is taken in again.
func TestDamagedStore(t *testing.T) {
	m := start(t, "orders", "stock")
	x := m.Registers[2]
	x.Kill()
	dir := x.Data() + "/vault"
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	for _, f := range files {
		if strings.HasSuffix(f.Name(), ".log") || strings.HasSuffix(f.Name(), ".ldb") || strings.HasPrefix(f.Name(), "MANIFEST") {
			text, err := os.ReadFile(dir + "/" + f.Name())
			assert.NilError(t, err)
			for i := len(text) / 3; i < len(text); i += 97 {
				text[i] ^= 0x41
			}
			assert.NilError(t, os.WriteFile(dir+"/"+f.Name(), text, 0o600))
		}
	}
	assert.NilError(t, x.Start())
	_, err = x.Process.Said("can't be opened; it is begun anew")
	assert.NilError(t, err)
	m.change(t, 5, Route("after", "idempotent", "/after/", "stock", 5))
	x.holds(t, `"/after/"`)
	m.clean(t)
}

// Settings that change while a program runs are read, with SIGHUP and without: lines that start with seeds where nobody is
// come up once the file names others, in the life that they have.
func TestSettingsChange(t *testing.T) {
	m := start(t, "stock", "orders")
	for n, hup := range []bool{true, false} {
		x := m.Lines[n]
		right := m.seeds
		x.Kill()
		assert.NilError(t, x.Seeds(m.net+".250:9"))
		assert.NilError(t, x.Start())
		var got Told
		assert.Assert(t, rig.Await(patience, func() bool { got = x.Call("GET", "/read/", "", nil); return got.Status == 503 }), "%v", got)
		id := x.Process.Cmd.Process.Pid
		assert.NilError(t, x.Seeds(right...))
		if hup {
			assert.NilError(t, x.Hup())
		}
		x.served(t, "GET", "/read/", "")
		assert.Assert(t, !x.Process.Crashed() && x.Process.Cmd.Process.Pid == id)
	}
	m.clean(t)
}

// The Limits in force bound heads and bodies of either form; what is within them is served.
func TestLimits(t *testing.T) {
	m := start(t, "stock", "orders")
	assert.Assert(t, rig.Await(patience, func() bool {
		status, _ := m.Registers[0].Operate([]byte(`{"Upsert":{"Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":100000,"HeaderTimeoutS":0.3,"IdleTimeoutS":60,"ConfigVersion":2}}}`))
		return status == 200
	}))
	x := m.Lines[0]
	say := func(head string, pieces ...string) *http.Response {
		c, err := net.Dial("tcp", x.At("Outbound"))
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(patience)))
		fmt.Fprintf(c, "%s\r\nHost: %s\r\nAttempt-Id: l%d\r\nTime-Budget: 3000\r\n", head, Host, m.asked.Add(1))
		for _, p := range pieces {
			io.WriteString(c, p) // whether it is taken is told by the answer
		}
		resp, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			return nil
		}
		return resp
	}
	status := func(want int, head string, pieces ...string) bool {
		resp := say(head, pieces...)
		return resp != nil && resp.StatusCode == want
	}
	assert.Assert(t, rig.Await(patience, func() bool { return status(431, "GET /read/ HTTP/1.1", "X: "+strings.Repeat("y", 2000)+"\r\n\r\n") }))
	chunk := "8000\r\n" + strings.Repeat("z", 0x8000) + "\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	assert.Assert(t, status(413, "POST /read/ HTTP/1.1", "Content-Length: 100001\r\n\r\n"))
	assert.Assert(t, status(200, "POST /read/ HTTP/1.1", chunked, chunk, chunk, chunk, "0\r\n\r\n"), "98,304 bytes are within it")
	resp := say("POST /read/ HTTP/1.1", chunked, chunk, chunk, chunk, chunk, "0\r\n\r\n")
	assert.Assert(t, resp == nil || resp.StatusCode/100 != 2, "131,072 bytes are not")
	m.clean(t)
}
