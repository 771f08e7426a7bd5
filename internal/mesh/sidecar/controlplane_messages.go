package sidecar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/memberselection"
	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// handleMessage handles one message of a member. It runs on the goroutine of the connection. Items and records are
// merged by version, so it does not matter which member sends them.
func (c *controlPlaneConn) handleMessage(id memberselection.ConnID, conn *transport.Conn, message codec.Message) {
	switch value := message.Value.(type) {
	case *wire.HeartbeatT:
		c.post(func(now time.Duration) { c.selector.HeartbeatReceived(now, id, value.QuorumContact) })
	case *wire.ItemsT:
		c.configuration.mergeItems(config.ItemsFromWire(value))
	case *wire.RecordsT:
		c.directory.mergeRecords(directory.FromWire(value))
	case *wire.MachinesInMaintenanceT:
		c.maintenance.apply(value)
	case *wire.ActivePolicyT:
		c.configuration.applyActivePolicies(value)
	case *wire.MembersT:
		addrs := memberAddrs(value)
		c.post(func(now time.Duration) { c.selector.SetMembers(now, value.Index, addrs) })
	case *wire.CallReplyT:
		c.env.calls.Deliver(conn, value)
	}
}

// memberAddrs returns the addresses in a list of control-plane members.
func memberAddrs(members *wire.MembersT) (addrs []string) {
	for _, member := range members.List {
		addrs = append(addrs, member.Addr)
	}
	return addrs
}

// confirm reads the configuration from the followed member by a linearizable read, and reports the result to the
// selector. It runs on its own goroutine.
func (c *controlPlaneConn) confirm(conn *transport.Conn, id memberselection.ConnID) {
	hasItems, err := c.readTable(conn)
	confirmed := hasItems && err == nil
	if confirmed { // otherwise the read failed, or no operator has configured anything yet
		c.onConfirmed()
	}
	c.post(func(now time.Duration) { c.selector.ConfirmationReceived(now, id, confirmed) })
}

// readTable reads all items and the active policies by a linearizable read, and applies them. hasItems is false if no
// operator has configured anything yet.
func (c *controlPlaneConn) readTable(conn *transport.Conn) (hasItems bool, err error) {
	ctx, cancel := context.WithTimeout(c.env.ctx, callTimeout)
	defer cancel()
	requestedAt := c.env.clock.Now()
	body, err := c.env.callMember(ctx, conn, codec.CallItems, nil)
	if err != nil {
		return false, errors.Annotate(err, "linearizable read of the configuration items")
	}
	items, err := codec.DecodeTable(body, func(p []byte) *wire.ItemsT { return wire.GetRootAsItems(p, 0).UnPack() })
	if err != nil {
		return false, errors.Annotatef(err, "decode the configuration items from control-plane member %s", conn.RemoteAddr())
	}
	if !c.configuration.applyConfirmedTable(items, requestedAt) {
		return false, errors.New("received policies do not match the fingerprint of the active set, reading again")
	}
	c.env.log.Info().Str("member_addr", conn.RemoteAddr()).Uint64("index", items.Index).Msg("items confirmed")
	return len(items.List) > 0, nil
}

// sendRecord sends this sidecar's record to the followed member, if there is one. If the record is lost, the regular
// refresh after recordRefreshInterval replaces it.
func (c *controlPlaneConn) sendRecord(record directory.Record) {
	if conn := c.conn.Load(); conn != nil {
		_ = conn.Send(directory.ToWire([]directory.Record{record}))
	}
}
