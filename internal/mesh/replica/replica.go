// Package replica is the role logic of one control-plane member. A Replica drives the member's Raft, applies committed entries to the
// replicated State, answers calls of operators, sidecars and other replicas, and decides what sidecars are sent.
//
// It owns the replicated state and everything in flight: proposals, reads and forwarded calls. It is pure and belongs to one goroutine: the
// time is an argument of each call, and all effects go through Environment. It must never start a goroutine, read a clock, open a socket
// or draw a random number, and no result may depend on the iteration order of a map, so that the same calls always have the same
// effects. Its shell in production is package controlplane, where the goroutine of Member.Run calls it; in tests it is package sim. After
// one or several calls the owner has to call ProcessReady, which saves, sends and applies what they have led to.
//
// A change is acknowledged once its entry is applied (proposals.go), and applied once a quorum has it on disk (package raft). Nothing
// that depends on a save is sent before it (ready.go). Calls come in through calls.go, updates.go and reads.go, and are forwarded to
// the leader by forward.go; state.go and maintenance.go apply entries; snapshot.go cuts snapshots; peers.go and sidecars.go are the
// other processes; view.go is what the owner may read. Linearizable reads follow Ongaro's dissertation on Raft, section 6.4 (reads.go).
// The calls and their bodies are defined by the operations pages.
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
	// CallTimeout bounds a call to the leader. It is less than the second after which callers give up.
	CallTimeout = 900 * time.Millisecond

	heartbeatInterval    = 100 * time.Millisecond
	electionTimeout      = 500 * time.Millisecond
	deadMemberTimeout    = 2 * time.Second
	stallTimeout         = 300 * time.Millisecond // without a Tick, after which the replica claims no quorum contact
	recordTTL            = 30 * time.Second       // after which a sidecar's record is removed unless it was sent again
	recordExpiryInterval = 5 * time.Second        // between two removals of such records
)

const (
	// DefaultCompactionThreshold is how many entries may follow the snapshot before the log is compacted, unless Config says otherwise.
	DefaultCompactionThreshold = 4096

	// maxProposals is how many proposals may be in flight. It also bounds the calls that wait for an entry to be applied.
	maxProposals = 4096
	// minReplicas is the size of the smallest cluster that tolerates a fault.
	minReplicas = 3
	// replicasPerFault is the number of members beside the first that each tolerated fault takes: 2n+1 members tolerate n faults.
	replicasPerFault = 2
)

// Config is what a replica is made of.
type Config struct {
	// Address is where other replicas and sidecars reach this one.
	Address string
	// Stored is what the disk holds.
	Stored raft.StoredState
	// Seeds are addresses of replicas to connect to, besides those of the members.
	Seeds []string
	// FaultsTolerated is the number n of machines that may be lost. The cluster has 2n+1 members, at least 3.
	FaultsTolerated int
	// RandomSeed is the seed of election timeouts. It has to differ between replicas.
	RandomSeed uint64
	// CompactionThreshold is how many entries may follow the snapshot before the log is compacted. 0 stands for
	// DefaultCompactionThreshold.
	CompactionThreshold int
	// TailEntries is how many entries to keep before the snapshot for replicas that lag. It is not used yet.
	TailEntries int
	Log         zerolog.Logger
}

// Replica is the role logic of one control-plane member. It belongs to one goroutine.
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
	unsavedReady *raft.Ready // what could not be saved so far, or nil; nothing else may happen before it is saved

	proposals      map[uint64]proposal // by index
	lastProposed   uint64              // index of the entry that this replica proposed last
	pendingUpdates pendingUpdates
	reads          readQueue
	waiters        []waiter
	forwardedCalls []*forwardedCall

	peers                 peerAddresses
	announcedLeader       raft.ID
	announcedMembersIndex uint64        // index of the configuration that sidecars were sent
	quorumContact         time.Duration // see QuorumContact
	inMaintenance         bool          // a maintenance order has taken this replica's machine out of service

	records          directory.Table
	lastRecordExpiry time.Duration
}

// New returns a replica in the state that its disk holds. The error says that the stored state can't be decoded, so that retrying is of no
// use.
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

// advanceTime sets the time, unless it would go back.
func (r *Replica) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// Step handles a Raft message.
func (r *Replica) Step(now time.Duration, message raft.Message) {
	r.advanceTime(now)
	r.raft.Step(r.now, message)
}

// Tick does what is due by time. It has to be called every TickInterval, followed by ProcessReady.
func (r *Replica) Tick(now time.Duration) {
	r.advanceTime(now)
	r.raft.Tick(r.now)
	r.observeMaintenance()
	r.updateQuorumContact()
	r.announceLeader()
	r.announceMembers()
	r.maintainConnections()
	r.expireRecords()
}

// BeginShutdown begins a planned departure, because the process is about to end: leadership is transferred, and the leader is asked to
// report when the members that stay hold everything that this one holds.
func (r *Replica) BeginShutdown(now time.Duration) {
	r.advanceTime(now)
	r.raft.BeginLeave(r.now)
}

// CanShutDown reports whether the members that stay hold everything that this one holds, so that its process may end.
func (r *Replica) CanShutDown() bool { return r.raft.MayLeave() }

// observeMaintenance transfers leadership while a maintenance order has taken this replica out.
func (r *Replica) observeMaintenance() {
	machines := r.state.Maintenance.MachinesMessage().List
	r.inMaintenance = slices.ContainsFunc(machines, func(machine *wire.MachineInMaintenanceT) bool {
		return machine.Addr == r.self.Addr
	})
	if r.inMaintenance && r.raft.IsLeader() {
		r.raft.TransferLeadership(r.now)
	}
}

// updateQuorumContact records whether there is contact with a quorum now, and notifies sidecars if it has come back.
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

// QuorumContact returns when the replica last had contact with a quorum, as of the last Tick, or 0 if it has none now.
func (r *Replica) QuorumContact() time.Duration { return r.quorumContact }

// HasQuorumContact reports whether a replica with a QuorumContact may claim contact with a quorum at a time. It may not if its owner has
// stalled, for instance on its disk. Any goroutine may call it.
func HasQuorumContact(quorumContact, now time.Duration) bool {
	return quorumContact > 0 && now-quorumContact < stallTimeout
}

// announceLeader handles a change of the leader, and reports whether there was one.
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

// announceMembers handles a change of the membership.
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

// PeerExited reports that the process of the replica at an address has ended, because its host refuses connections. If it was the leader,
// isLeader is true, and the caller has to call Tick after wait, so that another leader is elected.
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
