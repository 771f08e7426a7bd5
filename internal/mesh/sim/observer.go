package sim

import (
	"bytes"
	"fmt"
	"slices"
	"time"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/history"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/transport/codec"
)

// Limits that the checkers apply to runs.
const (
	isolatedReadBound = 2 * time.Second // after this a replica without contact to a majority serves no configuration
	catchUpBound      = recoveryTimeout
	acknowledgeBound  = 4 * time.Second // in a stable period
)

// checkConvergence is the name of the observer's own check: the state of all replicas after all faults have ended.
const checkConvergence = "convergence"

// observer observes the run from outside the simulated processes and records its history.
type observer struct {
	world     *World
	seen      map[*replicaHost]*observed
	voters    voterSet              // the latest committed one
	maxTerm   uint64                // the latest term that a replica was seen to lead
	contact   map[*replicaHost]bool // with a quorum, as it was last recorded
	target    uint64                // applied index that all replicas have to reach; 0 in the period of faults
	catching  map[*replicaHost]bool // the replicas that have not reached target yet
	committed uint64                // highest index that a replica has applied
	lost      []lostDisk
}

// lostDisk is a disk that was lost without notice. Acknowledgements from before may still be in flight to the leader, which can't know.
type lostDisk struct {
	id   raft.ID
	at   time.Duration
	disk disk
}

// acknowledgementFlightTime is how long after a disk's loss its acknowledgements may still be in flight to a leader that runs.
const acknowledgementFlightTime = 100 * time.Millisecond

// observed is the last observed state of a replica.
type observed struct {
	incarnation uint64
	term        uint64     // that it was last seen to lead
	pending     []voterSet // configurations in its log that it has not applied yet, in order
}

// voterSet is the voters from an index on. While there are outgoing members, majorities of both are needed.
type voterSet struct {
	index    uint64
	members  []raft.Member
	outgoing []raft.Member
}

// quorum reports whether the members that count are a quorum.
func (v voterSet) quorum(counts func(raft.ID) bool) bool {
	return majority(v.members, counts) && (len(v.outgoing) == 0 || majority(v.outgoing, counts))
}

// majority reports whether more than half of the members count.
func majority(members []raft.Member, counts func(raft.ID) bool) bool {
	n := 0
	for _, m := range members {
		if counts(m.ID) {
			n++
		}
	}
	return n > len(members)/2
}

// ids returns the IDs of members.
func ids(members []raft.Member) (l []uint64) {
	for _, m := range members {
		l = append(l, uint64(m.ID))
	}
	return l
}

// observedOf returns the last observed state of a replica, which is a new one after a start.
func (o *observer) observedOf(h *replicaHost) *observed {
	if o.seen == nil {
		o.seen = map[*replicaHost]*observed{}
		o.contact = map[*replicaHost]bool{}
		o.catching = map[*replicaHost]bool{}
	}
	s := o.seen[h]
	if s == nil {
		s = &observed{}
		o.seen[h] = s
	}
	if s.incarnation != h.incarnation {
		*s = observed{incarnation: h.incarnation}
	}
	return s
}

// beforeTurn records an election, before the leader's first entry is written.
func (o *observer) beforeTurn(h *replicaHost) {
	s := o.observedOf(h)
	if !h.replica.IsLeader() || s.term == h.replica.Term() {
		return
	}
	s.term = h.replica.Term()
	leader := history.Leader{
		At:        o.world.now,
		Process:   h.name,
		ID:        uint64(h.replica.Self().ID),
		Term:      s.term,
		LastIndex: h.replica.SavedIndex(),
	}
	if s.term < o.maxTerm {
		leader.LastIndex = 0 // its votes came late: a later leader may have committed more by then
	}
	o.maxTerm = max(o.maxTerm, s.term)
	o.world.history.Record(leader)
	o.world.trace("leader", h.name, "", []byte{byte(s.term)})
}

// started records the state with which a replica starts.
func (o *observer) started(h *replicaHost, stored raft.StoredState) {
	s := o.observedOf(h)
	s.pending = nil
	o.logged(h, raft.Ready{Snapshot: &stored.Snapshot, Entries: stored.Entries})
}

