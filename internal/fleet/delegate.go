package fleet

import (
	"fmt"
	"log"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/shares"
)

// Types of messages between members, in their first byte.
const (
	heartbeatMessage = 1
	rosterMessage    = 2
	digestMessage    = 3 // in the name of the member that observed it, not of the one that sends it on
)

// delegate is what the gossip calls, from its own goroutines. It implements memberlist's Delegate, EventDelegate, ConflictDelegate and
// AliveDelegate. The gossip holds a lock of its own in most of these calls, so none of them may call it.
type delegate struct{ f *Fleet }

// NotifyAlive rejects a member whose metadata can't be decoded or belongs to another name.
func (d delegate) NotifyAlive(node *memberlist.Node) error {
	metadata, err := membership.DecodeMetadata(node.Meta)
	if err != nil {
		return err
	}
	if metadata.Name != node.Name {
		return fmt.Errorf("%w: member %q sends that of %q", membership.ErrMetadata, node.Name, metadata.Name)
	}
	return nil
}

// NotifyJoin records a member that is alive.
func (d delegate) NotifyJoin(node *memberlist.Node) { d.recordAlive(node) }

// NotifyUpdate records a member whose metadata has changed.
func (d delegate) NotifyUpdate(node *memberlist.Node) { d.recordAlive(node) }

// recordAlive records that a member is alive, in the view and on the roster.
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
		f.knownMembers.Store(int64(len(f.nodes)))
	}
	f.mu.Unlock()
	f.wake()
}

// NotifyLeave records a member that has left or is dead.
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

// NotifyConflict records a second process with the name of a member.
func (d delegate) NotifyConflict(_, other *memberlist.Node) {
	metadata, err := membership.DecodeMetadata(other.Meta)
	if err != nil {
		return
	}
	d.f.mu.Lock()
	d.f.view.DuplicateName(BootTime(), metadata.Name, metadata.Incarnation)
	d.f.mu.Unlock()
}

// NodeMeta returns this member's metadata, which the gossip carries to all.
func (d delegate) NodeMeta(limit int) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	b := d.f.metadata().Encode()
	return b[:min(len(b), limit)]
}

// NotifyMsg processes a message of another member. Types of later versions are ignored.
func (d delegate) NotifyMsg(message []byte) {
	d.f.bytesReceived.Add(int64(len(message)))
	if len(message) == 0 {
		return
	}
	switch message[0] {
	case heartbeatMessage:
		d.f.decodeHeartbeat(message[1:])
	case rosterMessage:
		d.MergeRemoteState(message[1:], false)
	case digestMessage:
		d.f.receiveDigest(message)
	}
}

// decodeHeartbeat processes a message of type heartbeatMessage, without its first byte.
func (f *Fleet) decodeHeartbeat(body []byte) {
	heartbeat, rest, err := membership.DecodeHeartbeat(body)
	if err != nil {
		f.recordUnreadable(err)
		return
	}
	demands, loans, err := shares.Decode(rest)
	if err != nil {
		f.recordUnreadable(err)
		return
	}
	f.receiveHeartbeat(heartbeat, demands, loans)
}

// recordUnreadable counts a message that can't be decoded. It logs the first, and every unreadableLogInterval-th after it.
func (f *Fleet) recordUnreadable(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unreadableMessages++
	if f.unreadableMessages == 1 || f.unreadableMessages%unreadableLogInterval == 0 {
		log.Printf("fleet: %d messages of members could not be decoded, the last one: %v", f.unreadableMessages, err)
	}
}

// unreadableLogInterval keeps a faulty member from filling the log.
const unreadableLogInterval = 1000

// GetBroadcasts returns queued digests for the gossip to send on.
func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.f.digestQueue.GetBroadcasts(overhead, limit)
}

// LocalState returns this member's roster, which the gossip exchanges with others from time to time.
func (d delegate) LocalState(bool) []byte {
	d.f.mu.Lock()
	defer d.f.mu.Unlock()
	return membership.EncodeEntries(d.f.roster.Entries())
}

// MergeRemoteState merges another member's roster.
func (d delegate) MergeRemoteState(state []byte, _ bool) {
	entries, err := membership.DecodeEntries(state)
	if err != nil {
		d.f.recordUnreadable(err)
		return
	}
	d.f.mu.Lock()
	d.f.roster.Merge(BootTime(), entries)
	d.f.mu.Unlock()
	d.f.wake()
}
