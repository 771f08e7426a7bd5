package testcluster

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// The member that acknowledged a change is killed at once, then its disk is lost, too. Then another member is replaced by one at another
// address, and finally all are killed. Acknowledged changes and granted leases survive.
func TestMemberLossesKeepAcknowledgedState(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "orders", "stock")
	m.Sidecars[0].awaitServed(t, "POST", "/send/x", "kept")
	by := m.applyRoutes(t, 2, RouteItem("one", "idempotent", "/one/", "stock", 2))
	by.Kill()
	for _, x := range m.membersExcept(by) {
		x.awaitConfigHas(t, `"/one/"`)
	}
	assert.NilError(t, by.WipeDisk())
	assert.NilError(t, by.Start())
	by.awaitConfigHas(t, `"/one/"`)
	m.applyRoutes(t, 3, RouteItem("two", "idempotent", "/two/", "stock", 3))
	added := m.replaceMember(t, m.Members[0])
	remaining := m.Members[1:]
	for _, x := range remaining {
		x.Kill()
	}
	for _, x := range remaining {
		assert.NilError(t, x.Start())
	}
	added.awaitConfigHas(t, `"/three/"`)
	m.Sidecars[1].awaitServed(t, "GET", "/three/", "")
	m.Sidecars[1].awaitServed(t, "POST", "/send/x", "kept")
	m.assertNoViolations(t)
}

// replaceMember removes a member for good, starts one with an empty disk at another address, and waits until that is a voter instead.
func (m *Cluster) replaceMember(t *testing.T, lost *Machine) (added *Machine) {
	t.Helper()
	lost.Kill()
	assert.NilError(t, lost.WipeDisk())
	added, err := m.AddMember(false)
	assert.NilError(t, err)
	added.awaitConfigHas(t, `"/two/"`)
	_, err = added.Process.AwaitLogged(`"members":3`)
	assert.NilError(t, err)
	m.applyRoutes(t, 4, RouteItem("three", "idempotent", "/three/", "stock", 4))
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		for _, x := range m.membersExcept(lost) {
			if members := x.memberIPs(); len(members) != 3 || !members[added.IP] || members[lost.IP] {
				return false
			}
		}
		return true
	}))
	return added
}

// memberIPs returns the addresses of the members according to one of them, or nil if it does not answer.
func (x *Machine) memberIPs() map[string]bool {
	status, err := x.Status()
	if err != nil {
		return nil
	}
	ips := map[string]bool{}
	for _, member := range status.Members {
		ip, _, _ := strings.Cut(member.Addr, ":")
		ips[ip] = true
	}
	return ips
}

// The end of a leader's process is detected by its closed port, without waiting for its silence. A frozen leader is not mistaken for one
// that has ended.
func TestKilledLeaderIsDetectedByItsPort(t *testing.T) {
	t.Parallel()
	for _, x := range []struct {
		name    string
		version int
		fault   func(leader *Machine)
		undo    func(leader *Machine)
		found   bool
	}{
		{"frozen", 10, func(leader *Machine) { leader.Process.Pause() }, func(leader *Machine) { leader.Process.Resume() }, false},
		{"killed", 11, func(leader *Machine) { leader.Kill() }, func(*Machine) {}, true},
	} {
		t.Run(x.name, func(t *testing.T) {
			runParallel(t)
			m := startCluster(t, "orders", "stock")
			leader := m.awaitLeader(t)
			addr := leader.Process.Addr
			x.fault(leader)
			m.applyRouteWithout(t, leader, x.version)
			found := false
			for _, other := range m.membersExcept(leader) {
				found = found || strings.Contains(other.Process.Tail(), `"leader_address":"`+addr+`","wait_ms"`)
			}
			assert.Equal(t, found, x.found)
			x.undo(leader)
			m.Sidecars[0].awaitServed(t, "POST", "/send/x", "found")
			m.assertNoViolations(t)
		})
	}
}

// No sidecar follows a frozen member, and a member that continues after a freeze does not lead.
func TestFrozenMemberIsReplaced(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "orders", "stock")
	for round := range 2 {
		frozen := m.Members[round]
		frozen.Process.Pause()
		path := m.applyRouteWithout(t, frozen, 10+round)
		for _, x := range m.Sidecars {
			x.awaitServed(t, "GET", path, "")
			x.awaitServed(t, "POST", "/send/x", fmt.Sprint(x.Name, round))
		}
		frozen.Process.Resume()
		frozen.awaitConfigHas(t, `"`+path+`"`)
	}
	m.assertNoViolations(t)
}

// applyRouteWithout applies a route by the members other than one, and returns its path.
func (m *Cluster) applyRouteWithout(t *testing.T, frozen *Machine, version int) (path string) {
	t.Helper()
	name := fmt.Sprint("frozen", version)
	path = "/" + name + "/"
	call := ModifyCall(version, []string{"stock", "orders"}, RouteItem(name, "idempotent", path, "stock", version))
	m.awaitAcknowledged(t, m.membersExcept(frozen), call)
	return path
}

// A corrupt store is treated like a lost disk: the member reports it, and joins again.
func TestCorruptedStoreIsRebuilt(t *testing.T) {
	runParallel(t)
	m := startCluster(t, "orders", "stock")
	x := m.Members[2]
	x.Kill()
	corruptStore(t, filepath.Join(x.DataDir(), "vault"))
	assert.NilError(t, x.Start())
	_, err := x.Process.AwaitLogged("store damaged, discarding it")
	assert.NilError(t, err)
	m.applyRoutes(t, 5, RouteItem("after", "idempotent", "/after/", "stock", 5))
	x.awaitConfigHas(t, `"/after/"`)
	m.assertNoViolations(t)
}

// corruptStore flips bits in two thirds of each data file.
func corruptStore(t *testing.T, dir string) {
	t.Helper()
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	for _, f := range files {
		name := f.Name()
		if !strings.HasSuffix(name, ".log") && !strings.HasSuffix(name, ".ldb") && !strings.HasPrefix(name, "MANIFEST") {
			continue
		}
		path := filepath.Join(dir, name)
		text, err := os.ReadFile(path)
		assert.NilError(t, err)
		for i := len(text) / 3; i < len(text); i += 97 {
			text[i] ^= 0x41
		}
		assert.NilError(t, os.WriteFile(path, text, 0o600))
	}
}
