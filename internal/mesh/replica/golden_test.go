package replica

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/directory"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testkit"
	"cranegrade/internal/testkit/goldenrecord"
)

// Number of seeds, and of steps for each seed.
const (
	goldenSeeds          = 12
	goldenSeedsUnderRace = 2
	goldenSteps          = 4000
)

// goldenRun is the recorded result of one seed.
type goldenRun struct {
	Seed  uint64         `json:"seed"`
	Hash  string         `json:"hash"`  // of all actions and replies, in order, and the final states
	State string         `json:"state"` // of the final states only
	Count map[string]int `json:"count"`
}

// TestGolden runs simulated clusters from fixed seeds, with random calls, changes and faults of all kinds, and compares the sequence of all
// actions of the replicas and their final states with the record under testdata. The hashes cover only values and bytes, so that renaming
// identifiers does not change them; of replies other than OK they cover only the status. After an intended change of behaviour, update the
// record with go test -run TestGolden -update.
func TestGolden(t *testing.T) {
	seeds := uint64(goldenSeeds)
	if testkit.Race { // the race detector takes ten times as long, and does not need the whole record
		seeds = goldenSeedsUnderRace
	}
	var runs []goldenRun
	for seed := range seeds {
		runs = append(runs, runGoldenSeed(seed))
	}
	if testkit.Race {
		var recorded []goldenRun
		goldenrecord.ReadFile(t, &recorded)
		assert.DeepEqual(t, runs, recorded[:seeds])
		return
	}
	goldenrecord.AssertFile(t, runs, " ")
}

// runGoldenSeed runs the scenario of one seed.
func runGoldenSeed(seed uint64) goldenRun {
	p := &goldenScenario{cluster: newCluster(seed, 1+int(seed%2))}
	for range goldenSteps {
		p.step(time.Duration(p.random.Int64N(int64(10 * time.Millisecond))))
		p.runRandomAction()
	}
	states := newActionRecord()
	for _, n := range p.nodes {
		if n.replica != nil {
			states.add("state", n.address, n.replica.AppliedIndex(), n.replica.State().Encode())
		}
	}
	p.record.add("states", states.hash())
	return goldenRun{Seed: seed, Hash: p.record.hash(), State: states.hash(), Count: p.record.Count}
}

// goldenScenario runs random actions on a cluster.
type goldenScenario struct {
	*cluster
	version int // latest version of an update
	orders  int // number of maintenance orders placed
}

// runRandomAction runs a random action, or none.
func (p *goldenScenario) runRandomAction() {
	n := p.nodes[p.random.IntN(len(p.nodes))]
	switch x := p.random.IntN(1000); {
	case x < 60:
		p.modify(n)
	case x < 120:
		p.leaseKeys(n)
	case x < 150:
		p.read(n)
	case x < 180:
		p.sendRecords(n)
	case x < 200:
		p.proposeMaintenance()
	case x < 215:
		p.proposeActivation()
	case x < 230:
		p.readIndex(n)
	case x < 245:
		p.injectFault(n)
	}
}

// recordReply returns a function that records a reply to a call of the given kind: of a reply that is not OK only the status.
func (p *goldenScenario) recordReply(kind string) func(Reply) {
	return func(reply Reply) {
		body, push := []byte(nil), []byte(nil)
		if reply.Status == http.StatusOK {
			body = reply.Body
		}
		if reply.Push != nil {
			push = codec.Encode(reply.Push)
		}
		p.record.add(fmt.Sprint(kind, " ", reply.Status), body, push)
	}
}

// modify calls Modify with a random update. It uses few items and versions, so that updates often conflict.
func (p *goldenScenario) modify(n *clusterNode) {
	if p.random.IntN(3) == 0 {
		p.version++
	}
	version := max(1, p.version-p.random.IntN(6))
	route, service := fmt.Sprint("route-", p.random.IntN(4)), fmt.Sprint("service-", p.random.IntN(3))
	var body string
	switch x := p.random.IntN(20); {
	case x < 8:
		body = string(routesUpsert(version, service, route))
	case x < 12:
		body = fmt.Sprintf(`{"Upsert":{"UpstreamGroups":[{"Name":%q,"ConfigVersion":%d}]}}`, service, version)
	case x < 14:
		body = fmt.Sprintf(`{"Remove":{"RouteTable":[{"Name":%q,"ConfigVersion":%d}]}}`, route, version)
	case x < 15:
		body = fmt.Sprintf(`{"Remove":{"UpstreamGroups":[{"Name":%q,"ConfigVersion":%d}]}}`, service, version)
	case x < 17:
		body = fmt.Sprintf(`{"Upsert":{"NamespaceList":[{"Name":"space","ConfigVersion":%d,"Owners":["ana"],"Services":[%q]}]}}`,
			version, service)
	case x < 19:
		by := []string{"ana", "eve", ""}[p.random.IntN(3)]
		body = fmt.Sprintf(`{"By":%q,"Upsert":{"RulingList":[{"Name":"ruling","Namespace":"space","ConfigVersion":%d,"Tries":%d}]}}`,
			by, version, 1+p.random.IntN(4))
	default:
		body = "{"
	}
	n.call(func(r *Replica) { r.Modify(p.now, []byte(body), p.recordReply("modify")) })
}

