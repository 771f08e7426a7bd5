package replica

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/raft/raftwire"
	"cranegrade/internal/mesh/transport/codec"
)

// cluster simulates several replicas on one clock, over a network that delays, reorders, duplicates and loses messages.
type cluster struct {
	random     *rand.Rand
	now        time.Duration
	nodes      []*clusterNode
	events     []clusterEvent // in the order in which they are due
	lastNumber uint64         // latest number used for an ID or an event
	record     actionRecord
}

// clusterEvent is an action to run at a time.
type clusterEvent struct {
	at     time.Duration
	number uint64 // orders events that are due at the same time
	run    func()
}

// clusterNode is one replica, its disk and its Environment.
type clusterNode struct {
	cluster       *cluster
	address       string
	seeds         []string
	disk          raft.StoredState
	replica       *Replica // nil while its process does not run
	incarnation   int      // counts starts and stops of the process
	saveFailed    bool     // the latest save failed and is retried
	diskFullUntil time.Duration
	frozenUntil   time.Duration
	lastTick      time.Duration
	blocked       map[string]bool // addresses to which no message is delivered
	connected     map[string]bool // addresses that connected in this incarnation
	id            raft.ID         // of the latest incarnation
}

// actionRecord is a hash of a sequence of actions, computed from their kinds and values, and the number of actions of each kind.
type actionRecord struct {
	sum   hash.Hash
	Count map[string]int
}

func newActionRecord() actionRecord { return actionRecord{sha256.New(), map[string]int{}} }

func (a *actionRecord) add(kind string, values ...any) {
	a.Count[kind]++
	fmt.Fprint(a.sum, kind)
	for _, v := range values {
		switch v := v.(type) {
		case []byte:
			fmt.Fprintf(a.sum, " %d:%x", len(v), v)
		case string:
			fmt.Fprintf(a.sum, " %q", v)
		case time.Duration:
			fmt.Fprintf(a.sum, " %d", int64(v))
		case raft.ID:
			fmt.Fprintf(a.sum, " %d", uint64(v))
		case uint64, int, bool, byte:
			fmt.Fprintf(a.sum, " %v", v)
		default:
			panic(fmt.Sprintf("a value of type %T has no encoding for the hash", v))
		}
	}
	fmt.Fprintln(a.sum)
}

func (a *actionRecord) hash() string { return hex.EncodeToString(a.sum.Sum(nil)) }

// newCluster starts a cluster of three bootstrap members, and joiners more replicas that ask to join.
func newCluster(seed uint64, joiners int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 0xc1)), record: newActionRecord()}
	seeds := []string{"r0", "r1", "r2"}
	for n := range len(seeds) + joiners {
		node := &clusterNode{cluster: c, address: fmt.Sprint("r", n), seeds: seeds, blocked: map[string]bool{}}
		node.disk = Bootstrap{Address: node.address, Seeds: seeds, FirstStart: n < len(seeds), NewID: c.newID()}.InitialState()
		c.nodes = append(c.nodes, node)
		node.start()
	}
	return c
}

// newSettledCluster returns a cluster of three members whose leader has applied an entry of its term, and that leader.
func newSettledCluster(t *testing.T) (*cluster, *clusterNode) {
	t.Helper()
	c := newCluster(1, 0)
	return c, c.awaitLeader(t, nil)
}

// awaitLeader advances time until a replica other than previous leads and may admit updates, and returns that replica.
func (c *cluster) awaitLeader(t *testing.T, previous *clusterNode) *clusterNode {
	t.Helper()
	for end := c.now + time.Minute; c.now < end; c.step(time.Millisecond) {
		if n := c.leader(); n != nil && n != previous && n.replica.IsReadyLeader() {
			return n
		}
	}
	t.Fatal("no new leader is ready within a minute")
	return nil
}

// newID returns an ID that no replica has had.
func (c *cluster) newID() raft.ID {
	c.lastNumber++
	return raft.ID(1_000_000 + 2*c.lastNumber)
}

// randomDuration returns a random duration in [low, high).
func (c *cluster) randomDuration(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

// schedule runs an action after a delay.
func (c *cluster) schedule(delay time.Duration, action func()) {
	c.lastNumber++
	e := clusterEvent{c.now + delay, c.lastNumber, action}
	at, _ := slices.BinarySearchFunc(c.events, e, func(a, b clusterEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.number, b.number))
	})
	c.events = slices.Insert(c.events, at, e)
}

