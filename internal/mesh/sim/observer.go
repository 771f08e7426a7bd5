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

// Bounds that runs are judged by.
const (
	leftBehindBound  = 2 * time.Second // a replica that a majority has left behind hands out no configuration after this
	catchUpBound     = recoverWithin
	acknowledgeBound = 4 * time.Second // in settled times
)

// checkConvergence is the name of the observer's own check: what stands once all faults are over.
const checkConvergence = "convergence"

// observer sees the run from outside and records what it sees.
type observer struct {
	world      *World
	seen       map[*replicaHost]*observed
	voters     voterSet // the latest that was committed
	maxTerm    uint64
	contact    map[*replicaHost]bool
	target     uint64 // applied index that all have to come up to
	catching   map[*replicaHost]bool
	committed  uint64 // index that some replica has applied
	violations []history.Violation
	lost       []lostDisk
}

// lostDisk is a disk that was lost of a sudden. What it had said before may still be under way to the leader, which can't know.
type lostDisk struct {
	id   raft.ID
	at   time.Duration
	disk disk
}

// underWay bounds how long after a disk's loss its word may still be under way to a leader that runs.
const underWay = 400 * time.Millisecond

// observed is what was last seen of a replica.
type observed struct {
	incarnation, term uint64
	pending           []voterSet // in its log, committed or not, in order
}

// voterSet is who votes from an entry on. While there are outgoing members a majority of both is needed.
type voterSet struct {
	index    uint64
	members  []raft.Member
	outgoing []raft.Member
}

// quorum says whether those counted are one.
func (v voterSet) quorum(counts func(raft.ID) bool) bool {
	return majority(v.members, counts) && (len(v.outgoing) == 0 || majority(v.outgoing, counts))
}

func majority(members []raft.Member, counts func(raft.ID) bool) bool {
	n := 0
	for _, m := range members {
		if counts(m.ID) {
			n++
		}
	}
	return n > len(members)/2
}

func ids(members []raft.Member) (l []uint64) {
	for _, m := range members {
		l = append(l, uint64(m.ID))
	}
	return l
}

