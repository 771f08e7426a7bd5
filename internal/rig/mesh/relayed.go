package mesh

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/rig"
)

// Ports of a machine, as indices of Mesh.ports; a register's trunks and a line's are known by different ones.
const (
	portControl   = 0
	portRegisters = 1 // trunks of registers, as others know them
	portInbound   = 2 // trunks of lines, as others know them
	portTrunks    = 6 // where a process listens for trunks that come through the relay
	portOperators = 7 // where the relay takes operators' calls to a register
	portsUsed     = 8
)

// NewRelayed is New with so many losses to be borne, and with a relay before the trunks of all machines and before the calls
// of Operators. The mesh closes the relay; its ways are named by the machines' and operators' addresses (Way).
func NewRelayed(dir string, registers, tolerance int, services ...string) (*Mesh, *rig.Relay, error) {
	relay := rig.NewRelay()
	m, err := begin(dir, registers, tolerance, relay, services...)
	return m, relay, err
}

// Way is that from one machine to another.
func (x *Machine) Way(to *Machine) rig.Way { return rig.Way{From: x.IP, To: to.IP} }

// relayRegister puts the relay, if there is one, before a register that is about to start.
func (m *Mesh) relayRegister(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	if err := m.relayTrunks(x, portRegisters); err != nil {
		return err
	}
	return m.relay.Listen(x.IP, m.at(x.IP, portOperators), x.At("ControlPlane"), byAddress)
}

// relayLine puts the relay, if there is one, before a line that is about to start.
func (m *Mesh) relayLine(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	return m.relayTrunks(x, portInbound)
}

func (m *Mesh) relayTrunks(x *Machine, known int) error {
	behind := m.at(x.IP, portTrunks)
	x.Args = append(x.Args, "--listen-trunks", behind)
	return m.relay.Listen(x.IP, m.at(x.IP, known), behind, byHello)
}

func (m *Mesh) at(ip string, port int) string { return fmt.Sprintf("%s:%d", ip, m.ports[port]) }

// byAddress names who calls by the address that the call comes from.
func byAddress(from net.Addr, _ *bufio.Reader) (string, error) {
	host, _, err := net.SplitHostPort(from.String())
	return host, err
}

var errNoHello = errors.New("a trunk begins with no hello")

// byHello names who opens a trunk by the address in its first frame; the programs dial from whatever address the kernel gives.
func byHello(_ net.Addr, first *bufio.Reader) (string, error) {
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
	message, err := trunk.Decode(frame[4:])
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
	IP     string
	mesh   *Mesh
	client http.Client
}

// callWithin is how long an operator waits for an answer: callers of the control plane move on after a second.
const callWithin = time.Second

// Operator is the one of a number, which must be below 50.
func (m *Mesh) Operator(n int) *Operator {
	ip := fmt.Sprintf("%s.%d", m.net, 200+n)
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
	return &Operator{IP: ip, mesh: m, client: http.Client{Timeout: callWithin,
		Transport: &http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true}}}
}

// Way is that from an operator to a register.
func (o *Operator) Way(to *Machine) rig.Way { return rig.Way{From: o.IP, To: to.IP} }

// Modify sends a change of the configuration; status 0: no answer came.
func (o *Operator) Modify(at *Machine, body []byte) (status int, text string) {
	resp, err := o.client.Post(o.url(at, "modify"), "application/json", bytes.NewReader(body))
	return answer(resp, err)
}

// Fetch reads the configuration.
func (o *Operator) Fetch(at *Machine) (status int, text string) {
	resp, err := o.client.Get(o.url(at, "fetch"))
	return answer(resp, err)
}

func (o *Operator) url(at *Machine, call string) string {
	return "http://" + o.mesh.at(at.IP, portOperators) + "/v1/configuration/" + call
}
