package cli

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/testfleet"
)

const testTimeout = 20 * time.Second

// runCommand runs a command and returns its exit code and output.
func runCommand(t *testing.T, args ...string) (code int, text string) {
	t.Helper()
	var out bytes.Buffer
	code = Run(args, &out, &out)
	return code, out.String()
}

// commandTest is a command with its expected exit code and a part of its output.
type commandTest struct {
	code int
	want string
	args []string
}

// run runs the command, and once more with --json if it succeeds and supports that.
func (x commandTest) run(t *testing.T, hasJSON bool) {
	t.Helper()
	code, text := runCommand(t, x.args...)
	assert.Assert(t, code == x.code && strings.Contains(text, x.want), "%v: %d, wanted %d and %q:\n%s", x.args, code, x.code, x.want, text)
	if !hasJSON || x.code != ExitOK {
		return
	}
	_, text = runCommand(t, append([]string{"--json"}, x.args...)...)
	assert.Assert(t, json.Valid([]byte(text)), "%v: %s", x.args, text)
}

// commandsTest is a running mesh on which commands are tested.
type commandsTest struct {
	*testcluster.Cluster
	dir       string
	api       string // ControlPlane of a member
	transport string // of the same member
}

func startCommandsTest(t *testing.T) *commandsTest {
	t.Helper()
	dir := t.TempDir()
	assert.NilError(t, testcluster.BuildPrograms(dir))
	cluster, err := testcluster.New(dir, 3, "stock", "orders", "stock")
	if cluster != nil {
		t.Cleanup(cluster.Close)
	}
	assert.NilError(t, err)
	return &commandsTest{Cluster: cluster, dir: dir, api: cluster.Members[0].Addr("ControlPlane"), transport: cluster.Members[0].Process.Addr}
}

// path returns the path of a file in the test's folder.
func (m *commandsTest) path(name string) string { return filepath.Join(m.dir, name) }

func (m *commandsTest) write(t *testing.T, name, text string) string {
	t.Helper()
	assert.NilError(t, os.WriteFile(m.path(name), []byte(text), 0o600))
	return m.path(name)
}

// routeCall writes a call that sets a route.
func (m *commandsTest) routeCall(t *testing.T, file string, version int, services []string, name, service string) string {
	t.Helper()
	route := testcluster.RouteItem(name, "idempotent", "/"+name+"/", service, version)
	return m.write(t, file, string(testcluster.ModifyCall(version, services, route)))
}

// Every command is run against a mesh: its output, as text and as JSON, and its exit code are as expected.
func TestCommands(t *testing.T) {
	m := startCommandsTest(t)
	call := m.routeCall(t, "call.json", 3, []string{"stock", "orders"}, "read", "stock")
	m.testStart(t, call)
	m.testConfiguration(t, call)
	m.testPolicy(t)
	m.testDrain(t)
	m.testFaults(t)
	m.testDisk(t)
	assert.Assert(t, len(m.Recorder.Violations()) == 0, "%v", m.Recorder.Violations())
}

// testStart applies the first configuration, and waits until status has no warnings.
func (m *commandsTest) testStart(t *testing.T, call string) {
	t.Helper()
	var code int
	var text string
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { code, text = runCommand(t, "apply", m.api, call); return code == 0 }), text)
	assert.Assert(t, m.AwaitReady(testTimeout))
	assert.Assert(t, testfleet.Await(testTimeout, func() bool { code, text = runCommand(t, "status", m.transport); return code == 0 }), text)
	_, all := runCommand(t, "--json", "status", m.transport)
	assert.Assert(t, strings.Contains(all, `"messageType": "records"`), all)
	assert.Assert(t, strings.HasPrefix(text, "all is well\n3 members, 3 sidecars, 3 items, 1 routes"), text)
	assert.Assert(t, strings.Contains(text, "LEADER"), text)
}

