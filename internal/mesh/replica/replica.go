// Package replica implements the deterministic logic of one control-plane member. A Replica drives the member's Raft instance, applies
// committed entries to the replicated State, handles calls from operators, sidecars and other replicas, and broadcasts state changes to
// sidecars.
//
// A Replica owns the replicated state and all requests in flight: proposals, reads and forwarded calls. It is not safe for concurrent use:
// a single goroutine, that of its owner, makes all calls. The owner passes the time to each call, and the replica causes all side effects
// through Environment. The package must never start a goroutine, read a clock, open a socket or draw a random number, and no result may
// depend on the iteration order of a map, so that the same sequence of calls always has the same effects. In production the owner is
// package controlplane (the goroutine of Member.Run), in tests it is package sim. After one or several calls the owner must call
// ProcessReady, which saves, sends and applies their results.
//
// A change is acknowledged once its entry is applied (proposals.go), and an entry is applied once a quorum has it on disk (package raft).
// A message that depends on a save is sent only after that save (ready.go). The files of the package:
//   - calls.go, updates.go and reads.go handle calls, and forward.go forwards them to the leader;
//   - state.go, maintenance.go and policy.go apply entries, and snapshot.go encodes and restores snapshots;
//   - peers.go and sidecars.go communicate with other replicas and with sidecars;
//   - view.go has the read-only accessors for the owner.
//
// Linearizable reads follow Ongaro's dissertation on Raft, section 6.4 (reads.go). The project's documentation of operations defines
// the calls and their bodies.
package replica

import (
	"cmp"
	"slices"
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	// TickInterval is the time between two calls of Tick.
	TickInterval = 50 * time.Millisecond
	// CallTimeout bounds a call to the leader. It is shorter than 1 s, the time after which callers give up.
	CallTimeout = 900 * time.Millisecond

	heartbeatInterval    = 100 * time.Millisecond
	electionTimeout      = 500 * time.Millisecond
	deadMemberTimeout    = 2 * time.Second
	stallTimeout         = 300 * time.Millisecond // without a Tick for this long, the replica reports no quorum contact
	recordTTL            = 30 * time.Second       // a sidecar's record expires unless it is received again within this time
	recordExpiryInterval = 5 * time.Second        // between two removals of expired records
)

const (
	// DefaultCompactionThreshold is the default of Config.CompactionThreshold.
	DefaultCompactionThreshold = 4096

	// maxProposals bounds the proposals in flight and, separately, the calls that wait for an entry to be applied.
	maxProposals = 4096
	// minReplicas is the size of the smallest cluster that tolerates the loss of one member.
	minReplicas = 3
	// replicasPerFault is the number of additional members for each tolerated fault: 2n+1 members tolerate n faults.
	replicasPerFault = 2
)

// Config configures a Replica.
type Config struct {
	// Address is where other replicas and sidecars reach this one.
	Address string
	// Stored is the state read from disk.
	Stored raft.StoredState
	// Seeds are addresses of replicas to connect to, in addition to those of the members.
	Seeds []string
	// FaultsTolerated is the number n of machines whose loss the cluster tolerates. It has 2n+1 members, at least 3.
	FaultsTolerated int
	// RandomSeed seeds the randomization of election timeouts. It must differ between replicas.
	RandomSeed uint64
	// CompactionThreshold is the number of log entries after the snapshot above which the log is compacted. 0 selects
	// DefaultCompactionThreshold.
	CompactionThreshold int
	// TailEntries is the number of entries before the snapshot to retain for lagging followers. It is not used yet.
	TailEntries int
	Log         zerolog.Logger
}

// Replica is the logic of one control-plane member. It is not safe for concurrent use.
type Replica struct {
	env  Environment
	log  zerolog.Logger
	self raft.Member
	raft *raft.Raft
	now  time.Duration

	state               State
	compactionThreshold int
	leaderGap           leaderGap

	savedIndex   uint64      // index of the last entry on disk
	unsavedReady *raft.Ready // the Ready whose save failed, or nil; it must be saved before anything else is processed

	proposals      map[uint64]proposal // by index of the proposed entry
	lastProposed   uint64              // index of the latest entry that this replica proposed
	pendingUpdates pendingUpdates
	reads          readQueue
	waiters        []waiter
	forwardedCalls []*forwardedCall

	peers                 peerAddresses
	announcedLeader       raft.ID
	announcedMembersIndex uint64        // index of the membership configuration last sent to sidecars
	quorumContact         time.Duration // see QuorumContact
	inMaintenance         bool          // a maintenance order has taken this replica's machine out of service, as of the last Tick

	records          directory.Table
	lastRecordExpiry time.Duration
}

