package fleet

import (
	"fmt"
	"log"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// Message types: the first byte of each message between members.
const (
	heartbeatMessage = 1
	rosterMessage    = 2
	digestMessage    = 3 // names the member that made it, which may not be the one that forwards it
)

// delegate receives memberlist's callbacks, which come from its goroutines. It implements memberlist's Delegate, EventDelegate,
// ConflictDelegate and AliveDelegate. memberlist holds its own lock during most callbacks, so they must not call memberlist.
type delegate struct{ f *Fleet }

// NotifyAlive rejects a member whose metadata can't be decoded or has another member's name.
func (d delegate) NotifyAlive(node *memberlist.Node) error {
	metadata, err := membership.DecodeMetadata(node.Meta)
	if err != nil {
		return err
	}
	if metadata.Name != node.Name {
		return fmt.Errorf("%w: member %q sent metadata with the name %q", membership.ErrMetadata, node.Name, metadata.Name)
	}
	return nil
}

// NotifyJoin records a member that has joined or come back.
func (d delegate) NotifyJoin(node *memberlist.Node) { d.recordAlive(node) }

// NotifyUpdate records a member whose metadata has changed.
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.recordAlive(node) }

// recordAlive records in the view and on the roster that a member is alive.
func (d delegate) recordAlive(node *memberlist.Node) {
	metadata, err := membership.DecodeMetadata(node.Meta)
	if err != nil {
		return // NotifyAlive has rejected it
	}
	f, now := d.f, BootTime()
	f.mu.Lock()
	f.view.MemberAlive(now, metadata, node.Address())
	_, known := f.nodes[metadata.Name]
	if metadata.Name != f.config.Name && (known || len(f.nodes) < membership.MaxMembers) {
		f.nodes[metadata.Name] = memberlist.Node{Name: node.Name, Addr: node.Addr, Port: node.Port}
		f.roster.Join(now, metadata.Name)
		f.otherMemberCount.Store(int64(len(f.nodes)))
	}
	f.mu.Unlock()
	f.wake()
}

// NotifyLeave records a member that has left or that the gossip has declared dead.
func (d delegate) NotifyLeave(node *memberlist.Node) {
	f, now := d.f, BootTime()
	f.mu.Lock()
	if node.State == memberlist.StateLeft {
		f.view.MemberLeft(now, node.Name)
		f.roster.Remove(now, node.Name) // only the member itself can announce that it leaves
	} else {
		f.view.MemberFailed(now, node.Name)
	}
	f.mu.Unlock()
	f.wake()
}

// NotifyConflict records that a second process uses a member's name.
func (d delegate) NotifyConflict(_, other *memberlist.Node) {
	metadata, err := membership.DecodeMetadata(other.Meta)
	if err != nil {
		return
	}
	d.f.mu.Lock()
	d.f.view.DuplicateName(BootTime(), metadata.Name, metadata.Incarnation)
	d.f.mu.Unlock()
}

// NodeMeta returns this member's metadata, which the gossip spreads to all members.
func (d delegate) NodeMeta(limit int) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	b := d.f.metadata().Encode()
	return b[:min(len(b), limit)]
}

// NotifyMsg processes a message from another member. Unknown types, which later versions may send, are ignored.
func (d delegate) NotifyMsg(message []byte) {
	d.f.bytesReceived.Add(int64(len(message)))
	if len(message) == 0 {
		return
	}
	switch message[0] {
	case heartbeatMessage:
		d.f.handleHeartbeat(message[1:])
	case rosterMessage:
		d.MergeRemoteState(message[1:], false)
	case digestMessage:
		d.f.receiveDigest(message)
	}
}

// handleHeartbeat processes a message of type heartbeatMessage, without its first byte.
func (f *Fleet) handleHeartbeat(body []byte) {
	heartbeat, rest, err := membership.DecodeHeartbeat(body)
	if err != nil {
		f.recordMalformed(err)
		return
	}
	demands, loans, err := shares.Decode(rest)
	if err != nil {
		f.recordMalformed(err)
		return
	}
	f.receiveHeartbeat(heartbeat, demands, loans)
}

// recordMalformed counts a message that can't be decoded. It logs the first one, and then each malformedLogInterval-th.
func (f *Fleet) recordMalformed(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.malformedMessages++
	if f.malformedMessages == 1 || f.malformedMessages%malformedLogInterval == 0 {
		log.Printf("fleet: %d messages from members could not be decoded; the last error: %v", f.malformedMessages, err)
	}
}

// malformedLogInterval is in messages. It keeps a faulty member from flooding the log.
const malformedLogInterval = 1000

// GetBroadcasts returns queued digests for the next gossip message.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.f.digestQueue.GetBroadcasts(overhead, limit)
}

// LocalState returns this member's encoded roster, which the gossip exchanges with other members periodically.
func (d delegate) LocalState(bool) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	return membership.EncodeEntries(d.f.roster.Entries())
}

// MergeRemoteState merges another member's roster.
func (d delegate) MergeRemoteState(state []byte, _ bool) {
	entries, err := membership.DecodeEntries(state)
	if err != nil {
		d.f.recordMalformed(err)
		return
	}
	d.f.mu.Lock()
	d.f.roster.Merge(BootTime(), entries)
	d.f.mu.Unlock()
	d.f.wake()
}
