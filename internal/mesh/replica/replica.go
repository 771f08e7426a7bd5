// Package replica is the role logic of one control-plane replica: it feeds the consensus core, applies committed entries to
// the replicated state, answers calls of operators, sidecars and other replicas, and decides what sidecars are told.
//
// It is single-threaded and pure: the time is an argument of every call, and everything outward goes through Environment.
// There is no goroutine, clock, socket or randomness in it, and no result depends on the order of a map, so that the same
// calls have the same effects again. The shell in production is internal/exchange/register; in tests it is
// internal/mesh/sim.
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

// Times of a replica.
const (
	TickInterval         = 50 * time.Millisecond  // between two calls of Tick
	CallTimeout          = 900 * time.Millisecond // of a call to the leader; callers move on after a second
	heartbeatInterval    = 100 * time.Millisecond
	electionTimeout      = 500 * time.Millisecond
	deadMemberTimeout    = 2 * time.Second
	stallTimeout         = 300 * time.Millisecond // without a tick
	recordTTL            = 30 * time.Second       // after which a sidecar's record is dropped
	recordExpiryInterval = 5 * time.Second
)

// Bounds of a replica's state.
const (
	DefaultCompactionThreshold = 4096 // entries behind the snapshot, unless Config says otherwise
	maxProposals               = 4096 // that wait for their entry
	maxRememberedAddresses     = 64   // addresses of replicas that are no members
	minReplicas                = 3
	replicasPerFault           = 2
)

// Environment is what a replica acts through. Its methods are called by the goroutine that calls the replica, and must not
// call the replica before they return.
type Environment interface {
	// Send sends a consensus message to the replica at an address. It may be lost, late, repeated or out of order.
	Send(address string, message raft.Message)
	// Connect sees to it that there is a connection to the replica at an address, or that one is being made.
	Connect(address string)
	// AskReplica asks the replica at an address. done is called once, later and by the replica's owner: with its answer, or with
	// Unavailable where there is none within AnswerWithin.
	CallReplica(address string, kind byte, body []byte, done func(Reply))
	// Save has on disk, synced, what ready must have there; last is the last entry that stands on disk before it. False: it is not,
	// and the replica does nothing until its owner calls Turn again, which saves anew.
	Save(ready raft.Ready, last uint64) bool
	// Compact has the snapshot stand, on disk, for the log up to its index; entries before kept are removed. It may fail: the
	// longer log says the same.
	Compact(snapshot raft.Snapshot, kept uint64)
	// TellSidecars sends a message to each sidecar that is connected here.
	BroadcastToSidecars(message any)
	// TellReplicas sends a message to each replica that there is a connection to.
	BroadcastToReplicas(message any)
}

// Reply is the answer to a call.
type Reply struct {
	Status int // of HTTP
	Body   []byte
	Push   any // a message that goes to the caller before the answer; nil: none
}

// Config is what a replica is made of.
type Config struct {
	Address             string // where other replicas and sidecars reach it
	Stored              raft.StoredState
	Seeds               []string
	FaultsTolerated     int // machines that may be lost; there are 2n+1 members, at least 3
	RandomSeed          uint64
	CompactionThreshold int // entries behind the snapshot at which there is a new one; 0: CompactAt
	TailEntries         int // entries kept in front of the snapshot for replicas that lag; 0: core.TailEntries
	Log                 zerolog.Logger
}

// Replica is one control-plane replica. It belongs to one goroutine.
type Replica struct {
	env           Environment
	log           zerolog.Logger
	self          raft.Member
	raft          *raft.Raft
	state         State
	seeds         []string
	now           time.Duration
	savedIndex    uint64      // last entry on disk
	unsavedReady  *raft.Ready // could not be saved so far; nothing else happens before
	quorumContact time.Duration
	inMaintenance bool // a maintenance order has this replica out

	proposals            map[uint64]proposal // by index
	lastProposed         uint64              // the latest entry that this replica proposed
	pendingModifications pendingModifications
	pendingReads         map[uint64]func(index uint64, ok bool)
	lastReadID           uint64
	waiters              []waiter         // for the state to come up to an entry
	forwardedCalls       []*forwardedCall // under way at the leader

	records               directory.Table
	lastRecordExpiry      time.Duration
	knownAddresses        map[string]bool // addresses of replicas that were heard of
	nonMemberAddresses    map[raft.ID]string
	announcedLeader       raft.ID
	announcedMembersIndex uint64 // index of the member list that sidecars were told
	leaderGap             leaderGap
	compactionThreshold   int
}

