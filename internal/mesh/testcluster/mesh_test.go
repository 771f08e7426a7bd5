package testcluster

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

	"cranegrade/internal/rig"
)

var programsDir string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "mesh")
	if err == nil {
		err = BuildPrograms(dir)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	programsDir = dir
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

const testTimeout = 20 * time.Second

// startCluster starts a mesh of real processes with two services and three routes.
func startCluster(t *testing.T, services ...string) *Cluster {
	t.Helper()
	return startPrograms(t, programsDir, services...)
}

// startPrograms is start with the programs of a folder.
func startPrograms(t *testing.T, from string, services ...string) *Cluster {
	t.Helper()
	dir := t.TempDir()
	for _, p := range []string{"sidecar", "controlplane"} {
		assert.NilError(t, os.Symlink(from+"/"+p, dir+"/"+p))
	}
	m, err := New(dir, 3, services...)
	if m != nil {
		t.Cleanup(m.Close)
		t.Cleanup(func() {
			if t.Failed() {
				for _, x := range append(append([]*Machine(nil), m.Members...), m.Sidecars...) {
					if x.Process != nil {
						t.Logf("%s:\n%s", x.Name, x.Process.Tail())
					}
				}
			}
		})
	}
	assert.NilError(t, err)
	m.applyRoutes(t, 1, RouteItem("read", "idempotent", "/read/", "stock", 1), RouteItem("send", "keyed", "/send/", "orders", 1), RouteItem("move", "idempotent", "/move/", "stock", 1))
	assert.Assert(t, m.AwaitReady(testTimeout), "the lines are not ready")
	return m
}

// applyRoutes has a configuration acknowledged by whichever register does.
func (m *Cluster) applyRoutes(t *testing.T, version int, routes ...map[string]any) *Machine {
	t.Helper()
	var by *Machine
	var last string
	ok := rig.Await(testTimeout, func() bool {
		for _, x := range m.Members {
			if x.Process == nil {
				continue
			}
			status, text := x.Modify(ModifyCall(version, []string{"stock", "orders"}, routes...))
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

// awaitConfigHas checks that a register reads back a text.
func (x *Machine) awaitConfigHas(t *testing.T, text string) {
	t.Helper()
	var got string
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		status, all := x.Fetch()
		got = all
		return status == 200
	}), got)
	assert.Assert(t, strings.Contains(got, text), got)
}

// awaitServed waits until a line serves a request, and gives the answer.
func (x *Machine) awaitServed(t *testing.T, method, path, key string) (told Response) {
	t.Helper()
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		told = x.Send(method, path, key, []byte("body"))
		return told.Status == 200
	}), "%v", told)
	return told
}

func (m *Cluster) assertNoViolations(t *testing.T) {
	t.Helper()
	assert.Assert(t, len(m.Recorder.Violations()) == 0, "%v", m.Recorder.Violations())
}

func TestServesAllRouteKinds(t *testing.T) {
	m := startCluster(t, "stock", "stock", "orders", "orders")
	for _, x := range m.Sidecars {
		got := x.awaitServed(t, "GET", "/read/a%20b?c=d&bytes=300000", "")
		assert.Assert(t, strings.HasPrefix(got.Body, "GET /read/a%20b?c=d&bytes=300000 i-side-"), got.Body[:60])
		assert.Assert(t, len(got.Body) > 300_000)
		assert.Equal(t, x.Send("GET", "/none/", "", nil).Status, 404)
		assert.Equal(t, x.Send("POST", "/send/x", "", nil).Status, 400, "a keyed request without its key")
	}
	// Once, and the first's answer to whoever comes again, by any line.
	first := m.Sidecars[0].awaitServed(t, "POST", "/send/x", "k1")
	for _, x := range m.Sidecars {
		again := x.awaitServed(t, "POST", "/send/x", "k1")
		assert.Equal(t, again.Body, first.Body)
		assert.Equal(t, again.Seal, first.Seal)
	}
	// An invalid call is refused whole; a change binds everywhere.
	status, text := m.Members[1].Modify(ModifyCall(2, nil, RouteItem("read", "idempotent", "/read/", "orders", 2), RouteItem("bad", "idempotent", "/bad/", "nobody", 2)))
	assert.Assert(t, status == 400 && strings.Contains(text, `route bad`) && strings.Contains(text, `nobody`), text)
	m.applyRoutes(t, 3, RouteItem("move", "idempotent", "/move/", "orders", 3))
	for _, x := range m.Sidecars {
		assert.Assert(t, rig.Await(testTimeout, func() bool {
			return strings.Contains(x.Send("GET", "/move/", "", nil).Body, "i-side-3") || strings.Contains(x.Send("GET", "/move/", "", nil).Body, "i-side-4")
		}))
		assert.Equal(t, x.Send("GET", "/bad/", "", nil).Status, 404)
	}
	m.assertNoViolations(t)
}

