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

// frameLengthBytes is the size of the length prefix of a frame.
const frameLengthBytes = 4

// NewRelayed is like New, but tolerates a given number of losses, and has a relay between all machines and between operators and
// members. The cluster closes the relay. Paths through the relay are named by the addresses of machines and operators; see PathTo.
func NewRelayed(dir string, members, tolerance int, services ...string) (*Cluster, *testfleet.Relay, error) {
	relay := testfleet.NewRelay()
	m, err := newClusterBehind(dir, members, tolerance, relay, services...)
	return m, relay, err
}

// relayMember configures a member, before its start, to be reached through the relay, if there is one.
func (m *Cluster) relayMember(x *Machine) error {
	if m.relay == nil {
		return nil
	}
	if err := m.relayTransport(x, portMemberTransport); err != nil {
		return err
	}
	return m.relay.Listen(x.IP, m.addr(x.IP, portRelayedAPI), x.Addr("ControlPlane"), identifyByAddress)
}

// relaySidecar configures a sidecar, before its start, to be reached through the relay, if there is one.
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

// identifyByAddress identifies a caller by the source address of its connection.
func identifyByAddress(from net.Addr, _ *bufio.Reader) (string, error) {
	host, _, err := net.SplitHostPort(from.String())
	return host, err
}

var errNoHello = errors.New("a connection begins with no hello")

// identifyByHello identifies a process by the address in the first frame of its connection, because the kernel chooses the source
// address.
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
	if err != nil { // an operator's tool has no address
		return "", nil
	}
	return host, nil
}
