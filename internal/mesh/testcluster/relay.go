package testcluster

import (
	"bufio"
	"encoding/binary"
	"errors"
	"net"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// frameLengthBytes is the size of a frame's length, which stands before it.
const frameLengthBytes = 4

// NewRelayed is New with so many losses to be tolerated, and with a relay before the transport of all machines and before the
// calls of Operators. The cluster closes the relay; its paths are named by the machines' and operators' addresses (PathTo).
func NewRelayed(dir string, members, tolerance int, services ...string) (*Cluster, *testfleet.Relay, error) {
	relay := testfleet.NewRelay()
	m, err := newClusterBehind(dir, members, tolerance, relay, services...)
	return m, relay, err
}

// relayMember puts the relay, if there is one, before a member that is about to start.
func (m *Cluster) relayMember(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	if err := m.relayTransport(x, portMemberTransport); err != nil {
		return err
	}
	return m.relay.Listen(x.IP, m.addr(x.IP, portRelayedAPI), x.Addr("ControlPlane"), identifyByAddress)
}

// relaySidecar puts the relay, if there is one, before a sidecar that is about to start.
func (m *Cluster) relaySidecar(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	return m.relayTransport(x, portSidecarTransport)
}

func (m *Cluster) relayTransport(x *Machine, known int) error {
	behind := m.addr(x.IP, portBehindRelay)
	x.Args = append(x.Args, "--listen-transport", behind)
	return m.relay.Listen(x.IP, m.addr(x.IP, known), behind, identifyByHello)
}

// identifyByAddress names who calls by the address that the call comes from.
func identifyByAddress(from net.Addr, _ *bufio.Reader) (string, error) {
	host, _, err := net.SplitHostPort(from.String())
	return host, err
}

var errNoHello = errors.New("a connection begins with no hello")

// identifyByHello names who opens a connection by the address in its first frame; the programs dial from whatever address the
// kernel gives.
func identifyByHello(_ net.Addr, first *bufio.Reader) (string, error) {
	head, err := first.Peek(frameLengthBytes)
	if err != nil {
		return "", err
	}
	size := int(binary.LittleEndian.Uint32(head))
	if size > first.Size()-frameLengthBytes {
		return "", errNoHello
	}
	frame, err := first.Peek(frameLengthBytes + size)
	if err != nil {
		return "", err
	}
	message, err := codec.Decode(frame[frameLengthBytes:])
	if err != nil {
		return "", err
	}
	hello, isHello := message.Value.(*wire.HelloT)
	if !isHello {
		return "", errNoHello
	}
	host, _, err := net.SplitHostPort(hello.Addr)
	if err != nil { // an operator's tool, which has no address
		return "", nil
	}
	return host, nil
}
