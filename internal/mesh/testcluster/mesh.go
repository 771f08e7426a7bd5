// Package mesh is a small mesh of real processes on loopback, each machine an address of its own, with stand-in servers
// beside the lines and callers that keep a record. Tests and the tour use it.
package testcluster

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"sigs.k8s.io/yaml"

	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/rig"
)

const heartbeatInterval = 300 * time.Millisecond

// Machine is one machine of the mesh: a line with its server, or a register.
type Machine struct {
	Name, IP        string
	Args            []string     // of its program, from its next start on
	Process         *rig.Process // nil: it does not run
	App             *FakeApp     // of a line
	cluster         *Cluster
	program         string
	programs        string // folder of its program
	settings        map[string]any
	listenAddrs     map[string]string // never changed once made
	appIncarnations int
}

// Cluster is all machines.
type Cluster struct {
	Dir       string
	Members   []*Machine
	Sidecars  []*Machine
	Recorder  *Recorder
	ports     []int
	subnet    string
	attempts  atomic.Uint64
	seeds     []string
	tolerance int
	relay     *rig.Relay // on the ways between the machines; nil: there is none
}

// BuildPrograms builds the mesh's programs into a folder.
func BuildPrograms(dir string) error {
	for _, p := range []string{"sidecar", "controlplane"} {
		if out, err := exec.Command("go", "build", "-o", filepath.Join(dir, p), "cranegrade/cmd/"+p).CombinedOutput(); err != nil {
			return fmt.Errorf("building %s: %w\n%s", p, err, out)
		}
	}
	return nil
}

// New starts a mesh: so many registers, and a line with a server for each service named. The loss of one register is to be borne.
func New(dir string, registers int, services ...string) (*Cluster, error) {
	return newCluster(dir, registers, 1, services...)
}

func newCluster(dir string, registers, tolerance int, services ...string) (*Cluster, error) {
	return newClusterBehind(dir, registers, tolerance, nil, services...)
}

func newClusterBehind(dir string, registers, tolerance int, relay *rig.Relay, services ...string) (*Cluster, error) {
	m := &Cluster{Dir: dir, tolerance: tolerance, relay: relay, Recorder: NewRecorder(), subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256))}
	for range portCount { // ports that are free at this moment, on addresses that nobody else is likely to use
		l, err := net.Listen("tcp", m.subnet+".1:0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		m.ports = append(m.ports, l.Addr().(*net.TCPAddr).Port)
	}
	for i := range min(3, registers) {
		m.seeds = append(m.seeds, fmt.Sprintf("%s.%d:%d", m.subnet, 10+i, m.ports[0]))
	}
	for range registers {
		if _, err := m.AddMember(true); err != nil {
			return m, err
		}
	}
	for _, s := range services {
		if _, err := m.AddSidecar(s); err != nil {
			return m, err
		}
	}
	return m, nil
}

