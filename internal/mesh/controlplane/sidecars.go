package controlplane

import "cranegrade/internal/mesh/transport"

// sidecarSet holds the connections of sidecars and of observers, which are all that are not of other members. An observer is a client that
// only asks and announces no address: meshctl, or the survey of the leader (statusConnections). It is sent what sidecars are sent, and
// may ignore it. The set belongs to the loop's goroutine.
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

// broadcast sends a frame on all connections. A connection that can't take it ends, and its sidecar connects again.
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