func (m *commandsTest) testConfiguration(t *testing.T, call string) {
	t.Helper()
	badRoute := string(testcluster.ModifyCall(4, nil, testcluster.RouteItem("bad", "idempotent", "/bad/", "stock", 4)))
	badRoute = strings.Replace(badRoute, `"TimeoutS":3`, "\n"+`"TimeoutS":0`, 1)
	badSettings := "NodeName: \"\"\nIpAddress: 127.0.0.1\nInternalPortRange: [1, 9]\n"
	inbound := m.Sidecars[0].Addr("Inbound")
	for _, x := range []struct {
		commandTest
		noJSON bool
	}{
		{commandTest: commandTest{0, `"PathPrefix": "/read/"`, []string{"get", m.api}}},
		{commandTest: commandTest{0, `"Name": "stock"`, []string{"get", m.api, "stock"}}},
		{commandTest: commandTest{1, `no route or service "none"`, []string{"get", m.api, "none"}}},
		{commandTest: commandTest{0, "sets route read, version 3", []string{"check", call}}},
		{commandTest: commandTest{0, "settings of side-1", []string{"check", m.path("side-1.yaml")}}},
		{commandTest: commandTest{1, "line 2: route bad: ForwardAction.TimeoutS is 0", []string{"check", m.write(t, "bad.json", badRoute)}}},
		{commandTest: commandTest{1, "line 1: NodeName", []string{"check", m.write(t, "bad.yaml", badSettings)}}},
		{commandTest: commandTest{0, "leaves    route read, version 3 -> 3", []string{"diff", m.api, call}}},
		{commandTest: commandTest{
			1, "ForwardAction.Service: stock -> orders",
			[]string{"diff", m.api, m.routeCall(t, "more.json", 5, nil, "read", "orders")},
		}},
		{commandTest: commandTest{
			1, `the service "nobody" is not known`,
			[]string{"diff", m.api, m.routeCall(t, "unknown.json", 5, nil, "read", "nobody")},
		}},
		{commandTest: commandTest{1, "409", []string{"apply", m.api, m.routeCall(t, "other.json", 3, nil, "read", "orders")}}},
		{commandTest: commandTest{0, "3 items in", []string{"backup", m.api, m.path("kept.json")}}},
		{commandTest: commandTest{0, "3 items acknowledged", []string{"restore", m.api, m.path("kept.json")}}},
		{commandTest: commandTest{2, "Unknown command", []string{"nonsense"}}},
		{commandTest: commandTest{2, "ADDR", []string{"status"}}},
		{commandTest: commandTest{3, "dial " + m.Members[0].IP + ":1", []string{"--timeout", "300ms", "status", m.Members[0].IP + ":1"}}},
		{commandTest: commandTest{0, `"message":"control-plane member followed"`, []string{"logs", inbound}}, noJSON: true},
		{commandTest: commandTest{0, "stock 100 %", []string{"topology", m.transport, "--save", m.path("mesh.json")}}},
		{commandTest: commandTest{
			0, "subgraph cluster_control_plane",
			[]string{"topology", "--dot", "--from", m.path("mesh.json")},
		}, noJSON: true},
		{commandTest: commandTest{0, "</svg>", []string{"topology", "--svg", "--from", m.path("mesh.json")}}, noJSON: true},
		{commandTest: commandTest{1, "either ADDR or --from", []string{"topology"}}},
		{commandTest: commandTest{0, "", []string{"drain", inbound}}, noJSON: true},
	} {
		x.run(t, !x.noJSON)
	}
}