// leaseKeys requests random leases on few keys, as a sidecar does.
func (p *goldenScenario) leaseKeys(n *clusterNode) {
	t := &wire.KeyLeaseRequestsT{}
	for range 1 + p.random.IntN(3) {
		window := []time.Duration{0, 200 * time.Millisecond, 2 * time.Second}[p.random.IntN(3)]
		t.List = append(t.List, &wire.KeyLeaseRequestT{
			Key:      fmt.Sprint("key-", p.random.IntN(6)),
			Token:    fmt.Sprint("ticket-", p.random.IntN(4)),
			Attempt:  uint32(p.random.IntN(2)),
			Holder:   fmt.Sprint("holder-", p.random.IntN(2)),
			Release:  p.random.IntN(5) == 0,
			WindowUs: window.Microseconds(),
		})
	}
	body := codec.EncodeTable(t)
	if p.random.IntN(30) == 0 {
		body = body[:3]
	}
	n.call(func(r *Replica) { r.HandleCall(p.now, codec.CallLeaseKeys, body, FromSidecar, p.recordReply("lease")) })
}

// read makes a random read call.
func (p *goldenScenario) read(n *clusterNode) {
	kind := []byte{codec.CallItems, codec.CallActivePolicy, codec.CallReadIndex, codec.CallStatus, 0}[p.random.IntN(5)]
	if kind != 0 {
		n.call(func(r *Replica) {
			r.HandleCall(p.now, kind, nil, FromSidecar, p.recordReply(fmt.Sprint("read ", kind)))
		})
		return
	}
	n.call(func(r *Replica) {
		r.Fetch(p.now, func(fetched FetchResult) {
			text, err := json.Marshal(fetched.Document)
			if err != nil {
				panic(err)
			}
			p.record.add("fetched", fetched.Confirmed, text)
		})
	})
}

// sendRecords merges a record of one of few sidecars, in a random incarnation, or records the messages sent to a connecting sidecar.
func (p *goldenScenario) sendRecords(n *clusterNode) {
	if p.random.IntN(4) == 0 {
		n.call(func(r *Replica) {
			for _, m := range r.InitialMessages() {
				p.record.add("initial message", codec.Encode(m))
			}
		})
		return
	}
	sidecar := p.random.IntN(3)
	t := &wire.RecordsT{List: []*wire.RecordT{{
		Node:        fmt.Sprint("node-", sidecar),
		Incarnation: uint64(1 + p.random.IntN(3)),
		Sequence:    uint64(p.random.IntN(20)),
		Addr:        fmt.Sprint("sidecar-", sidecar),
		Service:     "service-0",
	}}}
	n.call(func(r *Replica) {
		from := FromReplica
		if p.random.IntN(2) == 0 {
			from = FromSidecar
		}
		for _, record := range r.MergeRecords(p.now, directory.FromWire(t), from) {
			p.record.add("newer record", codec.Encode(directory.ToWire([]directory.Record{record})))
		}
	})
}

