package controlplane

import "cranegrade/internal/mesh/transport"

// sidecarSet holds all inbound connections except those of other members: the connections of sidecars and of observers. An observer is a
// client that only makes calls and announces no address: meshctl, or the leader's survey (statusConnections). Observers receive the same
// broadcasts as sidecars and may ignore them. The set belongs to the loop's goroutine.
type sidecarSet struct {
	connections map[*transport.Conn]bool
}

// add adds a connection.
func (s *sidecarSet) add(connection *transport.Conn) {
	if s.connections == nil {
		s.connections = map[*transport.Conn]bool{}
	}
	s.connections[connection] = true
}

// remove removes a connection that has ended.
func (s *sidecarSet) remove(connection *transport.Conn) { delete(s.connections, connection) }

// broadcast sends a frame on all connections. A connection on which that fails ends, and its sidecar reconnects.
func (s *sidecarSet) broadcast(frame []byte) {
	for connection := range s.connections {
		_ = connection.SendFrame(frame)
	}
}

// addresses returns the addresses of the connected sidecars. Observers have none.
func (s *sidecarSet) addresses() (addresses []string) {
	for connection := range s.connections {
		if address := connection.Peer.Addr; address != "" {
			addresses = append(addresses, address)
		}
	}
	return addresses
}

// close closes all connections.
func (s *sidecarSet) close() {
	for connection := range s.connections {
		connection.Close(nil)
	}
}