// testPolicy checks policies of namespaces before they are sent, commits, activates and explains them, and prints the notices.
func (m *commandsTest) testPolicy(t *testing.T) {
	t.Helper()
	namespaces := m.write(t, "namespaces.json", `{"Upsert":{"NamespaceList":[`+
		`{"Name":"shop","ConfigVersion":1,"Owners":["ana"],"Hosts":["`+testcluster.Host+`"]},`+
		`{"Name":"store","ConfigVersion":1,"Owners":["bo"],"Services":["stock"]}]}}`)
	calmPolicy := func(version, attempts int) string {
		return fmt.Sprintf(`{"Upsert":{"RulingList":[{"Name":"calm","Namespace":"store","ConfigVersion":%d,"Tries":%d,"TimeoutS":1.5}]}}`,
			version, attempts)
	}
	calm, looser := m.write(t, "calm.json", calmPolicy(1, 1)), m.write(t, "looser.json", calmPolicy(2, 2))
	saved := m.path("saved.json")
	for _, x := range []commandTest{
		{0, "no namespace has set any policy", []string{"policy", "status", m.api}},
		{0, "2 items acknowledged", []string{"apply", "--wait", m.api, namespaces}},
		{
			0, "tightens route read to stock, of shop: TimeoutS 3 -> 1.5, by ruling calm of store",
			[]string{"apply", "--dry-run", "--by", "bo", m.api, calm},
		},
		{1, "policy calm is of store, and ana owns shop", []string{"apply", "--dry-run", "--by", "ana", m.api, calm}},
		{1, "403", []string{"apply", "--by", "ana", m.api, calm}},
		{0, "1 items acknowledged", []string{"apply", "--wait", "--by", "bo", m.api, calm}},
		{0, "is active, by entry", []string{"policy", "status", m.api}},
		{
			0, "over 3 of route read of mesh, version 3 (as item)",
			[]string{"policy", "explain", "--sidecar", m.Sidecars[1].Addr("Inbound"), m.api, testcluster.Host, "/read/x"},
		},
		{
			0, "with the change:\n",
			[]string{"policy", "explain", "--with", looser, "--caller", "orders", m.api, testcluster.Host, "/read/x"},
		},
		{1, "no route takes", []string{"policy", "explain", m.api, testcluster.Host, "/nowhere/"}},
		{0, "service stock is of store: bo", []string{"policy", "owner", m.api, "read"}},
		{0, "no two namespaces meet on a route", []string{"policy", "report", m.api}},
		{0, "by bo: tightens route read to stock", []string{"policy", "notices", m.api, "shop"}},
		{0, "items in", []string{"backup", m.api, saved}},
		{1, "shop has to consent", []string{"policy", "check", "--against", saved, "--by", "bo", looser}},
		{
			0, "LOOSENS route read to stock, of shop: Tries 1 -> 2",
			[]string{"policy", "check", "--against", saved, "--by", "bo", "--consent", "shop:ana", looser},
		},
	} {
		x.run(t, x.args[0] == "policy")
	}
}

// testDrain takes a server out of service: status shows it, it gets no requests, and it is put back.
func (m *commandsTest) testDrain(t *testing.T) {
	t.Helper()
	code, text := runCommand(t, "status", m.transport)
	assert.Assert(t, code == 1 && strings.Contains(text, "is out (draining): taken out by an operator"), text)
	for range 10 {
		got := m.Sidecars[1].Send("GET", "/read/", "", nil)
		assert.Assert(t, got.Status == 200 && strings.Contains(got.Body, "i-side-3-1"), "%v", got)
	}
	code, _ = runCommand(t, "drain", "--undo", m.Sidecars[0].Addr("Inbound"))
	assert.Equal(t, code, 0)
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		return strings.Contains(m.Sidecars[1].Send("GET", "/read/", "", nil).Body, "i-side-1-1")
	}))
}

// testFaults freezes a member and kills a sidecar: status warns about them and about no other process.
func (m *commandsTest) testFaults(t *testing.T) {
	t.Helper()
	frozen := m.Members[2].Process
	frozen.Pause()
	code, text := runCommand(t, "--timeout", "1500ms", "status", m.transport)
	assert.Assert(t, code == 1 && strings.Contains(text, "! member "+frozen.Addr+" does not answer"), text)
	frozen.Resume()
	m.Sidecars[1].Kill()
	code, text = runCommand(t, "--timeout", "1500ms", "status", m.transport)
	assert.Assert(t, code == 1 && strings.Contains(text, "! sidecar side-2 does not answer"), text)
}

// testDisk reads the disk of a stopped member.
func (m *commandsTest) testDisk(t *testing.T) {
	t.Helper()
	stopped := m.Members[1]
	stopped.Kill()
	recovered := m.path("recovered.json")
	for _, x := range []commandTest{
		{0, "route read version 3, present", []string{"inspect", stopped.DataDir()}},
		{0, "6 items in", []string{"recover", stopped.DataDir(), recovered}},
		{0, "sets route read, version 3", []string{"check", recovered}},
		{1, "", []string{"inspect", m.dir}},
	} {
		x.run(t, false)
	}
}
