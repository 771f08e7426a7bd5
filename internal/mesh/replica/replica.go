// Package replica is the role logic of one control-plane member. A Replica feeds the member's raft, applies committed entries to the
// replicated State, answers calls of operators, sidecars and other replicas, and decides what sidecars are sent.
//
// It owns the replicated state and what is under way: proposals, reads, forwarded calls. It is pure and belongs to one goroutine: the
// time is an argument of each call, and everything outward goes through Environment. It must never start a goroutine, read a clock,
// open a socket or draw a random number, and no result may depend on the order of a map, so that the same calls have the same effects
// again. Its shell in production is package controlplane; in tests it is package sim.
//
// Linearizable reads are those of Ongaro's dissertation on Raft, section 6.4; the calls and their bodies are the pages' own.
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
	// CallTimeout bounds a call to the leader; callers move on after a second.
	CallTimeout = 900 * time.Millisecond

	heartbeatInterval    = 100 * time.Millisecond
	electionTimeout      = 500 * time.Millisecond
	deadMemberTimeout    = 2 * time.Second
	stallTimeout         = 300 * time.Millisecond // without a Tick
	recordTTL            = 30 * time.Second       // after which a sidecar's record is dropped
	recordExpiryInterval = 5 * time.Second
)

const (
	// DefaultCompactionThreshold is how many entries stand behind the snapshot before there is a new one, unless Config says otherwise.
	DefaultCompactionThreshold = 4096

	maxProposals     = 4096 // that wait for their entry; also calls that wait for an entry
	minReplicas      = 3
	replicasPerFault = 2 // 2n+1 members tolerate n faults
)

// Config is what a replica is made of.
type Config struct {
	Address             string           // where other replicas and sidecars reach it
	Stored              raft.StoredState // what its disk holds
	Seeds               []string         // addresses of replicas to begin with
	FaultsTolerated     int              // machines that may be lost; there are 2n+1 members, at least 3
	RandomSeed          uint64
	CompactionThreshold int // 0: DefaultCompactionThreshold
	TailEntries         int // entries kept in front of the snapshot for replicas that lag; not in use
	Log                 zerolog.Logger
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

	savedIndex   uint64      // last entry on disk
	unsavedReady *raft.Ready // could not be saved so far; nothing else happens before

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
	inMaintenance         bool          // a maintenance order has this replica out

	records          directory.Table
	lastRecordExpiry time.Duration
}

// New returns a replica as its disk has it, at a time. The error is that of a stored state that can't be decoded.
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

// advanceTime notes the time, which never goes back.
func (r *Replica) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// Step handles a consensus message.
func (r *Replica) Step(now time.Duration, message raft.Message) {
	r.advanceTime(now)
	r.raft.Step(r.now, message)
}

// Tick does what is due by time. It is to be called every TickInterval, followed by ProcessReady.
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

// BeginShutdown begins a planned departure, for the process is about to end: leadership is handed over, and the leader is asked to
// say when the members that stay hold all that this one holds.
func (r *Replica) BeginShutdown(now time.Duration) {
	r.advanceTime(now)
	r.raft.BeginLeave(r.now)
}

// CanShutDown reports whether the members that stay hold all that this one holds, so that its process may end.
func (r *Replica) CanShutDown() bool { return r.raft.MayLeave() }

// observeMaintenance hands leadership over while an order has this replica out.
func (r *Replica) observeMaintenance() {
	machines := r.state.Maintenance.MachinesMessage().List
	r.inMaintenance = slices.ContainsFunc(machines, func(m *wire.MachineInMaintenanceT) bool { return m.Addr == r.self.Addr })
	if r.inMaintenance && r.raft.IsLeader() {
		r.raft.TransferLeadership(r.now)
	}
}

// updateQuorumContact notes whether there is contact with a quorum now, and sends that to the sidecars where it has come back.
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

// QuorumContact returns when the replica last had contact with a quorum, as of the last Tick; 0: it has none.
func (r *Replica) QuorumContact() time.Duration { return r.quorumContact }

// HasQuorumContact reports whether a replica with that QuorumContact may claim contact with a quorum at a time. One whose owner has
// stalled, for instance on its disk, may not.
func HasQuorumContact(quorumContact, now time.Duration) bool {
	return quorumContact > 0 && now-quorumContact < stallTimeout
}

// announceLeader does what follows from a change of the leader, and reports whether there was one.
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

// announceMembers does what follows from a change of the membership.
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

// PeerExited handles that the process of the replica at an address has ended: its host refuses connections there. If it was the
// leader, the result says how long after now Tick is due so that another one is elected.
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