// step advances time by d, runs the events that become due, and then the ticks that are due.
func (c *cluster) step(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		e := c.events[0]
		c.events = c.events[1:]
		c.now = max(c.now, e.at)
		e.run()
	}
	c.now = end
	for _, n := range c.nodes {
		if n.running() && c.now-n.lastTick >= TickInterval {
			n.lastTick = c.now
			n.call(func(r *Replica) { r.Tick(c.now) })
		}
	}
}

// run advances time by d, in small steps.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step(5 * time.Millisecond)
	}
}

// leader returns the leader of the latest term, or nil if no replica leads.
func (c *cluster) leader() (leader *clusterNode) {
	for _, n := range c.nodes {
		if n.replica != nil && n.replica.IsLeader() && (leader == nil || n.replica.Term() > leader.replica.Term()) {
			leader = n
		}
	}
	return leader
}

// node returns the replica at address, or nil if there is none.
func (c *cluster) node(address string) *clusterNode {
	at := slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return n.address == address })
	if at < 0 {
		return nil
	}
	return c.nodes[at]
}

// isolate partitions a replica from all others, in both directions.
func (c *cluster) isolate(n *clusterNode) {
	for _, o := range c.nodes {
		if o != n {
			n.blocked[o.address], o.blocked[n.address] = true, true
		}
	}
}

// heal ends all partitions.
func (c *cluster) heal() {
	for _, n := range c.nodes {
		clear(n.blocked)
	}
}

// running reports whether the process runs, and neither is frozen nor waits for its disk.
func (n *clusterNode) running() bool {
	return n.replica != nil && !n.saveFailed && n.cluster.now >= n.frozenUntil
}

// start starts the process with the state on its disk.
func (n *clusterNode) start() {
	c := n.cluster
	r, err := New(Config{
		Address:             n.address,
		Stored:              n.disk,
		Seeds:               n.seeds,
		FaultsTolerated:     1,
		RandomSeed:          c.random.Uint64(),
		CompactionThreshold: 12,
		TailEntries:         4,
		Log:                 zerolog.Nop(),
	}, n, c.now)
	if err != nil {
		panic(err)
	}
	n.incarnation++
	n.replica, n.saveFailed, n.connected, n.id = r, false, map[string]bool{}, n.disk.Self
	c.record.add("start", n.address, n.disk.Self)
}

// stop ends the process. Its disk is retained.
func (n *clusterNode) stop() {
	n.replica = nil
	n.incarnation++
	n.cluster.record.add("stop", n.address)
}

// call calls action with the replica and then ProcessReady, unless the replica is not running.
func (n *clusterNode) call(action func(r *Replica)) {
	if !n.running() {
		return
	}
	action(n.replica)
	n.processReady()
}

// processReady calls ProcessReady, and schedules a retry if the save failed.
func (n *clusterNode) processReady() {
	n.saveFailed = !n.replica.ProcessReady()
	if n.saveFailed {
		n.schedule(20*time.Millisecond, n.processReady)
	}
	n.recordView()
}

// schedule runs an action after a delay, unless the process has ended by then.
func (n *clusterNode) schedule(delay time.Duration, action func()) {
	incarnation := n.incarnation
	n.cluster.schedule(delay, func() {
		if n.incarnation == incarnation {
			action()
		}
	})
}

// recordView records the results of the replica's accessors.
func (n *clusterNode) recordView() {
	r := n.replica
	members, index := r.Members()
	n.cluster.record.add("view", n.address, r.IsLeader(), r.LeaderAddress(), r.Term(), r.AppliedIndex(), r.SavedIndex(), r.IsNonMember(),
		r.InMaintenance(), r.IsReadyLeader(), r.QuorumContact(), r.LeaderGap(), r.CanShutDown(), len(members), index,
		len(r.Records().All()), r.State().ItemsIndex)
}

// Send delivers a message to another replica after a random delay. Some messages are lost or duplicated.
func (n *clusterNode) Send(address string, m raft.Message) {
	c := n.cluster
	encoded := codec.EncodeTable(raftwire.MessageToWire(m))
	c.record.add("send", n.address, address, encoded)
	if n.blocked[address] || c.random.IntN(50) == 0 {
		return
	}
	copies := 1
	if c.random.IntN(50) == 0 {
		copies = 2
	}
	for range copies {
		c.schedule(c.randomDuration(time.Millisecond, 12*time.Millisecond), func() { n.deliver(address, m) })
	}
}