func (o *observer) observedOf(h *replicaHost) *observed {
	if o.seen == nil {
		o.seen, o.contact, o.catching = map[*replicaHost]*observed{}, map[*replicaHost]bool{}, map[*replicaHost]bool{}
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

// beforeTurn sees an election before the leader's first entry is written.
func (o *observer) beforeTurn(h *replicaHost) {
	s := o.observedOf(h)
	if !h.replica.IsLeader() || s.term == h.replica.Term() {
		return
	}
	s.term = h.replica.Term()
	leader := history.Leader{At: o.world.now, Process: h.name, ID: uint64(h.replica.Self().ID), Term: s.term, LastIndex: h.replica.SavedIndex()}
	if s.term < o.maxTerm {
		leader.LastIndex = 0 // its votes came late: a later leader may have had more agreed on by then
	}
	o.maxTerm = max(o.maxTerm, s.term)
	o.world.history.Record(leader)
	o.world.trace("leader", h.name, "", []byte{byte(s.term)})
}

// started sees what a replica begins with.
func (o *observer) started(h *replicaHost, held raft.StoredState) {
	s := o.observedOf(h)
	s.pending = nil
	o.logged(h, raft.Ready{Snapshot: &held.Snapshot, Entries: held.Entries})
}

// logged sees what a replica writes.
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

// afterTurn sees which members are agreed on, and who has caught up.
func (o *observer) afterTurn(h *replicaHost) {
	s := o.observedOf(h)
	o.noteCommitted(h)
	for len(s.pending) > 0 && s.pending[0].index <= h.replica.AppliedIndex() {
		v := s.pending[0]
		s.pending = s.pending[1:]
		o.world.history.Record(history.Members{At: o.world.now, Process: h.name, Index: v.index, Voters: ids(v.members), Outgoing: ids(v.outgoing)})
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

// holder is the replica whose disk is that of a member; nil: that disk is lost.
func (o *observer) holder(id raft.ID) *replicaHost {
	for _, h := range o.world.replicas {
		if !h.removed && h.lastID == id {
			return h
		}
	}
	return nil
}

// noteCommitted sees which disks hold what is agreed on, when the first replica applies it. Nothing is acknowledged before.
func (o *observer) noteCommitted(h *replicaHost) {
	index := h.replica.AppliedIndex()
	if index <= o.committed {
		return
	}
	o.committed = index
	event := history.Synced{At: o.world.now, Index: index, Tolerance: replicaFault}
	term, known, _ := h.disk.term(index)
	members, _ := h.replica.Members()
	for _, m := range members {
		event.Counted = append(event.Counted, uint64(m.ID))
		disk := o.diskOf(h, m.ID)
		if disk == nil {
			continue
		}
		other, otherKnown, is := disk.term(index)
		if is && (!known || !otherKnown || term == other) {
			event.Disks = append(event.Disks, uint64(m.ID))
		}
	}
	o.world.history.Record(event)
}

// diskOf is the disk of a member, as far as a leader may know; nil: it is lost. What has come to a leader that stands still, or
// waits for its disk, is taken when it goes on.
func (o *observer) diskOf(leader *replicaHost, id raft.ID) disk {
	if held := o.holder(id); held != nil {
		return held.disk
	}
	for _, l := range o.lost {
		heardUntil := l.at + underWay + 2*o.world.network.extra
		if leader.stoodUntil >= l.at {
			heardUntil = max(heardUntil, leader.stoodUntil+underWay)
		}
		if l.id == id && o.world.now < heardUntil {
			return l.disk
		}
	}
	return nil
}

func (o *observer) losing(h *replicaHost) {
	o.lost = append(o.lost, lostDisk{h.lastID, o.world.now, h.disk})
}

// mayLose says whether the deployment promises to bear the loss of a replica's disk now: a quorum of the voters keep theirs.
func (o *observer) mayLose(h *replicaHost) bool {
	return o.voters.quorum(func(id raft.ID) bool {
		held := o.holder(id)
		return held != nil && held != h && !held.leaving
	})
}

// noteContacts records who can exchange messages with a quorum, or with one that can and may lead. It is to be called after each fault and its end.
func (o *observer) noteContacts() {
	for _, h := range o.world.replicas {
		o.observedOf(h)
		// A majority may follow one that this one hears, though not all of it.
		quorum := slices.ContainsFunc(o.world.replicas, func(other *replicaHost) bool { return o.reach(h, other) && o.reachesQuorum(other) })
		if was, known := o.contact[h]; !known || was != quorum {
			o.contact[h] = quorum
			o.world.history.Record(history.Contact{At: o.world.now, Process: h.name, Majority: quorum})
		}
	}
}

func (o *observer) reachesQuorum(h *replicaHost) bool {
	return o.voters.quorum(func(id raft.ID) bool {
		other := o.holder(id)
		return other != nil && o.reach(h, other)
	})
}

func (o *observer) reach(a, b *replicaHost) bool {
	n := &o.world.network
	return a.up && b.up && !a.frozen && !b.frozen && (a == b || n.open(a.process, b.process) && n.open(b.process, a.process))
}

func (o *observer) fault(p *process, kind history.FaultKind) {
	o.world.history.Record(history.Fault{At: o.world.now, Process: p.name, Kind: kind})
	o.noteContacts()
}

// recovering begins the time in which all have to catch up.
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

func (o *observer) settled(from, to time.Duration) {
	o.world.history.Record(history.StablePeriod{From: from, To: to})
}

// atEnd judges what stands at the end: all replicas are members, and their states are the same.
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
			violate("%s is not in touch", h.name)
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
		if !s.inTouch() {
			violate("%s is not in touch", s.name)
		}
	}
	return broken
}

// sameItems says that two replicas hold the same configuration. Their keys may differ by those whose windows have ended.
func sameItems(a, b *replica.Replica) bool {
	return bytes.Equal(codec.EncodeTable(config.ItemsToWire(a.State().Items.Items())), codec.EncodeTable(config.ItemsToWire(b.State().Items.Items())))
}