type proposal struct {
	term uint64
	done func(Outcome, bool)
}

type waiter struct {
	index  uint64
	resume func()
}

// New returns a replica as its disk has it. The error is that of a state that can't be read.
func New(c Config, env Environment, now time.Duration) (*Replica, error) {
	r := &Replica{env: env, log: c.Log, self: raft.Member{ID: c.Stored.Self, Addr: c.Address}, seeds: c.Seeds, now: now,
		proposals: map[uint64]proposal{}, pendingReads: map[uint64]func(uint64, bool){}, knownAddresses: map[string]bool{}, nonMemberAddresses: map[raft.ID]string{}, compactionThreshold: cmp.Or(c.CompactionThreshold, DefaultCompactionThreshold)}
	if err := r.state.Decode(c.Stored.Snapshot.Data); err != nil {
		return nil, err
	}
	r.raft = raft.New(raft.Config{Self: r.self, HardState: c.Stored.HardState, Snapshot: c.Stored.Snapshot, Entries: c.Stored.Entries,
		ClusterSize: max(minReplicas, replicasPerFault*c.FaultsTolerated+1), HeartbeatInterval: heartbeatInterval, ElectionTimeout: electionTimeout, DeadMemberTimeout: deadMemberTimeout,
		Seed: c.RandomSeed}, now)
	r.savedIndex = c.Stored.Snapshot.Index + uint64(len(c.Stored.Entries))
	return r, nil
}

// SetSeeds takes the addresses of a configuration that has changed.
func (r *Replica) SetSeeds(seeds []string) { r.seeds = seeds }

// advanceTime takes note of the time, which never goes back.
func (r *Replica) advanceTime(now time.Duration) { r.now = max(r.now, now) }

// Step takes a consensus message.
func (r *Replica) Step(now time.Duration, m raft.Message) {
	r.advanceTime(now)
	r.raft.Step(r.now, m)
}

// BeginShutdown begins a planned departure, for the process is about to end: the lead is handed over, and the leader is asked to say
// when those that stay hold all that this one holds.
func (r *Replica) BeginShutdown(now time.Duration) {
	r.advanceTime(now)
	r.raft.BeginLeave(r.now)
}

// CanShutDown says that those that stay hold all that this one holds, so that its process may end.
func (r *Replica) CanShutDown() bool { return r.raft.MayLeave() }

// Tick sees to what time does. It is to be called every TickInterval, followed by Turn.
func (r *Replica) Tick(now time.Duration) {
	r.advanceTime(now)
	r.raft.Tick(r.now)
	r.observeMaintenance()
	r.updateQuorumContact()
	r.announceLeader()
	r.announceMembers()
	r.maintainConnections()
	if r.now-r.lastRecordExpiry > recordExpiryInterval && r.raft.HasQuorumContact(r.now) {
		r.lastRecordExpiry = r.now
		r.records, _ = r.records.Expire(r.now, recordTTL)
	}
}

// observeMaintenance gives the lead away where an order has this replica out.
func (r *Replica) observeMaintenance() {
	r.inMaintenance = slices.ContainsFunc(r.state.Maintenance.MachinesMessage().List, func(o *wire.MachineInMaintenanceT) bool { return o.Addr == r.self.Addr })
	if r.inMaintenance && r.raft.IsLeader() {
		r.raft.TransferLeadership(r.now)
	}
}

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

