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

// cluster is several replicas in one simulated time, over a network that delays, reorders and loses what it carries.
type cluster struct {
	random *rand.Rand
	now    time.Duration
	nodes  []*clusterNode
	events []clusterEvent
	drawn  uint64
	record actionRecord
}

// clusterEvent is something that happens at a time.
type clusterEvent struct {
	at    time.Duration
	order uint64 // among those at one time
	do    func()
}

// clusterNode is one replica, its disk and its Environment.
type clusterNode struct {
	cluster   *cluster
	address   string
	seeds     []string
	disk      raft.StoredState
	replica   *Replica // nil while its process does not run
	life      int
	busy      bool // the disk does not take what must be on it
	fullUntil time.Duration
	frozen    time.Duration // until then
	ticked    time.Duration
	cut       map[string]bool // addresses that nothing is sent to
	met       map[string]bool // addresses that connected in this incarnation
	lastID    raft.ID
}

// actionRecord is a hash over actions in order, by values alone, and how many there were of each kind.
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
			panic(fmt.Sprintf("a value of type %T has no fixed form", v))
		}
	}
	fmt.Fprintln(a.sum)
}

func (a *actionRecord) hash() string { return hex.EncodeToString(a.sum.Sum(nil)) }

// newCluster bootstraps a cluster of three, beside a number of replicas that ask to join.
func newCluster(seed uint64, joiners int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 0xc1)), record: newActionRecord()}
	seeds := []string{"r0", "r1", "r2"}
	for n := range len(seeds) + joiners {
		node := &clusterNode{cluster: c, address: fmt.Sprint("r", n), seeds: seeds, cut: map[string]bool{}}
		node.disk = Bootstrap{Address: node.address, Seeds: seeds, FirstStart: n < len(seeds), NewID: c.newID()}.InitialState()
		c.nodes = append(c.nodes, node)
		node.start()
	}
	return c
}

// newSettledCluster returns a cluster of three with a leader that has applied an entry of its own term, and that leader.
func newSettledCluster(t *testing.T) (*cluster, *clusterNode) {
	t.Helper()
	c := newCluster(1, 0)
	return c, c.awaitLeader(t, nil)
}

// awaitLeader lets time pass until a replica other than the one before leads, and may admit updates.
func (c *cluster) awaitLeader(t *testing.T, before *clusterNode) *clusterNode {
	t.Helper()
	for end := c.now + time.Minute; c.now < end; c.step(time.Millisecond) {
		if n := c.leader(); n != nil && n != before && n.replica.IsReadyLeader() {
			return n
		}
	}
	t.Fatal("nobody leads")
	return nil
}

// newID is an id that no replica had.
func (c *cluster) newID() raft.ID {
	c.drawn++
	return raft.ID(1_000_000 + 2*c.drawn)
}

func (c *cluster) between(low, high time.Duration) time.Duration {
	return low + time.Duration(c.random.Int64N(int64(high-low)))
}

func (c *cluster) after(d time.Duration, do func()) {
	c.drawn++
	e := clusterEvent{c.now + d, c.drawn, do}
	at, _ := slices.BinarySearchFunc(c.events, e, func(a, b clusterEvent) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.order, b.order))
	})
	c.events = slices.Insert(c.events, at, e)
}

// step lets time pass, and does all that is due in it.
func (c *cluster) step(d time.Duration) {
	end := c.now + d
	for len(c.events) > 0 && c.events[0].at <= end {
		e := c.events[0]
		c.events = c.events[1:]
		c.now = max(c.now, e.at)
		e.do()
	}
	c.now = end
	for _, n := range c.nodes {
		if n.running() && c.now-n.ticked >= TickInterval {
			n.ticked = c.now
			n.call(func(r *Replica) { r.Tick(c.now) })
		}
	}
}

// run lets so much time pass.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; {
		c.step(5 * time.Millisecond)
	}
}

// leader returns the replica that leads the latest term, or nil if none does.
func (c *cluster) leader() (leader *clusterNode) {
	for _, n := range c.nodes {
		if n.replica != nil && n.replica.IsLeader() && (leader == nil || n.replica.Term() > leader.replica.Term()) {
			leader = n
		}
	}
	return leader
}

func (c *cluster) node(address string) *clusterNode {
	at := slices.IndexFunc(c.nodes, func(n *clusterNode) bool { return n.address == address })
	if at < 0 {
		return nil
	}
	return c.nodes[at]
}

// isolate cuts a replica off from all others, both ways.
func (c *cluster) isolate(n *clusterNode) {
	for _, o := range c.nodes {
		if o != n {
			n.cut[o.address], o.cut[n.address] = true, true
		}
	}
}

// heal undoes all cuts.
func (c *cluster) heal() {
	for _, n := range c.nodes {
		clear(n.cut)
	}
}

// running reports whether the process runs and waits for nothing.
func (n *clusterNode) running() bool {
	return n.replica != nil && !n.busy && n.cluster.now >= n.frozen
}

