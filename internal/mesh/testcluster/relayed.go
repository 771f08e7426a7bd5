package testcluster

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/rig"
)

// Ports of a machine, as indices of Mesh.ports; a register's trunks and a line's are known by different ones.
const (
	portControlPlane     = 0
	portMemberTransport  = 1 // trunks of registers, as others know them
	portSidecarTransport = 2 // trunks of lines, as others know them
	portBehindRelay      = 6 // where a process listens for trunks that come through the relay
	portRelayedAPI       = 7 // where the relay takes operators' calls to a register
	portCount            = 8
)

// NewRelayed is New with so many losses to be borne, and with a relay before the trunks of all machines and before the calls
// of Operators. The mesh closes the relay; its ways are named by the machines' and operators' addresses (Way).
func NewRelayed(dir string, registers, tolerance int, services ...string) (*Cluster, *rig.Relay, error) {
	relay := rig.NewRelay()
	m, err := newClusterBehind(dir, registers, tolerance, relay, services...)
	return m, relay, err
}

// PathTo is that from one machine to another.
func (x *Machine) PathTo(to *Machine) rig.Way { return rig.Way{From: x.IP, To: to.IP} }

// relayMember puts the relay, if there is one, before a register that is about to start.
func (m *Cluster) relayMember(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	if err := m.relayTransport(x, portMemberTransport); err != nil {
		return err
	}
	return m.relay.Listen(x.IP, m.addr(x.IP, portRelayedAPI), x.Addr("ControlPlane"), identifyByAddress)
}

// relaySidecar puts the relay, if there is one, before a line that is about to start.
func (m *Cluster) relaySidecar(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	return m.relayTransport(x, portSidecarTransport)
}

func (m *Cluster) relayTransport(x *Machine, known int) error {
	behind := m.addr(x.IP, portBehindRelay)
	x.Args = append(x.Args, "--listen-trunks", behind)
	return m.relay.Listen(x.IP, m.addr(x.IP, known), behind, identifyByHello)
}

func (m *Cluster) addr(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, m.ports[port]) }

// identifyByAddress names who calls by the address that the call comes from.
func identifyByAddress(from net.Addr, _ *bufio.Reader) (string, error) {
	host, _, err := net.SplitHostPort(from.String())
	return host, err
}

var errNoHello = errors.New("a trunk begins with no hello")

// identifyByHello names who opens a trunk by the address in its first frame; the programs dial from whatever address the kernel gives.
func identifyByHello(_ net.Addr, first *bufio.Reader) (string, error) {
	head, err := first.Peek(4)
	if err != nil {
		return "", err
	}
	size := int(binary.LittleEndian.Uint32(head))
	if size > first.Size()-4 {
		return "", errNoHello
	}
	frame, err := first.Peek(4 + size)
	if err != nil {
		return "", err
	}
	message, err := codec.Decode(frame[4:])
	if err != nil {
		return "", err
	}
	hello, is := message.Value.(*wire.HelloT)
	if !is {
		return "", errNoHello
	}
	host, _, err := net.SplitHostPort(hello.Addr)
	if err != nil { // a tool that looks on, which has no address
		return "", nil
	}
	return host, nil
}

// Operator calls registers through the relay, from an address of its own.
type Operator struct {
	IP      string
	cluster *Cluster
	client  http.Client
}

// operatorTimeout is how long an operator waits for an answer: callers of the control plane move on after a second.
const operatorTimeout = time.Second

// Operator is the one of a number, which must be below 50.
func (m *Cluster) Operator(n int) *Operator {
	ip := fmt.Sprintf("%s.%d", m.subnet, 200+n)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &Operator{IP: ip, cluster: m, client: http.Client{Timeout: operatorTimeout,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// PathTo is that from an operator to a register.
func (o *Operator) PathTo(to *Machine) rig.Way { return rig.Way{From: o.IP, To: to.IP} }

// Modify sends a change of the configuration; status 0: no answer came.
func (o *Operator) Modify(at *Machine, body []byte) (status int, text string) {
	resp, err := o.client.Post(o.url(at, "modify"), "application/json", bytes.NewReader(body))
	return readResponse(resp, err)
}

// Fetch reads the configuration.
func (o *Operator) Fetch(at *Machine) (status int, text string) {
	resp, err := o.client.Get(o.url(at, "fetch"))
	return readResponse(resp, err)
}

func (o *Operator) url(at *Machine, call string) string {
	return "http://" + o.cluster.addr(at.IP, portRelayedAPI) + "/v1/configuration/" + call
}