// logged records what a replica writes to its log.
func (o *observer) logged(h *replicaHost, ready raft.Ready) {
	s := o.observedOf(h)
	if x := ready.Snapshot; x != nil && x.Index > 0 {
		s.pending = []voterSet{{x.ConfigurationIndex, x.Members, x.Outgoing}}
	}
	for i, e := range ready.Entries {
		if i == 0 {
			s.pending = slices.DeleteFunc(s.pending, func(v voterSet) bool { return v.index >= e.Index })
		}
		if e.Kind == raft.EntryConfiguration {
			s.pending = append(s.pending, voterSet{e.Index, e.Members, e.Outgoing})
		}
	}
}

// afterTurn records which configurations are committed, and who has caught up.
func (o *observer) afterTurn(h *replicaHost) {
	s := o.observedOf(h)
	o.noteCommitted(h)
	for len(s.pending) > 0 && s.pending[0].index <= h.replica.AppliedIndex() {
		v := s.pending[0]
		s.pending = s.pending[1:]
		o.world.history.Record(history.Members{
			At:       o.world.now,
			Process:  h.name,
			Index:    v.index,
			Voters:   ids(v.members),
			Outgoing: ids(v.outgoing),
		})
		if v.index > o.voters.index {
			o.voters = v
			o.world.trace("members", h.name, fmt.Sprint(v.members, v.outgoing), nil)
			o.noteContacts()
		}
	}
	if o.catching[h] && h.replica.AppliedIndex() >= o.target {
		delete(o.catching, h)
		o.world.history.Record(history.CatchUp{At: o.world.now, Process: h.name, Ended: true})
	}
}

// holder returns the replica that has the disk of a member, or nil if that disk is lost.
func (o *observer) holder(id raft.ID) *replicaHost {
	for _, h := range o.world.replicas {
		if !h.removed && h.lastID == id {
			return h
		}
	}
	return nil
}

// noteCommitted records which disks hold an index when the first replica applies it. Nothing is acknowledged before.
func (o *observer) noteCommitted(h *replicaHost) {
	index := h.replica.AppliedIndex()
	if index <= o.committed {
		return
	}
	o.committed = index
	event := history.Synced{At: o.world.now, Index: index, Tolerance: faultsTolerated}
	term, known, _ := h.disk.term(index)
	members, _ := h.replica.Members()
	for _, m := range members {
		event.Counted = append(event.Counted, uint64(m.ID))
		disk := o.diskOf(h, m.ID)
		if disk == nil {
			continue
		}
		otherTerm, otherKnown, isStored := disk.term(index)
		if isStored && (!known || !otherKnown || term == otherTerm) {
			event.Disks = append(event.Disks, uint64(m.ID))
		}
	}
	o.world.history.Record(event)
}

// diskOf returns the disk of a member as far as a leader may know, or nil if it is lost. A leader that is frozen or waits for its disk
// handles the acknowledgements that reached it when it goes on.
func (o *observer) diskOf(leader *replicaHost, id raft.ID) disk {
	if host := o.holder(id); host != nil {
		return host.disk
	}
	for _, l := range o.lost {
		lastArrival := l.at + acknowledgementFlightTime + 2*o.world.network.extra
		if leader.stalledUntil >= l.at {
			lastArrival = max(lastArrival, leader.stalledUntil+acknowledgementFlightTime)
		}
		if l.id == id && o.world.now < lastArrival {
			return l.disk
		}
	}
	return nil
}

// losing records that a disk is about to be lost without notice.
func (o *observer) losing(h *replicaHost) {
	o.lost = append(o.lost, lostDisk{h.lastID, o.world.now, h.disk})
}

// canLose reports whether the deployment promises to tolerate the loss of a replica's disk now: a quorum of the voters keep theirs.
func (o *observer) canLose(h *replicaHost) bool {
	return o.voters.quorum(func(id raft.ID) bool {
		host := o.holder(id)
		return host != nil && host != h && !host.leaving
	})
}