// proposeMaintenance proposes a random change of the maintenance state at the leader, in its stored form.
func (p *goldenScenario) proposeMaintenance() {
	n := p.leader()
	if n == nil {
		return
	}
	var kind MaintenanceKind
	var text string
	id := fmt.Sprint("order-", max(1, p.orders-p.random.IntN(2)))
	switch p.random.IntN(8) {
	case 0, 1:
		p.orders++
		machine := p.nodes[p.random.IntN(len(p.nodes))].address
		kind, text = MaintenanceOrder, fmt.Sprintf(`{"id":"order-%d","machines":[%q,"sidecar-1"],"by":"ana"}`, p.orders, machine)
	case 2, 3, 4, 5:
		step := []string{"draining", "leading", "out", "returning", "waiting", "done", "aborted"}[p.random.IntN(7)]
		kind, text = MaintenanceUpdate, fmt.Sprintf(`{"id":%q,"step":%q,"next":true,"heir":"sidecar-2","text":"drawn"}`, id, step)
	default:
		at := time.Unix(1_000_000, 0).UTC().Add(p.now)
		kind, text = MaintenanceClock, fmt.Sprintf(`{"Stamp":%d,"Earliest":%q,"Latest":%q,"Doubt":false}`, n.replica.LogTime(p.now),
			at.Format(time.RFC3339Nano), at.Add(time.Second).Format(time.RFC3339Nano))
	}
	p.propose(n, "maintenance", EncodeMaintenanceChange(kind, []byte(text)))
}

// proposeActivation proposes to activate the committed policy set, or one that does not exist.
func (p *goldenScenario) proposeActivation() {
	n := p.leader()
	if n == nil {
		return
	}
	fingerprint := n.replica.State().Policy.Rollout.Agreed
	if p.random.IntN(4) == 0 {
		fingerprint = "of another set"
	}
	p.propose(n, "activate", EncodeChange(ChangeActivePolicy, &wire.ActivePolicyT{Fingerprint: fingerprint}))
}

// propose proposes an entry at a replica, and records the result.
func (p *goldenScenario) propose(n *clusterNode, kind string, data []byte) {
	n.call(func(r *Replica) {
		accepted := r.Propose(p.now, data, func(result ProposalResult) {
			o := result.Outcome
			p.record.add(
				kind+" agreed", result.Known, o.Err != nil, o.PolicyActivated, o.MaintenanceChanged,
				len(o.UpdatedItems), len(o.LeaseResults),
			)
		})
		p.record.add(kind+" proposed", accepted)
	})
}

// readIndex calls ReadIndex and records the result.
func (p *goldenScenario) readIndex(n *clusterNode) {
	n.call(func(r *Replica) {
		r.ReadIndex(p.now, func(read ReadIndexResult) {
			p.record.add("read index", binary.BigEndian.AppendUint64(nil, read.Index), read.Confirmed)
		})
	})
}

// injectFault injects a random fault of a replica, its disk or its connections, or shuts the replica down as planned.
func (p *goldenScenario) injectFault(n *clusterNode) {
	downtime := p.randomDuration(10*time.Millisecond, 3*time.Second)
	switch p.random.IntN(8) {
	case 0:
		p.restart(n, downtime)
	case 1:
		p.loseDisk(n, downtime)
	case 2:
		n.frozenUntil = p.now + downtime
	case 3:
		n.diskFullUntil = p.now + downtime/2
	case 4:
		p.isolate(n)
		p.schedule(downtime, p.heal)
	case 5:
		if leader := p.leader(); leader != nil {
			p.isolate(leader)
			p.schedule(downtime, p.heal)
		}
	case 6:
		p.exitProcess(n)
	case 7:
		n.call(func(r *Replica) { r.BeginShutdown(p.now) })
		n.schedule(downtime, func() { p.restart(n, time.Second) })
	}
}

// restart stops a replica, and starts it again after a downtime.
func (p *goldenScenario) restart(n *clusterNode, downtime time.Duration) {
	if n.replica == nil {
		return
	}
	n.stop()
	p.schedule(downtime, func() {
		if n.replica == nil {
			n.start()
		}
	})
}

// loseDisk replaces the disk of a replica by an empty one, unless another replica has failed: a second simultaneous loss would exceed the
// faults that the cluster tolerates.
func (p *goldenScenario) loseDisk(n *clusterNode, downtime time.Duration) {
	for _, o := range p.nodes {
		if !o.running() || o.replica.QuorumContact() == 0 {
			return
		}
	}
	n.disk = Bootstrap{Address: n.address, Seeds: n.seeds, NewID: p.newID()}.InitialState()
	p.restart(n, downtime)
}

// exitProcess restarts a replica, and reports the exit of its process to the others.
func (p *goldenScenario) exitProcess(n *clusterNode) {
	p.restart(n, time.Second)
	for _, o := range p.nodes {
		o.call(func(r *Replica) {
			if wait, isLeader := r.PeerExited(p.now, n.address); isLeader {
				p.record.add("leader exited", o.address, wait)
				o.schedule(wait, func() { o.call(func(r *Replica) { r.Tick(p.now) }) })
			}
		})
	}
}