// baseSettings are what every machine is told alike.
func (m *Cluster) baseSettings(name, ip, zone string) map[string]any {
	return map[string]any{"NodeName": name, "IpAddress": ip, "Zone": zone, "Region": "r", "InternalPortRange": []int{m.ports[portMemberTransport], m.ports[portMemberTransport] + 15},
		"SeedNodes": m.seeds, "HeartbeatS": heartbeatInterval.Seconds(), "FaultTolerance": map[string]any{"Machines": m.tolerance},
		"Bounds": map[string]any{"DrainS": 2, "GraceS": 3, "KeyWindowS": 60, "ConfigApplyS": 2, "AckS": 5, "RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 50},
		"Limits": map[string]any{"MemoryMb": 256, "MaxFds": 1024}}
}

// AddMember starts another register.
func (m *Cluster) AddMember(first bool) (*Machine, error) {
	n := len(m.Members)
	x := &Machine{Name: fmt.Sprintf("core-%d", n+1), IP: fmt.Sprintf("%s.%d", m.subnet, 10+n), cluster: m, program: "controlplane", programs: m.Dir}
	x.settings = m.baseSettings(x.Name, x.IP, fmt.Sprintf("zone-%d", n%3))
	x.listenAddrs = map[string]string{"ControlPlane": fmt.Sprintf("%s:%d", x.IP, m.ports[0])}
	x.settings["ListenAddrs"] = x.listenAddrs
	x.settings["DataDir"] = filepath.Join(m.Dir, x.Name)
	x.settings["FirstStart"] = first
	m.Members = append(m.Members, x)
	if err := m.relayMember(x); err != nil {
		return x, err
	}
	return x, x.Start()
}

// AddSidecar starts another line with a server of that service beside it.
func (m *Cluster) AddSidecar(service string) (*Machine, error) {
	n := len(m.Sidecars)
	x := &Machine{Name: fmt.Sprintf("side-%d", n+1), IP: fmt.Sprintf("%s.%d", m.subnet, 100+n), cluster: m, program: "sidecar", programs: m.Dir}
	zone := fmt.Sprintf("zone-%d", n%3)
	at := func(i int) string { return fmt.Sprintf("%s:%d", x.IP, m.ports[i]) }
	x.settings = m.baseSettings(x.Name, x.IP, zone)
	x.listenAddrs = map[string]string{"ControlPlane": at(0), "Inbound": at(2), "Outbound": at(3), "Readiness": at(4)}
	x.settings["ListenAddrs"] = x.listenAddrs
	x.settings["AppAddress"], x.settings["Service"] = at(5), service
	m.Sidecars = append(m.Sidecars, x)
	if err := m.relaySidecar(x); err != nil {
		return x, err
	}
	if err := x.Start(); err != nil {
		return x, err
	}
	return x, x.StartApp()
}

// StartApp starts a server beside a line, as a new instance.
func (x *Machine) StartApp() (err error) {
	x.appIncarnations++
	x.App, err = newFakeApp(x.settings["Service"].(string), fmt.Sprintf("i-%s-%d", x.Name, x.appIncarnations), x.settings["AppAddress"].(string), x.listenAddrs["ControlPlane"], x.settings["Zone"].(string), x.cluster.Recorder)
	return err
}

// SetSeeds sets the seeds that the machine is told, and writes its file; its program reads that when it will.
func (x *Machine) SetSeeds(l ...string) error {
	x.settings["SeedNodes"] = l
	_, err := x.writeSettings()
	return err
}

// writeSettings writes the settings as they are now.
func (x *Machine) writeSettings() (file string, err error) {
	text, err := yaml.Marshal(x.settings)
	if err != nil {
		return "", err
	}
	file = filepath.Join(x.cluster.Dir, x.Name+".yaml")
	return file, os.WriteFile(file, text, 0o600)
}

// UsePrograms names the folder that holds the machine's program from its next start on.
func (x *Machine) UsePrograms(dir string) { x.programs = dir }

// Start starts the machine's program, with the settings as they are now.
func (x *Machine) Start() error {
	file, err := x.writeSettings()
	if err != nil {
		return err
	}
	cmd := exec.Command(filepath.Join(x.programs, x.program), append([]string{"-v"}, x.Args...)...)
	cmd.Env = append(os.Environ(), settings.PathVariable+"="+file)
	x.Process, err = rig.StartCommand(cmd, file)
	x.settings["FirstStart"] = false
	return err
}

// Kill ends the program at once.
func (x *Machine) Kill() {
	if x.Process != nil {
		x.Process.Kill()
		x.Process = nil
	}
}

// WipeDisk removes what a register's disk holds; it must not run.
func (x *Machine) WipeDisk() error { return os.RemoveAll(x.settings["DataDir"].(string)) }

// DataDir is a register's data folder.
func (x *Machine) DataDir() string { return x.settings["DataDir"].(string) }

// Addr is one of the machine's addresses, by its name in the settings.
func (x *Machine) Addr(name string) string { return x.listenAddrs[name] }

// SignalReload tells the program that its settings have changed.
func (x *Machine) SignalReload() error { return x.Process.Cmd.Process.Signal(syscall.SIGHUP) }

// Close ends all processes.
func (m *Cluster) Close() {
	var all sync.WaitGroup
	for _, x := range append(append([]*Machine(nil), m.Members...), m.Sidecars...) {
		if x.App != nil {
			x.App.server.Close()
		}
		all.Go(x.Kill)
	}
	all.Wait()
	if m.relay != nil {
		m.relay.Close()
	}
}

// AwaitReady waits until all lines that run are.
func (m *Cluster) AwaitReady(within time.Duration) bool {
	return rig.Await(within, func() bool {
		for _, x := range m.Sidecars {
			if x.Process == nil {
				continue
			}
			c := http.Client{Timeout: time.Second}
			resp, err := c.Get("http://" + x.Addr("Readiness") + "/v1/readiness")
			if err != nil {
				return false
			}
			resp.Body.Close()
			if resp.StatusCode != http.StatusOK {
				return false
			}
		}
		return true
	})
}

// RouteItem words a route for Modify.
func RouteItem(name, kind, prefix, service string, version int) map[string]any {
	return map[string]any{"Name": name, "RouteType": kind, "TargetLatencyS": 1, "Priority": 1, "ConfigVersion": version,
		"MatchCriteria": map[string]any{"PathPrefix": prefix}, "ForwardAction": map[string]any{"Service": service, "TimeoutS": 3, "RetryCount": 2}}
}

// ModifyCall words an operator's call of services and routes on one host.
func ModifyCall(version int, services []string, routes ...map[string]any) []byte {
	var groups []map[string]any
	for _, s := range services {
		groups = append(groups, map[string]any{"Name": s, "HealthPath": "/health", "MaxConnections": 100, "Protocol": "h1", "ConfigVersion": version})
	}
	text, _ := json.Marshal(map[string]any{"Upsert": map[string]any{"UpstreamGroups": groups,
		"ListenerList": []any{map[string]any{"HostName": Host, "PolicyRules": routes}}}})
	return text
}

// Host is that of all routes.
const Host = "shop.example"

// Modify sends an operator's call to a register; 0: no answer.
func (x *Machine) Modify(body []byte) (status int, text string) {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Post("http://"+x.Addr("ControlPlane")+"/v1/configuration/modify", "application/json", bytes.NewReader(body))
	return readResponse(resp, err)
}

// CallMaintenance is a call of the night service at a register, as its leader answers it; the status is 0 where there is no answer.
func (x *Machine) CallMaintenance(c controlplane.MaintenanceRequest) (t controlplane.MaintenanceResponse, status int, text string) {
	body, _ := json.Marshal(c)
	h := http.Client{Timeout: 2 * time.Second}
	resp, err := h.Post("http://"+x.Addr("ControlPlane")+"/v1/night", "application/json", bytes.NewReader(body))
	if status, text = readResponse(resp, err); status == http.StatusOK {
		json.Unmarshal([]byte(text), &t)
	}
	return t, status, text
}

// ContractCall words an operator's call of one contract that approves a span, by UTC.
func ContractCall(name string, version int, from, to time.Time, more map[string]any) []byte {
	c := map[string]any{"Name": name, "ConfigVersion": version, "TimeZone": "UTC", "Approvers": []string{"ana"}, "MostOut": map[string]any{"Service": 1, "Zone": 4},
		"Dates": []any{map[string]any{"From": from.UTC().Format("2006-01-02 15:04"), "To": to.UTC().Format("2006-01-02 15:04")}}}
	for k, v := range more {
		c[k] = v
	}
	text, _ := json.Marshal(map[string]any{"Upsert": map[string]any{"ContractList": []any{c}}})
	return text
}

// Fetch reads the configuration from a register.
func (x *Machine) Fetch() (status int, text string) {
	c := http.Client{Timeout: 2 * time.Second}
	resp, err := c.Get("http://" + x.Addr("ControlPlane") + "/v1/configuration/fetch")
	return readResponse(resp, err)
}

func readResponse(resp *http.Response, err error) (int, string) {
	if err != nil {
		return 0, err.Error()
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, err.Error()
	}
	return resp.StatusCode, string(text)
}

// Response is what became of a request.
type Response struct {
	Attempt, Seal, Body string
	Status              int // 0: no answer
	RetryAfter          string
	PolicyTrace         string // the merged rule that it was decided by, and the set; "": none
}

// Send sends one request to a line, with an id of its own. key may be empty.
func (x *Machine) Send(method, path, key string, body []byte) Response {
	m := x.cluster
	t := Response{Attempt: fmt.Sprintf("a%d", m.attempts.Add(1))}
	r, err := http.NewRequest(method, "http://"+x.Addr("Outbound")+path, bytes.NewReader(body))
	if err != nil {
		return t
	}
	r.Host = Host
	r.Header.Set("Attempt-Id", t.Attempt)
	r.Header.Set("Time-Budget", "3000")
	r.Header.Set("Rule-Trace", "1")
	if key != "" {
		r.Header.Set("Operation-Key", key)
	}
	c := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := c.Do(r)
	if err != nil {
		return t
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return t
	}
	t.Status, t.Body, t.Seal, t.RetryAfter = resp.StatusCode, string(text), resp.Header.Get("Server-Seal"), resp.Header.Get("Retry-After")
	t.PolicyTrace = resp.Header.Get("Rule-Trace")
	runs := m.Recorder.Runs(t.Attempt)
	switch {
	case t.Status/100 == 2 && t.Seal == "":
		m.Recorder.recordViolation("MIXED: %s has a success without a seal", t.Attempt)
	case t.Status/100 == 2 && key == "" && t.Seal != "seal."+t.Attempt:
		m.Recorder.recordViolation("MIXED: %s has %s", t.Attempt, t.Seal)
	case resp.Header.Get("Attempt-Id") != t.Attempt:
		m.Recorder.recordViolation("MIXED: %s has the answer to %s", t.Attempt, resp.Header.Get("Attempt-Id"))
	case (t.Status == 503 || t.Status == 429) && key != "" && len(runs) > 0:
		m.Recorder.recordViolation("REFUSED: %s has run and is answered %d", t.Attempt, t.Status)
	}
	return t
}