// noteContacts records which replicas can exchange messages with a quorum, or with a replica that can and may lead. It must be called
// after each fault and its end.
func (o *observer) noteContacts() {
	for _, h := range o.world.replicas {
		o.observedOf(h)
		// The leader may be one that this replica reaches, although the replica itself reaches no majority.
		quorum := slices.ContainsFunc(o.world.replicas, func(other *replicaHost) bool { return o.reach(h, other) && o.reachesQuorum(other) })
		if was, known := o.contact[h]; !known || was != quorum {
			o.contact[h] = quorum
			o.world.history.Record(history.Contact{At: o.world.now, Process: h.name, Majority: quorum})
		}
	}
}

// reachesQuorum reports whether a replica can exchange messages with a quorum.
func (o *observer) reachesQuorum(h *replicaHost) bool {
	return o.voters.quorum(func(id raft.ID) bool {
		other := o.holder(id)
		return other != nil && o.reach(h, other)
	})
}

// reach reports whether two replicas can exchange messages.
func (o *observer) reach(a, b *replicaHost) bool {
	n := &o.world.network
	return a.up && b.up && !a.frozen && !b.frozen && (a == b || n.open(a.process, b.process) && n.open(b.process, a.process))
}

// fault records a fault of a process, and what it changes of contacts.
func (o *observer) fault(p *process, kind history.FaultKind) {
	o.world.history.Record(history.Fault{At: o.world.now, Process: p.name, Kind: kind})
	o.noteContacts()
}

// recovering begins the period in which all replicas have to catch up.
func (o *observer) recovering() {
	o.target = 0
	for _, h := range o.world.replicas {
		if h.replica != nil {
			o.target = max(o.target, h.replica.AppliedIndex())
		}
	}
	for _, h := range o.world.replicas {
		if !h.removed {
			o.observedOf(h)
			o.catching[h] = true
			o.world.history.Record(history.CatchUp{At: o.world.now, Process: h.name})
		}
	}
}

// recordStablePeriod records a period without faults.
func (o *observer) recordStablePeriod(from, to time.Duration) {
	o.world.history.Record(history.StablePeriod{From: from, To: to})
}

// atEnd checks the state at the end of a run: all replicas must be members, and their states must be equal.
func (o *observer) atEnd() (broken []history.Violation) {
	w := o.world
	violate := func(format string, args ...any) {
		broken = append(broken, history.Violation{Checker: checkConvergence, At: w.now, Text: fmt.Sprintf(format, args...)})
	}
	var first *replica.Replica
	leaders := 0
	for _, h := range w.replicas {
		switch {
		case h.removed:
			continue
		case h.replica == nil:
			violate("%s does not run", h.name)
			continue
		case h.replica.QuorumContact() == 0:
			violate("%s has no quorum contact", h.name)
		}
		if h.replica.IsLeader() {
			leaders++
		}
		members, _ := h.replica.Members()
		if len(members) != w.options.Replicas || !slices.Contains(members, h.replica.Self()) {
			violate("the members are %v as %s knows", members, h.name)
		}
		if first == nil {
			first = h.replica
		} else if first.AppliedIndex() == h.replica.AppliedIndex() && !sameItems(first, h.replica) {
			violate("%s has another state than the first replica at entry %d", h.name, first.AppliedIndex())
		}
	}
	if leaders != 1 {
		violate("%d replicas lead", leaders)
	}
	for _, s := range w.sidecars {
		if !s.hasQuorumContact() {
			violate("%s follows no member with quorum contact", s.name)
		}
	}
	return broken
}

// sameItems reports whether two replicas hold the same configuration. Their leases may differ by those that have expired.
func sameItems(a, b *replica.Replica) bool {
	return bytes.Equal(encodedItems(a), encodedItems(b))
}

// encodedItems returns the configuration of a replica, encoded.
func encodedItems(r *replica.Replica) []byte {
	return codec.EncodeTable(config.ItemsToWire(r.State().Items.Items()))
}