// start starts an incarnation from the disk.
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
	n.life++
	n.replica, n.busy, n.met, n.lastID = r, false, map[string]bool{}, n.disk.Self
	c.record.add("start", n.address, n.disk.Self)
}

// stop ends the incarnation. Its disk stays.
func (n *clusterNode) stop() {
	n.replica = nil
	n.life++
	n.cluster.record.add("stop", n.address)
}

// call has the replica do something, and process what follows from it.
func (n *clusterNode) call(do func(r *Replica)) {
	if !n.running() {
		return
	}
	do(n.replica)
	n.processReady()
}

func (n *clusterNode) processReady() {
	n.busy = !n.replica.ProcessReady()
	if n.busy {
		n.later(20*time.Millisecond, n.processReady)
	}
	n.recordView()
}

// later does something, unless the incarnation has ended by then.
func (n *clusterNode) later(d time.Duration, do func()) {
	life := n.life
	n.cluster.after(d, func() {
		if n.life == life {
			do()
		}
	})
}

// recordView records what the replica says of itself.
func (n *clusterNode) recordView() {
	r := n.replica
	members, index := r.Members()
	n.cluster.record.add("view", n.address, r.IsLeader(), r.LeaderAddress(), r.Term(), r.AppliedIndex(), r.SavedIndex(), r.IsNonMember(),
		r.InMaintenance(), r.IsReadyLeader(), r.QuorumContact(), r.LeaderGap(), r.CanShutDown(), len(members), index,
		len(r.Records().All()), r.State().ItemsIndex)
}

// Send carries a message to another replica, now and then late, not at all or twice.
func (n *clusterNode) Send(address string, m raft.Message) {
	c := n.cluster
	text := codec.EncodeTable(raftwire.MessageToWire(m))
	c.record.add("send", n.address, address, text)
	if n.cut[address] || c.random.IntN(50) == 0 {
		return
	}
	times := 1
	if c.random.IntN(50) == 0 {
		times = 2
	}
	for range times {
		c.after(c.between(time.Millisecond, 12*time.Millisecond), func() { n.deliver(address, m) })
	}
}

func (n *clusterNode) deliver(address string, m raft.Message) {
	to := n.cluster.node(address)
	if to == nil || n.cut[address] {
		return
	}
	to.call(func(r *Replica) {
		if !to.met[n.address] {
			to.met[n.address] = true
			r.RememberAddress(n.lastID, n.address)
		}
		r.Step(n.cluster.now, m)
	})
}

// Connect is recorded and no more.
func (n *clusterNode) Connect(address string) {
	n.cluster.record.add("connect", n.address, address)
}

// CallReplica carries a call to another replica, and its answer back. done is called once.
func (n *clusterNode) CallReplica(address string, kind byte, body []byte, done func(Reply)) {
	c := n.cluster
	c.record.add("call", n.address, address, kind, body)
	life, answered := n.life, false
	var once func(Reply)
	once = func(reply Reply) {
		switch {
		case n.life != life || answered:
		case !n.running(): // it gets the answer as soon as it runs again
			n.later(TickInterval, func() { once(reply) })
		default:
			answered = true
			n.call(func(*Replica) { done(reply) })
		}
	}
	c.after(CallTimeout, func() { once(Unavailable("")) })
	to := c.node(address)
	if to == nil || n.cut[address] {
		return
	}
	c.after(c.between(time.Millisecond, 12*time.Millisecond), func() {
		to.call(func(r *Replica) {
			r.HandleCall(c.now, kind, body, FromReplica, func(reply Reply) {
				c.after(c.between(time.Millisecond, 12*time.Millisecond), func() { once(reply) })
			})
		})
	})
}

// Save writes to the disk, unless that is full.
func (n *clusterNode) Save(ready raft.Ready, last uint64) bool {
	c := n.cluster
	if c.now < n.fullUntil {
		c.record.add("unsaved", n.address)
		return false
	}
	c.record.add("save", n.address, last)
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

// Compact has a snapshot stand for the front of the log.
func (n *clusterNode) Compact(snapshot raft.Snapshot, kept uint64) {
	all := append(slices.Clone(n.disk.CatchUpEntries), n.disk.Entries...)
	n.disk.Snapshot, n.disk.CatchUpEntries, n.disk.Entries = snapshot, nil, nil
	for _, e := range all {
		switch {
		case e.Index > snapshot.Index:
			n.disk.Entries = append(n.disk.Entries, e)
		case e.Index >= kept:
			n.disk.CatchUpEntries = append(n.disk.CatchUpEntries, e)
		}
	}
	n.cluster.record.add("compact", n.address, kept, codec.EncodeTable(raftwire.SnapshotToWire(&snapshot)))
}

// BroadcastToSidecars is recorded and no more.
func (n *clusterNode) BroadcastToSidecars(message any) {
	n.cluster.record.add("to sidecars", n.address, codec.Encode(message))
}

// BroadcastToReplicas is recorded and no more.
func (n *clusterNode) BroadcastToReplicas(message any) {
	n.cluster.record.add("to replicas", n.address, codec.Encode(message))
}