// Requests sent behind one another on a connection run at once, and are answered in their order: the server answers none
// until all of them are there.
func TestPipelinedRequestsRunConcurrently(t *testing.T) {
	m := startCluster(t, "stock", "orders")
	x := m.Sidecars[1]
	x.awaitServed(t, "GET", "/read/", "")
	m.Sidecars[0].App.HoldUntilConcurrent(4)
	c, err := net.Dial("tcp", x.Addr("Outbound"))
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
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
	m.assertNoViolations(t)
}

// A line that ends while the first of several requests on a connection still runs: the others' answers are there, and are not
// lost with it.
func TestShutdownKeepsPipelinedResponses(t *testing.T) {
	m := startCluster(t, "stock", "orders")
	x := m.Sidecars[1]
	x.awaitServed(t, "GET", "/read/", "")
	c, err := net.Dial("tcp", x.Addr("Outbound"))
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	ask := func(n int) {
		_, err := fmt.Fprintf(c, "GET /read/%d HTTP/1.1\r\nHost: %s\r\nAttempt-Id: ends-%d\r\nTime-Budget: 30000\r\n\r\n", n, Host, n)
		assert.NilError(t, err)
	}
	m.Sidecars[0].App.SetServiceTime(20 * time.Second)
	ask(0)
	assert.Assert(t, rig.Await(testTimeout, func() bool { return len(m.Recorder.Runs("ends-0")) == 1 }))
	m.Sidecars[0].App.SetServiceTime(time.Millisecond)
	ask(1)
	ask(2)
	assert.Assert(t, rig.Await(testTimeout, func() bool { return len(m.Recorder.Runs("ends-2")) == 1 }))
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
func TestConcurrentKeyRunsOnce(t *testing.T) {
	m := startCluster(t, "orders", "orders", "orders", "stock")
	m.Sidecars[1].App.SetBroken(true)
	var all sync.WaitGroup
	for n := range 30 {
		key := fmt.Sprint("key", n)
		var mu sync.Mutex
		bodies := map[string]bool{}
		for _, x := range m.Sidecars {
			for range 2 {
				all.Go(func() {
					if got := x.Send("POST", "/send/x", key, []byte("once")); got.Status == 200 {
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
	m.assertNoViolations(t)
}

// The register that acknowledged is killed at once, then its disk is lost, too; then another is replaced by one elsewhere,
// and at last all are killed. What was acknowledged stands, and keys stay held.
func TestMemberLossesKeepAcknowledgedState(t *testing.T) {
	m := startCluster(t, "orders", "stock")
	m.Sidecars[0].awaitServed(t, "POST", "/send/x", "kept")
	by := m.applyRoutes(t, 2, RouteItem("one", "idempotent", "/one/", "stock", 2))
	by.Kill()
	for _, x := range m.Members {
		if x != by {
			x.awaitConfigHas(t, `"/one/"`)
		}
	}
	assert.NilError(t, by.WipeDisk())
	assert.NilError(t, by.Start())
	by.awaitConfigHas(t, `"/one/"`)
	m.applyRoutes(t, 3, RouteItem("two", "idempotent", "/two/", "stock", 3))
	// Replaced: gone for good, an empty one at another address.
	gone := m.Members[0]
	gone.Kill()
	assert.NilError(t, gone.WipeDisk())
	added, err := m.AddMember(false)
	assert.NilError(t, err)
	added.awaitConfigHas(t, `"/two/"`)
	_, err = added.Process.Said(`"members":3`)
	assert.NilError(t, err)
	m.applyRoutes(t, 4, RouteItem("three", "idempotent", "/three/", "stock", 4))
	assert.Assert(t, rig.Await(testTimeout, func() bool { // it is one of them, not only an onlooker, in the place of the one that is gone
		for _, x := range m.Members[1:] {
			if members := x.loggedMembers(); len(members) != 3 || !members[added.IP] || members[gone.IP] {
				return false
			}
		}
		return true
	}))
	for _, x := range m.Members[1:] {
		x.Kill()
	}
	for _, x := range m.Members[1:] {
		assert.NilError(t, x.Start())
	}
	added.awaitConfigHas(t, `"/three/"`)
	m.Sidecars[1].awaitServed(t, "GET", "/three/", "")
	m.Sidecars[1].awaitServed(t, "POST", "/send/x", "kept")
	m.assertNoViolations(t)
}

// Lines and servers: one drains, one crashes, a line is killed; no request runs twice, and none goes to a server that drains.
func TestInstancesDrainCrashAndRestart(t *testing.T) {
	m := startCluster(t, "stock", "stock", "stock", "orders")
	stop := make(chan struct{})
	var all sync.WaitGroup
	for _, x := range m.Sidecars {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
					x.Send("GET", fmt.Sprint("/read/", n), "", nil)
				}
			}
		})
	}
	assert.Assert(t, m.Sidecars[0].App.Drain())
	for _, x := range m.Sidecars { // what was on its way has come; nothing new does
		for range 20 {
			got := x.Send("GET", "/read/after", "", nil)
			assert.Assert(t, got.Status != 200 || !strings.Contains(got.Body, m.Sidecars[0].App.Instance+" "))
		}
	}
	m.Sidecars[1].App.Crash()
	got := m.Sidecars[3].awaitServed(t, "GET", "/read/", "")
	assert.Assert(t, strings.Contains(got.Body, "i-side-3-1"))
	// A new life at the same address is another server; the line beside it learns by its beat.
	assert.NilError(t, m.Sidecars[1].StartApp())
	assert.Assert(t, rig.Await(testTimeout, func() bool { return strings.Contains(m.Sidecars[3].Send("GET", "/read/", "", nil).Body, "i-side-2-2") }))
	m.Sidecars[2].Kill()
	m.Sidecars[3].awaitServed(t, "GET", "/read/", "")
	assert.NilError(t, m.Sidecars[2].Start())
	assert.Assert(t, rig.Await(testTimeout, func() bool { return strings.Contains(m.Sidecars[3].Send("GET", "/read/", "", nil).Body, "i-side-3-1") }))
	close(stop)
	all.Wait()
	m.assertNoViolations(t)
}

// A leader whose process has ended is found out by its port, not by its silence; one that is frozen is not taken for ended.
func TestKilledLeaderIsDetectedByItsPort(t *testing.T) {
	m := startCluster(t, "orders", "stock")
	for _, kill := range []bool{false, true} {
		var by *Machine
		assert.Assert(t, rig.Await(testTimeout, func() bool {
			for _, x := range m.Members {
				if s, err := x.Status(); err == nil && s.IsLeader && s.QuorumContact {
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
		m.applyFrozenRoute(t, by, map[bool]int{false: 10, true: 11}[kill])
		found := false
		for _, x := range m.Members {
			found = found || x != by && strings.Contains(x.Process.Tail(), `"leader_address":"`+id+`","wait_ms"`)
		}
		assert.Equal(t, found, kill)
		if !kill {
			by.Process.Resume()
		}
		m.Sidecars[0].awaitServed(t, "POST", "/send/x", fmt.Sprint("found", kill))
	}
	m.assertNoViolations(t)
}

// A register that stands still is no home, and wakes as no leader.
func TestFrozenMemberIsReplaced(t *testing.T) {
	m := startCluster(t, "orders", "stock")
	for round := range 2 {
		by := m.Members[round]
		by.Process.Pause()
		m.applyFrozenRoute(t, by, 10+round)
		for _, x := range m.Sidecars {
			x.awaitServed(t, "GET", fmt.Sprintf("/frozen%d/", round), "")
			x.awaitServed(t, "POST", "/send/x", fmt.Sprint(x.Name, round))
		}
		by.Process.Resume()
		by.awaitConfigHas(t, fmt.Sprintf(`"/frozen%d/"`, round))
	}
	m.assertNoViolations(t)
}

// loggedMembers are the machines that a register last said to be the members, by IP.
func (x *Machine) loggedMembers() map[string]bool {
	said := x.Process.Tail()
	_, last, _ := strings.Cut(said[max(0, strings.LastIndex(said, `"member_addresses":[`)):], `"member_addresses":[`)
	last, _, _ = strings.Cut(last, "]")
	l := map[string]bool{}
	for _, addr := range strings.Split(last, ",") {
		ip, _, _ := strings.Cut(strings.Trim(addr, `"`), ":")
		l[ip] = true
	}
	return l
}

// applyFrozenRoute is change at the registers that run on.
func (m *Cluster) applyFrozenRoute(t *testing.T, but *Machine, version int) {
	t.Helper()
	all := m.Members
	m.Members = nil
	for _, x := range all {
		if x != but {
			m.Members = append(m.Members, x)
		}
	}
	m.applyRoutes(t, version, RouteItem(fmt.Sprint("frozen", version), "idempotent", fmt.Sprintf("/frozen%d/", version-10), "stock", version))
	m.Members = all
}

// A store whose bytes are turned is as a lost disk: the register says so, and is taken in again.
func TestCorruptedStoreIsRebuilt(t *testing.T) {
	m := startCluster(t, "orders", "stock")
	x := m.Members[2]
	x.Kill()
	dir := x.DataDir() + "/vault"
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
	_, err = x.Process.Said("store damaged, discarding it")
	assert.NilError(t, err)
	m.applyRoutes(t, 5, RouteItem("after", "idempotent", "/after/", "stock", 5))
	x.awaitConfigHas(t, `"/after/"`)
	m.assertNoViolations(t)
}

// Settings that change while a program runs are read, with SIGHUP and without: lines that start with seeds where nobody is
// come up once the file names others, in the life that they have.
func TestSettingsReload(t *testing.T) {
	m := startCluster(t, "stock", "orders")
	for n, hup := range []bool{true, false} {
		x := m.Sidecars[n]
		right := m.seeds
		x.Kill()
		assert.NilError(t, x.SetSeeds(m.subnet+".250:9"))
		assert.NilError(t, x.Start())
		var got Response
		assert.Assert(t, rig.Await(testTimeout, func() bool { got = x.Send("GET", "/read/", "", nil); return got.Status == 503 }), "%v", got)
		id := x.Process.Cmd.Process.Pid
		assert.NilError(t, x.SetSeeds(right...))
		if hup {
			assert.NilError(t, x.SignalReload())
		}
		x.awaitServed(t, "GET", "/read/", "")
		assert.Assert(t, !x.Process.Crashed() && x.Process.Cmd.Process.Pid == id)
	}
	m.assertNoViolations(t)
}

// The Limits in force bound heads and bodies of either form; what is within them is served.
func TestLimitsBoundRequests(t *testing.T) {
	m := startCluster(t, "stock", "orders")
	assert.Assert(t, rig.Await(testTimeout, func() bool {
		status, _ := m.Members[0].Modify([]byte(`{"Upsert":{"Limits":{"MaxHeaderBytes":2000,"MaxBodyBytes":100000,"HeaderTimeoutS":0.3,"IdleTimeoutS":60,"ConfigVersion":2}}}`))
		return status == 200
	}))
	x := m.Sidecars[0]
	say := func(head string, pieces ...string) *http.Response {
		c, err := net.Dial("tcp", x.Addr("Outbound"))
		assert.NilError(t, err)
		t.Cleanup(func() { c.Close() })
		assert.NilError(t, c.SetDeadline(time.Now().Add(testTimeout)))
		fmt.Fprintf(c, "%s\r\nHost: %s\r\nAttempt-Id: l%d\r\nTime-Budget: 3000\r\n", head, Host, m.attempts.Add(1))
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
	assert.Assert(t, rig.Await(testTimeout, func() bool { return status(431, "GET /read/ HTTP/1.1", "X: "+strings.Repeat("y", 2000)+"\r\n\r\n") }))
	chunk := "8000\r\n" + strings.Repeat("z", 0x8000) + "\r\n"
	chunked := "Transfer-Encoding: chunked\r\n\r\n"
	assert.Assert(t, status(413, "POST /read/ HTTP/1.1", "Content-Length: 100001\r\n\r\n"))
	assert.Assert(t, status(200, "POST /read/ HTTP/1.1", chunked, chunk, chunk, chunk, "0\r\n\r\n"), "98,304 bytes are within it")
	resp := say("POST /read/ HTTP/1.1", chunked, chunk, chunk, chunk, chunk, "0\r\n\r\n")
	assert.Assert(t, resp == nil || resp.StatusCode/100 != 2, "131,072 bytes are not")
	m.assertNoViolations(t)
}
