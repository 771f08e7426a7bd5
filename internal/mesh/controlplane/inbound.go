package controlplane

import (
	"net"
	"net/http"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// acceptConnections accepts connections of members, sidecars and observers until the member stops.
func (m *Member) acceptConnections() {
	transport.AcceptEach(m.transportListener, m.loop.stopped, m.acceptConnection)
}

// acceptConnection completes the handshake and then serves the connection. A connection whose handshake fails is dropped.
func (m *Member) acceptConnection(raw net.Conn) {
	connection, err := transport.Accept(raw, m.heartbeat)
	if err != nil {
		m.log.Debug().Err(err).Str("remote", raw.RemoteAddr().String()).Msg("handshake failed")
		return
	}
	m.serveConnection(connection)
}

// heartbeat returns the content of heartbeats. It runs on the connections' goroutines, so that it reports the loss of quorum contact
// even while the loop's goroutine hangs, for instance on a disk write.
func (m *Member) heartbeat() *wire.HeartbeatT {
	return &wire.HeartbeatT{QuorumContact: replica.HasQuorumContact(time.Duration(m.quorumContact.Load()), m.clock.now())}
}

// serveConnection receives and handles messages until the connection ends.
func (m *Member) serveConnection(connection *transport.Conn) {
	from := replica.FromReplica
	if !connection.Peer.ControlPlane {
		from = replica.FromSidecar
	}
	if from == replica.FromSidecar {
		m.loop.post(func() { m.registerSidecar(connection) })
		defer m.loop.post(func() { m.sidecars.remove(connection) })
	} else {
		m.loop.post(func() { m.connectBack(connection) })
	}
	for {
		message, err := connection.Receive()
		if err != nil {
			return
		}
		switch body := message.Value.(type) {
		case *wire.RaftMessageT:
			if from == replica.FromReplica {
				m.stepMessage(body)
			}
		case *wire.RecordsT:
			m.loop.post(func() { m.mergeRecords(directory.FromWire(body), connection, from) })
		case *wire.CallT:
			m.serveCall(connection, body, from)
		}
	}
}

// registerSidecar adds a sidecar's connection and sends it the initial messages.
func (m *Member) registerSidecar(connection *transport.Conn) {
	m.sidecars.add(connection)
	for _, message := range m.replica.InitialMessages() {
		_ = connection.Send(message)
	}
}

// connectBack records the address of a member that has connected, and dials that member.
func (m *Member) connectBack(connection *transport.Conn) {
	m.replica.RememberAddress(raft.ID(connection.Peer.MemberId), connection.Peer.Addr)
	m.peers.link(connection.Peer.Addr).dialNow()
}

// sendRecords sends all records to a peer that has just been connected, since it may have missed some while it was not connected.
func (m *Member) sendRecords(connection *transport.Conn) {
	m.loop.post(func() { _ = connection.Send(directory.ToWire(m.replica.Records().All())) })
}

// stepMessage passes a Raft message to the replica. A message that can't be decoded is dropped, which Raft tolerates like
// a lost message.
func (m *Member) stepMessage(body *wire.RaftMessageT) {
	message, err := raftwire.MessageFromWire(body)
	if err != nil {
		m.log.Debug().Err(err).Msg("consensus message dropped")
		return
	}
	m.loop.post(func() { m.replica.Step(m.clock.now(), message) })
}

// mergeRecords merges records that a sidecar sent about itself, or that another member forwarded. Where this member has a newer record, it
// sends that back to the sender.
func (m *Member) mergeRecords(records []directory.Record, connection *transport.Conn, from replica.Origin) {
	for _, newer := range m.replica.MergeRecords(m.clock.now(), records, from) {
		_ = connection.Send(directory.ToWire([]directory.Record{newer}))
	}
}

// serveCall answers a call of a sidecar, a member or an observer. Calls that must be answered while the loop's goroutine hangs, and
// bodies that are slow to parse, are handled on other goroutines.
func (m *Member) serveCall(connection *transport.Conn, call *wire.CallT, from replica.Origin) {
	switch call.Kind {
	case codec.CallLogRing:
		_ = connection.Send(&wire.CallReplyT{Id: call.Id, Status: http.StatusOK, Body: m.logRing.Contents()})
	case codec.CallStatus:
		m.answerStatus(connection, call.Id)
	case codec.CallModify:
		go m.answerModify(connection, call)
	default:
		m.loop.post(func() {
			m.replica.HandleCall(m.clock.now(), call.Kind, call.Body, from, replyTo(connection, call.Id))
		})
	}
}

// answerModify answers a configuration change that another member forwarded. Its body, which may be large, is parsed neither on the loop's
// goroutine nor on the connection's, since both have to handle heartbeats in time.
func (m *Member) answerModify(connection *transport.Conn, call *wire.CallT) {
	reply := replyTo(connection, call.Id)
	modification, err := config.ParseUpdate(call.Body)
	if err != nil {
		reply(replica.ErrorReply(err))
		return
	}
	m.loop.post(func() { m.replica.HandleModify(m.clock.now(), modification, reply) })
}

// replyTo returns a function that sends the reply to a call. If the reply has a Push message, that is sent first.
func replyTo(connection *transport.Conn, id uint64) func(replica.Reply) {
	return func(reply replica.Reply) {
		if reply.Push != nil {
			_ = connection.Send(reply.Push)
		}
		_ = connection.Send(&wire.CallReplyT{Id: id, Status: uint16(reply.Status), Body: reply.Body})
	}
}