// deliver delivers a message to the replica at address, unless the connection is blocked by then.
func (n *clusterNode) deliver(address string, m raft.Message) {
	to := n.cluster.node(address)
	if to == nil || n.blocked[address] {
		return
	}
	to.call(func(r *Replica) {
		if !to.connected[n.address] {
			to.connected[n.address] = true
			r.RememberAddress(n.id, n.address)
		}
		r.Step(n.cluster.now, m)
	})
}

// Connect only records the action.
func (n *clusterNode) Connect(address string) {
	n.cluster.record.add("connect", n.address, address)
}

// CallReplica delivers a call to another replica and the reply back. done is called at most once, and never after the process has ended.
func (n *clusterNode) CallReplica(address string, kind byte, body []byte, done func(Reply)) {
	c := n.cluster
	c.record.add("call", n.address, address, kind, body)
	incarnation, answered := n.incarnation, false
	var once func(Reply)
	once = func(reply Reply) {
		switch {
		case n.incarnation != incarnation || answered:
		case !n.running(): // the reply is delivered when the process runs again
			n.schedule(TickInterval, func() { once(reply) })
		default:
			answered = true
			n.call(func(*Replica) { done(reply) })
		}
	}
	c.schedule(CallTimeout, func() { once(Unavailable("")) })
	to := c.node(address)
	if to == nil || n.blocked[address] {
		return
	}
	c.schedule(c.randomDuration(time.Millisecond, 12*time.Millisecond), func() {
		to.call(func(r *Replica) {
			r.HandleCall(c.now, kind, body, FromReplica, func(reply Reply) {
				c.schedule(c.randomDuration(time.Millisecond, 12*time.Millisecond), func() { once(reply) })
			})
		})
	})
}

// Save writes to the disk, unless the disk is full.
func (n *clusterNode) Save(ready raft.Ready, lastSaved uint64) bool {
	c := n.cluster
	if c.now < n.diskFullUntil {
		c.record.add("unsaved", n.address)
		return false
	}
	c.record.add("save", n.address, lastSaved)
	if ready.HardState != nil {
		n.disk.HardState = *ready.HardState
		c.record.add("hard state", ready.HardState.Term, ready.HardState.Vote)
	}
	if ready.Snapshot != nil {
		n.disk.Snapshot, n.disk.Entries, n.disk.CatchUpEntries = *ready.Snapshot, nil, nil
		c.record.add("install", codec.EncodeTable(raftwire.SnapshotToWire(ready.Snapshot)))
	}
	for _, e := range ready.Entries {
		keep := min(len(n.disk.Entries), int(e.Index-n.disk.Snapshot.Index)-1)
		n.disk.Entries = append(slices.Clip(n.disk.Entries[:keep]), e)
		c.record.add("entry", codec.EncodeTable(raftwire.EntryToWire(e)))
	}
	return true
}

// Compact replaces the log up to the snapshot's index by the snapshot.
func (n *clusterNode) Compact(snapshot raft.Snapshot, oldestRetained uint64) {
	entries := append(slices.Clone(n.disk.CatchUpEntries), n.disk.Entries...)
	n.disk.Snapshot, n.disk.CatchUpEntries, n.disk.Entries = snapshot, nil, nil
	for _, e := range entries {
		switch {
		case e.Index > snapshot.Index:
			n.disk.Entries = append(n.disk.Entries, e)
		case e.Index >= oldestRetained:
			n.disk.CatchUpEntries = append(n.disk.CatchUpEntries, e)
		}
	}
	n.cluster.record.add("compact", n.address, oldestRetained, codec.EncodeTable(raftwire.SnapshotToWire(&snapshot)))
}

// BroadcastToSidecars only records the action.
func (n *clusterNode) BroadcastToSidecars(message any) {
	n.cluster.record.add("to sidecars", n.address, codec.Encode(message))
}

// BroadcastToReplicas only records the action.
func (n *clusterNode) BroadcastToReplicas(message any) {
	n.cluster.record.add("to replicas", n.address, codec.Encode(message))
}