// PeerExited takes that the process of the replica at an address has ended: its host refuses connections there. If it led, the
// result says how long after now Tick is due for its place to be sought.
func (r *Replica) PeerExited(now time.Duration, address string) (wait time.Duration, isLeader bool) {
	r.advanceTime(now)
	if address == "" || address != r.remoteLeaderAddress() {
		return 0, false
	}
	leader := r.raft.Leader()
	if wait, isLeader = r.raft.ReportLeaderExited(r.now, leader); isLeader {
		r.log.Info().Uint64("leader", uint64(leader)).Str("addr", address).Dur("wait", wait).Msg("leader gone")
	}
	return wait, isLeader
}

// QuorumContact is when the replica last was in touch with a majority, as of the last Tick; 0: it is not.
func (r *Replica) QuorumContact() time.Duration { return r.quorumContact }

// HasQuorumContact says whether a replica with that Touched may say, at a time, that it is in touch. One whose owner hangs, on a disk
// for one, is in touch with nobody.
func HasQuorumContact(touched, now time.Duration) bool {
	return touched > 0 && now-touched < stallTimeout
}

// announceLeader sees to what a change of the leader means, and says whether there was one.
func (r *Replica) announceLeader() (changed bool) {
	lead := r.raft.Leader()
	if lead == r.announcedLeader {
		return false
	}
	r.announcedLeader = lead
	r.log.Info().Uint64("leader", uint64(lead)).Str("addr", r.raft.Addr(lead)).Uint64("term", r.raft.Term()).Uint64("applied", r.raft.AppliedIndex()).Msg("leader")
	r.updateQuorumContact()
	r.failForwardedCalls()
	return true
}

func (r *Replica) announceMembers() {
	members, view := r.raft.Members()
	if view == r.announcedMembersIndex {
		return
	}
	r.announcedMembersIndex = view
	clear(r.knownAddresses) // those that were let go say so when they come back
	addresses := make([]string, 0, len(members))
	for _, m := range members {
		r.knownAddresses[m.Addr] = true
		addresses = append(addresses, m.Addr)
	}
	r.log.Info().Uint64("view", view).Int("members", len(members)).Strs("addrs", addresses).Msg("members")
	r.env.BroadcastToSidecars(r.membersMessage())
}

// maintainConnections keeps connections to all replicas that are known, also where the core has nothing to say: sidecars' records
// go by them. One that is no member asks all of them to be taken in.
func (r *Replica) maintainConnections() {
	for _, a := range r.seeds {
		r.knownAddresses[a] = true
	}
	delete(r.knownAddresses, r.self.Addr)
	addresses := sortedKeys(r.knownAddresses)
	for _, a := range addresses {
		r.env.Connect(a)
	}
	if r.raft.IsNonMember() {
		for _, a := range addresses { // it may know nobody but by address
			r.env.Send(a, raft.Message{Kind: raft.JoinRequest, From: r.self.ID, Addr: r.self.Addr, ProtocolVersion: raft.ProtocolVersion})
		}
	}
}

func sortedKeys(m map[string]bool) []string {
	l := make([]string, 0, len(m))
	for k := range m {
		l = append(l, k)
	}
	slices.Sort(l)
	return l
}

// RememberAddress keeps where a replica that connected here listens: one that is no member has to be told so.
func (r *Replica) RememberAddress(id raft.ID, address string) {
	r.knownAddresses[address] = true
	if len(r.nonMemberAddresses) > maxRememberedAddresses {
		clear(r.nonMemberAddresses)
	}
	r.nonMemberAddresses[id] = address
}

// remoteLeaderAddress is where another replica that leads listens; "": there is none, or it is this one.
func (r *Replica) remoteLeaderAddress() string {
	if r.raft.IsLeader() {
		return ""
	}
	if a := r.raft.Addr(r.raft.Leader()); a != r.self.Addr {
		return a
	}
	return ""
}

func (r *Replica) sendAll(messages []raft.Message) {
	for _, m := range messages {
		address := r.raft.Addr(m.To)
		if m.Kind == raft.NotMember && m.Addr != "" {
			address = m.Addr
		}
		if address == "" {
			address = r.nonMemberAddresses[m.To]
		}
		if address != "" && address != r.self.Addr {
			r.env.Send(address, m)
		}
	}
}
