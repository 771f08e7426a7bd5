package main

import (
	"bytes"
	"encoding/json"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/testcluster"
	"cranegrade/internal/rig"
)

// runCommand runs a command and gives its exit code and what it printed.
func runCommand(t *testing.T, args ...string) (int, string) {
	t.Helper()
	globalOptions.JSON, globalOptions.Within = false, 0
	r, w, err := os.Pipe()
	assert.NilError(t, err)
	out, errOut := os.Stdout, os.Stderr
	os.Stdout, os.Stderr = w, w
	text := make(chan []byte, 1)
	go func() { p, _ := io.ReadAll(r); text <- p }()
	code := run(args)
	os.Stdout, os.Stderr = out, errOut
	w.Close()
	return code, string(<-text)
}

// Every command against a running mesh: what it prints, as text and as JSON, and its exit code.
func TestCommands(t *testing.T) {
	dir := t.TempDir()
	assert.NilError(t, testcluster.BuildPrograms(dir))
	m, err := testcluster.New(dir, 3, "stock", "orders", "stock")
	if m != nil {
		t.Cleanup(m.Close)
	}
	assert.NilError(t, err)
	control, trunk := m.Members[0].Addr("ControlPlane"), m.Members[0].Process.Addr
	file := func(name string, text []byte) string {
		path := filepath.Join(dir, name)
		assert.NilError(t, os.WriteFile(path, text, 0o600))
		return path
	}
	call := file("call.json", testcluster.ModifyCall(3, []string{"stock", "orders"}, testcluster.RouteItem("read", "idempotent", "/read/", "stock", 3)))
	const patience = 20 * time.Second
	var code int
	var text string
	assert.Assert(t, rig.Await(patience, func() bool { code, text = runCommand(t, "apply", control, call); return code == 0 }), text)
	assert.Assert(t, m.AwaitReady(patience))
	assert.Assert(t, rig.Await(patience, func() bool { code, text = runCommand(t, "status", trunk); return code == 0 }), text)
	_, all := runCommand(t, "--json", "status", trunk)
	assert.Assert(t, strings.Contains(all, `"messageType": "records"`), all)
	assert.Assert(t, strings.HasPrefix(text, "all is well\n3 members, 3 sidecars, 3 items, 1 routes") && strings.Contains(text, "LEADER"), text)

	for _, x := range []struct {
		code int
		want string
		args []string
	}{
		{0, `"PathPrefix": "/read/"`, []string{"get", control}},
		{0, `"Name": "stock"`, []string{"get", control, "stock"}},
		{1, `no route or service "none"`, []string{"get", control, "none"}},
		{0, "sets route read, version 3", []string{"check", call}},
		{0, "settings of side-1", []string{"check", filepath.Join(dir, "side-1.yaml")}},
		{1, "line 2: route bad: ForwardAction.TimeoutS is 0", []string{"check", file("bad.json", bytes.Replace(testcluster.ModifyCall(4, nil,
			testcluster.RouteItem("bad", "idempotent", "/bad/", "stock", 4)), []byte(`"TimeoutS":3`), []byte("\n"+`"TimeoutS":0`), 1))}},
		{1, "line 1: NodeName", []string{"check", file("bad.yaml", []byte("NodeName: \"\"\nIpAddress: 127.0.0.1\nInternalPortRange: [1, 9]\n"))}},
		{0, "leaves    route read, version 3 -> 3", []string{"diff", control, call}},
		{1, "ForwardAction.Service: stock -> orders", []string{"diff", control, file("more.json", testcluster.ModifyCall(5, nil, testcluster.RouteItem("read", "idempotent", "/read/", "orders", 5)))}},
		{1, `the service "nobody" is not known`, []string{"diff", control, file("unknown.json", testcluster.ModifyCall(5, nil, testcluster.RouteItem("read", "idempotent", "/read/", "nobody", 5)))}},
		{1, "409", []string{"apply", control, file("other.json", testcluster.ModifyCall(3, nil, testcluster.RouteItem("read", "idempotent", "/read/", "orders", 3)))}},
		{0, "3 items in", []string{"backup", control, filepath.Join(dir, "kept.json")}},
		{0, "3 items acknowledged", []string{"restore", control, filepath.Join(dir, "kept.json")}},
		{2, "Unknown command", []string{"nonsense"}},
		{2, "ADDR", []string{"status"}},
		{3, "trunk to", []string{"--within", "300ms", "status", m.Members[0].IP + ":1"}},
		{0, `"message":"home"`, []string{"ring", m.Sidecars[0].Addr("Inbound")}},
		{0, "stock 100 %", []string{"draw", trunk, "--save", filepath.Join(dir, "mesh.json")}},
		{0, "subgraph cluster_control_plane", []string{"draw", "--dot", "--from", filepath.Join(dir, "mesh.json")}},
		{0, "</svg>", []string{"draw", "--svg", "--from", filepath.Join(dir, "mesh.json")}},
		{1, "either ADDR or --from", []string{"draw"}},
		{0, "", []string{"drain", m.Sidecars[0].Addr("Inbound")}},
	} {
		code, text := runCommand(t, x.args...)
		assert.Assert(t, code == x.code && strings.Contains(text, x.want), "%v: %d, wanted %d and %q:\n%s", x.args, code, x.code, x.want, text)
		if x.args[0] != "ring" && x.args[0] != "drain" && x.code == 0 && !strings.Contains(strings.Join(x.args, " "), "--dot") && !strings.Contains(strings.Join(x.args, " "), "--svg") {
			_, text := runCommand(t, append([]string{"--json"}, x.args...)...)
			assert.Assert(t, json.Valid([]byte(text)), "%v: %s", x.args, text)
		}
	}
	// Namespaces' rules: judged before they are sent, agreed on, bound, explained, told to whoever they concern.
	spaces := file("spaces.json", []byte(`{"Upsert":{"NamespaceList":[{"Name":"shop","ConfigVersion":1,"Owners":["ana"],"Hosts":["`+testcluster.Host+`"]},{"Name":"store","ConfigVersion":1,"Owners":["bo"],"Services":["stock"]}]}}`))
	ruling := file("ruling.json", []byte(`{"Upsert":{"RulingList":[{"Name":"calm","Namespace":"store","ConfigVersion":1,"Tries":1,"TimeoutS":1.5}]}}`))
	looser := file("looser.json", []byte(`{"Upsert":{"RulingList":[{"Name":"calm","Namespace":"store","ConfigVersion":2,"Tries":2,"TimeoutS":1.5}]}}`))
	for _, x := range []struct {
		code int
		want string
		args []string
	}{
		{0, "no namespace has set any rule", []string{"rules", "status", control}},
		{0, "2 items acknowledged", []string{"apply", "--wait", control, spaces}},
		{0, "tightens route read to stock, of shop: TimeoutS 3 -> 1.5, by ruling calm of store", []string{"apply", "--dry-run", "--by", "bo", control, ruling}},
		{1, "ruling calm is of store, and ana owns shop", []string{"apply", "--dry-run", "--by", "ana", control, ruling}},
		{1, "403", []string{"apply", "--by", "ana", control, ruling}},
		{0, "1 items acknowledged", []string{"apply", "--wait", "--by", "bo", control, ruling}},
		{0, "binds, by entry", []string{"rules", "status", control}},
		{0, "over 3 of route read of mesh, version 3 (as item)", []string{"rules", "explain", "--line", m.Sidecars[1].Addr("Inbound"), control, testcluster.Host, "/read/x"}},
		{0, "with the change:\n", []string{"rules", "explain", "--with", looser, "--caller", "orders", control, testcluster.Host, "/read/x"}},
		{1, "no route takes", []string{"rules", "explain", control, testcluster.Host, "/nowhere/"}},
		{0, "service stock is of store: bo", []string{"rules", "owner", control, "read"}},
		{0, "no two namespaces meet on a route", []string{"rules", "report", control}},
		{0, "by bo: tightens route read to stock", []string{"rules", "told", control, "shop"}},
		{0, "items in", []string{"backup", control, filepath.Join(dir, "saved.json")}},
		{1, "shop has to consent", []string{"rules", "check", "--against", filepath.Join(dir, "saved.json"), "--by", "bo", looser}},
		{0, "LOOSENS route read to stock, of shop: Tries 1 -> 2", []string{"rules", "check", "--against", filepath.Join(dir, "saved.json"), "--by", "bo", "--consent", "shop:ana", looser}},
	} {
		code, text := runCommand(t, x.args...)
		assert.Assert(t, code == x.code && strings.Contains(text, x.want), "%v: %d, wanted %d and %q:\n%s", x.args, code, x.code, x.want, text)
		if x.code == 0 && x.args[0] == "rules" {
			_, text := runCommand(t, append([]string{"--json"}, x.args...)...)
			assert.Assert(t, json.Valid([]byte(text)), "%v: %s", x.args, text)
		}
	}
	// The server taken out by hand is told so, is not sent to, and comes back.
	code, text = runCommand(t, "status", trunk)
	assert.Assert(t, code == 1 && strings.Contains(text, "is out (draining): taken out by hand"), text)
	for range 10 {
		got := m.Sidecars[1].Send("GET", "/read/", "", nil)
		assert.Assert(t, got.Status == 200 && strings.Contains(got.Body, "i-side-3-1"), "%v", got)
	}
	code, _ = runCommand(t, "drain", "--undo", m.Sidecars[0].Addr("Inbound"))
	assert.Equal(t, code, 0)
	assert.Assert(t, rig.Await(patience, func() bool { return strings.Contains(m.Sidecars[1].Send("GET", "/read/", "", nil).Body, "i-side-1-1") }))
	// A register that stands still, and a line that is gone, are told apart from those that are well.
	m.Members[2].Process.Pause()
	code, text = runCommand(t, "--within", "1500ms", "status", trunk)
	assert.Assert(t, code == 1 && strings.Contains(text, "! member "+m.Members[2].Process.Addr+" does not answer"), text)
	m.Members[2].Process.Resume()
	m.Sidecars[1].Kill()
	code, text = runCommand(t, "--within", "1500ms", "status", trunk)
	assert.Assert(t, code == 1 && strings.Contains(text, "! sidecar side-2 does not answer"), text)
	// A register's disk, at rest.
	m.Members[1].Kill()
	code, text = runCommand(t, "inspect", m.Members[1].DataDir())
	assert.Assert(t, code == 0 && strings.Contains(text, "route read version 3, stands"), text)
	kept := filepath.Join(dir, "rescued.json")
	code, text = runCommand(t, "rescue", m.Members[1].DataDir(), kept)
	assert.Assert(t, code == 0 && strings.Contains(text, "6 items in"), text)
	code, text = runCommand(t, "check", kept)
	assert.Assert(t, code == 0 && strings.Contains(text, "sets route read, version 3"), text)
	code, _ = runCommand(t, "inspect", dir)
	assert.Equal(t, code, 1)
	assert.Assert(t, len(m.Recorder.Violations()) == 0, "%v", m.Recorder.Violations())
}