// New returns a replica with the state that was read from its disk. It fails only if the stored state can't be decoded, so a retry would
// fail again.
func New(c Config, env Environment, now time.Duration) (*Replica, error) {
	r := &Replica{
		env:                 env,
		log:                 c.Log,
		self:                raft.Member{ID: c.Stored.Self, Addr: c.Address},
		now:                 now,
		compactionThreshold: cmp.Or(c.CompactionThreshold, DefaultCompactionThreshold),
		savedIndex:          c.Stored.Snapshot.Index + uint64(len(c.Stored.Entries)),
		proposals:           map[uint64]proposal{},
		reads:               newReadQueue(),
		peers:               newPeerAddresses(c.Address, c.Seeds),
	}
	if err := r.state.Decode(c.Stored.Snapshot.Data); err != nil {
		return nil, err
	}
	r.raft = raft.New(raft.Config{
		Self:              r.self,
		HardState:         c.Stored.HardState,
		Snapshot:          c.Stored.Snapshot,
		Entries:           c.Stored.Entries,
		ClusterSize:       max(minReplicas, replicasPerFault*c.FaultsTolerated+1),
		HeartbeatInterval: heartbeatInterval,
		ElectionTimeout:   electionTimeout,
		DeadMemberTimeout: deadMemberTimeout,
		Seed:              c.RandomSeed,
	}, now)
	return r, nil
}

// advanceTime sets the replica's time to now, unless that is before its present time.
func (r *Replica) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// Step handles a Raft message that was received from another replica.
func (r *Replica) Step(now time.Duration, message raft.Message) {
	r.advanceTime(now)
	r.raft.Step(r.now, message)
}

// Tick performs the periodic work. It must be called every TickInterval, followed by ProcessReady.
func (r *Replica) Tick(now time.Duration) {
	r.advanceTime(now)
	r.raft.Tick(r.now)
	r.updateMaintenance()
	r.updateQuorumContact()
	r.announceLeader()
	r.announceMembers()
	r.maintainConnections()
	r.expireRecords()
}

// BeginShutdown prepares for the planned end of the process: it transfers leadership, and asks the leader to report when the remaining
// members have all entries that this replica has.
func (r *Replica) BeginShutdown(now time.Duration) {
	r.advanceTime(now)
	r.raft.BeginLeave(r.now)
}

// CanShutDown reports whether the remaining members have all entries that this replica has, so that its process may end.
func (r *Replica) CanShutDown() bool { return r.raft.MayLeave() }

// updateMaintenance records whether a maintenance order has taken this replica's machine out of service, and if so transfers its
// leadership, if it leads.
func (r *Replica) updateMaintenance() {
	machines := r.state.Maintenance.MachinesMessage().List
	r.inMaintenance = slices.ContainsFunc(machines, func(machine *wire.MachineInMaintenanceT) bool {
		return machine.Addr == r.self.Addr
	})
	if r.inMaintenance && r.raft.IsLeader() {
		r.raft.TransferLeadership(r.now)
	}
}

// updateQuorumContact records whether this replica has contact with a quorum now, and notifies sidecars if it has regained contact.
func (r *Replica) updateQuorumContact() {
	before := r.quorumContact
	r.quorumContact = 0
	if r.raft.HasQuorumContact(r.now) && !r.raft.IsNonMember() && !r.inMaintenance {
		r.quorumContact = max(1, r.now)
	}
	if before == 0 && r.quorumContact > 0 {
		r.env.BroadcastToSidecars(r.heartbeatMessage())
	}
}

// QuorumContact returns the time of the latest check that found contact with a quorum, or 0 if the latest check found none. Each Tick and
// each change of the leader checks it.
func (r *Replica) QuorumContact() time.Duration { return r.quorumContact }

// HasQuorumContact reports whether a replica may report contact with a quorum at the time now, given its QuorumContact. It may not if the
// last check is too old because its owner has stalled, for instance on a slow disk. It is safe for concurrent use.
func HasQuorumContact(quorumContact, now time.Duration) bool {
	return quorumContact > 0 && now-quorumContact < stallTimeout
}

// announceLeader handles a change of the leader since the last call, and reports whether there was one.
func (r *Replica) announceLeader() (changed bool) {
	leader := r.raft.Leader()
	if leader == r.announcedLeader {
		return false
	}
	r.announcedLeader = leader
	r.log.Info().Uint64("leader_id", uint64(leader)).Str("leader_address", r.raft.Addr(leader)).Uint64("term", r.raft.Term()).
		Uint64("applied_index", r.raft.AppliedIndex()).Msg("leader changed")
	r.updateQuorumContact()
	r.failForwardedCalls()
	return true
}

// announceMembers handles a change of the membership since the last call: it updates the peers and notifies sidecars.
func (r *Replica) announceMembers() {
	members, index := r.raft.Members()
	if index == r.announcedMembersIndex {
		return
	}
	r.announcedMembersIndex = index
	addresses := r.peers.setMembers(members)
	r.log.Info().Uint64("members_index", index).Int("members", len(members)).Strs("member_addresses", addresses).Msg("members changed")
	r.env.BroadcastToSidecars(r.membersMessage())
}

// PeerExited tells the replica that the process of the replica at address has ended, which is inferred from refused connections. If that
// was the leader, isLeader is true, and the caller must call Tick after wait, so that a new leader is elected.
func (r *Replica) PeerExited(now time.Duration, address string) (wait time.Duration, isLeader bool) {
	r.advanceTime(now)
	if address == "" || address != r.remoteLeaderAddress() {
		return 0, false
	}
	leader := r.raft.Leader()
	if wait, isLeader = r.raft.ReportLeaderExited(r.now, leader); isLeader {
		r.log.Info().Uint64("leader_id", uint64(leader)).Str("leader_address", address).Dur("wait_ms", wait).Msg("leader exited")
	}
	return wait, isLeader
}
