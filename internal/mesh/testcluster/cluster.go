// Package testcluster runs a small mesh of real processes on loopback. Each machine has its own IP address; fake application servers
// run beside the sidecars, and servers and callers record the outcome of every request.
//
// The package owns the processes, their files and the faults that are injected. It is used by tests, benchmarks and the demos of
// meshctl, and must never be part of a program that serves traffic.
package testcluster

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"path/filepath"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/testfleet"
)

const (
	heartbeatInterval = 300 * time.Millisecond
	probeTimeout      = time.Second // of one readiness check
	zoneCount         = 3
	maxSeeds          = 3
	firstMemberIP     = 10 // last byte of the first member's address; further members count up
	firstSidecarIP    = 100
	firstOperatorIP   = 200
)

// Ports of a machine, as indexes of Cluster.ports. The transports of members and of sidecars have different ports.
const (
	portControlPlane     = iota
	portMemberTransport  // transport of members, the port that other processes connect to
	portSidecarTransport // transport of sidecars, the port that other processes connect to
	portOutbound
	portReadiness
	portApp
	portBehindRelay // transport of a process behind the relay
	portRelayedAPI  // the relay's port for operators' calls to a member
	portCount
)

// transportPorts is the size of InternalPortRange.
const transportPorts = 16

// Cluster is all machines of a mesh. It belongs to one goroutine; calls to its machines may be made from any.
type Cluster struct {
	Dir      string // of the programs and of the machines' files
	Members  []*Machine
	Sidecars []*Machine
	Recorder *Recorder

	ports     []int
	subnet    string // first three bytes of all addresses
	seeds     []string
	tolerance int
	relay     *testfleet.Relay // between the machines; nil: none
	attempts  atomic.Uint64    // number of attempts that callers have made
}

// New starts a mesh with a number of control-plane members, and a sidecar with a server for each of some services. It tolerates the
// loss of one member. dir has the programs from BuildPrograms. The caller has to close the cluster even after an error, because some
// processes may run.
func New(dir string, members int, services ...string) (*Cluster, error) {
	return newCluster(dir, members, 1, services...)
}

func newCluster(dir string, members, tolerance int, services ...string) (*Cluster, error) {
	return newClusterBehind(dir, members, tolerance, nil, services...)
}

func newClusterBehind(dir string, members, tolerance int, relay *testfleet.Relay, services ...string) (*Cluster, error) {
	m := &Cluster{
		Dir: dir, tolerance: tolerance, relay: relay, Recorder: NewRecorder(),
		subnet: fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(256)),
	}
	if err := m.choosePorts(); err != nil {
		return nil, err
	}
	for i := range min(maxSeeds, members) {
		m.seeds = append(m.seeds, m.addr(m.ip(firstMemberIP+i), portControlPlane))
	}
	for range members {
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

// choosePorts chooses ports that are free now, on addresses that other processes are unlikely to use.
func (m *Cluster) choosePorts() error {
	for range portCount {
		l, err := net.Listen("tcp", m.ip(1)+":0")
		if err != nil {
			return err
		}
		defer l.Close() // after all are chosen, so that none is chosen twice
		m.ports = append(m.ports, l.Addr().(*net.TCPAddr).Port)
	}
	return nil
}

func (m *Cluster) ip(last int) string { return fmt.Sprintf("%s.%d", m.subnet, last) }

func (m *Cluster) addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, m.ports[port]) }

// machines returns all machines, members first.
func (m *Cluster) machines() []*Machine { return slices.Concat(m.Members, m.Sidecars) }

// baseSettings returns the settings that all machines share.
func (m *Cluster) baseSettings(name, ip, zone string) map[string]any {
	transport := m.ports[portMemberTransport]
	return map[string]any{
		"NodeName": name, "IpAddress": ip, "Zone": zone, "Region": "r", "InternalPortRange": []int{transport, transport + transportPorts - 1},
		"SeedNodes": m.seeds, "HeartbeatS": heartbeatInterval.Seconds(), "FaultTolerance": map[string]any{"Machines": m.tolerance},
		"Bounds": map[string]any{
			"DrainS": 2, "GraceS": 3, "KeyWindowS": 60, "ConfigApplyS": 2, "AckS": 5,
			"RetryBudgetRatio": 0.2, "RetryWindowS": 10, "RetrySlack": 50,
		},
		"Limits": map[string]any{"MemoryMb": 256, "MaxFds": 1024},
	}
}

// AddMember starts another control-plane member. firstStart: it may bootstrap a control plane with its seeds.
func (m *Cluster) AddMember(firstStart bool) (*Machine, error) {
	n := len(m.Members)
	x := &Machine{Name: fmt.Sprintf("core-%d", n+1), IP: m.ip(firstMemberIP + n), cluster: m, program: memberProgram, programs: m.Dir}
	x.listenAddrs = map[string]string{"ControlPlane": m.addr(x.IP, portControlPlane)}
	x.settings = m.baseSettings(x.Name, x.IP, fmt.Sprintf("zone-%d", n%zoneCount))
	x.settings["ListenAddrs"] = x.listenAddrs
	x.settings["DataDir"] = filepath.Join(m.Dir, x.Name)
	x.settings["FirstStart"] = firstStart
	m.Members = append(m.Members, x)
	if err := m.relayMember(x); err != nil {
		return x, err
	}
	return x, x.Start()
}

// AddSidecar starts another sidecar, with a server of a service beside it.
func (m *Cluster) AddSidecar(service string) (*Machine, error) {
	n := len(m.Sidecars)
	x := &Machine{Name: fmt.Sprintf("side-%d", n+1), IP: m.ip(firstSidecarIP + n), cluster: m, program: sidecarProgram, programs: m.Dir}
	x.listenAddrs = map[string]string{
		"ControlPlane": m.addr(x.IP, portControlPlane), "Inbound": m.addr(x.IP, portSidecarTransport),
		"Outbound": m.addr(x.IP, portOutbound), "Readiness": m.addr(x.IP, portReadiness),
	}
	x.settings = m.baseSettings(x.Name, x.IP, fmt.Sprintf("zone-%d", n%zoneCount))
	x.settings["ListenAddrs"] = x.listenAddrs
	x.settings["AppAddress"], x.settings["Service"] = m.addr(x.IP, portApp), service
	m.Sidecars = append(m.Sidecars, x)
	if err := m.relaySidecar(x); err != nil {
		return x, err
	}
	if err := x.Start(); err != nil {
		return x, err
	}
	return x, x.StartApp()
}

// Close ends all processes and servers, and the relay.
func (m *Cluster) Close() {
	var all sync.WaitGroup
	for _, x := range m.machines() {
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

// AwaitReady waits until all running sidecars are ready.
func (m *Cluster) AwaitReady(timeout time.Duration) bool {
	return testfleet.Await(timeout, func() bool {
		for _, x := range m.Sidecars {
			if x.Process != nil && !x.isReady() {
				return false
			}
		}
		return true
	})
}

// isReady asks a sidecar whether it is ready.
func (x *Machine) isReady() bool {
	client := http.Client{Timeout: probeTimeout}
	response, err := client.Get("http://" + x.Addr("Readiness") + "/v1/readiness")
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}
