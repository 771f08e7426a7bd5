// Package controlplane runs one control-plane member. All decisions about consensus and state are made by the deterministic replica of
// internal/mesh/replica. This package performs its I/O and owns the lifecycle of everything around it: the store, the links to the other
// members, the connections of sidecars, the operators' API, and the leader's controllers for maintenance and policy rollout.
//
// The goroutine of Member.Run owns the replica, the store and the controllers; other goroutines post tasks to its eventLoop (loop.go).
// Nothing here may access the replica from another goroutine, acknowledge what is not on disk, or hold a lock during I/O. While the disk
// rejects writes, that goroutine only retries the write (store.go), so nothing is acknowledged. Connections stay open meanwhile, and
// their heartbeats report that the member has no quorum contact.
//
// The design follows the split of etcd's raft from its server: docs/design/control.md.
package controlplane

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/storage"
	"cranegrade/internal/mesh/transport/wire"
)

// Times of a graceful shutdown.
const (
	minLeaveTime = 400 * time.Millisecond // lets another member become leader, and accepted calls be answered
	maxLeaveTime = 2 * time.Second        // applies even if the remaining members lag behind
)

// ErrNoDataDir is returned by New if the settings have no DataDir. The operator has to correct them.
const ErrNoDataDir = errors.ConstError("settings: DataDir is empty; a control-plane member needs a disk")

// Member is one control-plane member. New creates it; Run must be called once.
type Member struct {
	settings atomic.Pointer[settings.Settings]
	log      zerolog.Logger
	logRing  *logring.Ring
	clock    clock
	loop     *eventLoop
	self     raft.Member
	ctx      context.Context
	cancel   context.CancelFunc // ends the calls, dials and surveys of this member
	// background has the goroutines that Run waits for before it returns. Only Run's goroutine starts any, so that none is added during
	// the wait. The goroutines of connections are not included: connections with other members stay open until the process ends.
	background sync.WaitGroup

	transportListener net.Listener
	apiListener       net.Listener
	apiServer         *http.Server
	peers             peerSet
	sidecars          sidecarSet
	writer            stateWriter
	replica           *replica.Replica
	quorumContact     atomic.Int64 // Replica.QuorumContact after the last iteration of the loop, for the goroutines of connections

	survey      surveyor
	maintenance maintenanceController
	policies    policyActivator
}

// New opens the store and the listeners. initialOrders names a file of contracts and maintenance orders to place once there is a
// configuration, or is "". While the store is unavailable, for instance because the disk is full, New does not return. If it fails, it
// closes everything that it opened.
func New(set settings.Settings, log zerolog.Logger, ring *logring.Ring, initialOrders string) (_ *Member, err error) {
	if set.DataDir == "" {
		return nil, ErrNoDataDir
	}
	orders, err := readInitialOrders(initialOrders)
	if err != nil {
		return nil, errors.Annotatef(err, "initial orders %s", initialOrders)
	}
	m := &Member{log: log, logRing: ring, clock: clock{started: time.Now()}, loop: newEventLoop()}
	m.settings.Store(&set)
	m.self.Addr = set.MemberAddress("")
	m.ctx, m.cancel = context.WithCancel(context.Background())
	m.wire(orders)
	defer func() {
		if err != nil {
			m.release()
		}
	}()
	if err = m.openReplica(set); err != nil {
		return nil, errors.Annotatef(err, "open the state in %s", set.DataDir)
	}
	if m.transportListener, err = net.Listen("tcp4", set.TransportListenAddress(m.self.Addr)); err != nil {
		return nil, errors.Annotate(err, "listen for members and sidecars")
	}
	if m.apiListener, err = net.Listen("tcp4", set.ListenAddrs.ControlPlane); err != nil {
		return nil, errors.Annotate(err, "listen for operators")
	}
	return m, nil
}

// release frees the resources of a member that New could not complete.
func (m *Member) release() {
	m.cancel()
	if m.transportListener != nil {
		_ = m.transportListener.Close()
	}
	if m.writer.store != nil {
		m.writer.store.Close()
	}
}

// wire connects the components that do not depend on the store.
func (m *Member) wire(orders *initialOrders) {
	m.peers.ctx = m.ctx
	m.peers.log = m.log
	m.peers.hello = m.hello
	m.peers.onConnected = m.sendRecords
	m.peers.onRefused = m.peerRefused
	m.writer.log = m.log
	m.survey = surveyor{
		ctx:         m.ctx,
		loop:        m.loop,
		clock:       &m.clock,
		self:        m.self.Addr,
		ownStatus:   m.status,
		afterSurvey: m.policies.activate,
		background:  &m.background,
	}
	m.maintenance = maintenanceController{
		log:      m.log,
		settings: &m.settings,
		clock:    &m.clock,
		survey:   &m.survey,
		self:     m.self.Addr,
		initial:  orders,
	}
	m.policies = policyActivator{log: m.log, clock: &m.clock, survey: &m.survey, self: m.self.Addr}
}

// openReplica opens the store and creates the replica from the stored state.
func (m *Member) openReplica(set settings.Settings) error {
	opened, err := openStore(storage.Directory(set.DataDir), m.log)
	if err != nil {
		return err
	}
	if opened.empty {
		first := replica.Bootstrap{
			Address:    m.self.Addr,
			Seeds:      set.SeedAddresses(),
			FirstStart: set.FirstStart,
			Damaged:    opened.damaged,
			NewID:      newID(),
		}
		opened.initialize(first.InitialState(), m.log)
	}
	stored := opened.state
	m.writer.store = opened.store
	m.self.ID = stored.Self
	config := replica.Config{
		Address:         m.self.Addr,
		Stored:          stored,
		Seeds:           set.SeedAddresses(),
		FaultsTolerated: set.FaultTolerance.Machines,
		RandomSeed:      uint64(stored.Self) ^ uint64(time.Now().UnixNano()),
		Log:             m.log,
	}
	env := environment{
		ctx:        m.ctx,
		loop:       m.loop,
		peers:      &m.peers,
		writer:     &m.writer,
		sidecars:   &m.sidecars,
		background: &m.background,
	}
	if m.replica, err = replica.New(config, env, m.clock.now()); err != nil {
		return err
	}
	m.survey.replica = m.replica
	m.maintenance.replica = m.replica
	m.policies.replica = m.replica
	m.log.Info().Uint64("member_id", uint64(stored.Self)).Uint64("last_index", m.replica.SavedIndex()).Bool("empty", opened.empty).
		Msg("store opened")
	return nil
}

// newID returns a random ID for a member that has none. Odd IDs are reserved for the members of a bootstrap.
func newID() raft.ID {
	var random [8]byte
	crand.Read(random[:])
	return raft.ID(binary.LittleEndian.Uint64(random[:]) &^ 1)
}

// Addr returns the address at which other members and sidecars reach this one.
func (m *Member) Addr() string { return m.self.Addr }

// SetClockOffset shifts this member's time of day by an offset, to simulate a wrong clock in fault drills. It has to be called before Run.
func (m *Member) SetClockOffset(offset time.Duration) { m.clock.offset = offset }

// Reload applies changed settings. Changes of addresses only take effect at the next start. Any goroutine may call it.
func (m *Member) Reload(set settings.Settings) { m.settings.Store(&set) }

// Run serves until ctx ends, and then until accepted calls are answered and another member leads, but no longer than maxLeaveTime. It
// always returns nil, and must be called once.
func (m *Member) Run(ctx context.Context) error {
	defer m.background.Wait()
	defer m.cancel()
	m.writer.terminating = ctx.Done()
	m.apiServer = newAPIServer(m)
	m.background.Go(m.serveAPI)
	m.background.Go(m.acceptConnections)
	ticker := time.NewTicker(replica.TickInterval)
	defer ticker.Stop()
	terminate := ctx.Done()
	const notLeaving = time.Duration(-1)
	leavingSince := notLeaving // when the shutdown began
	for leavingSince == notLeaving || !m.canStop(m.clock.now()-leavingSince) {
		select {
		case task := <-m.loop.tasks:
			m.loop.runBatch(task)
		case <-ticker.C:
			m.tick() //nolint:contextcheck // what it starts ends with m.ctx, after Run's ctx, so that accepted calls are answered first
		case <-terminate:
			leavingSince = m.clock.now()
			m.replica.BeginShutdown(leavingSince)
			terminate = nil
		}
		if !m.replica.ProcessReady() { // the disk rejects writes during the shutdown, so nothing more can be acknowledged
			break
		}
		m.quorumContact.Store(int64(m.replica.QuorumContact()))
	}
	m.stop()
	return nil
}

// serveAPI serves operators until stop.
func (m *Member) serveAPI() {
	if err := m.apiServer.Serve(m.apiListener); !errors.Is(err, http.ErrServerClosed) {
		m.log.Error().Err(err).Msg("operators' API ended")
	}
}

// canStop reports whether a member that has been shutting down for leavingFor may stop. It may after minLeaveTime, in which accepted calls
// are answered, if the remaining members have replicated its whole log (raft/leave.go). It may in any case after maxLeaveTime, or after
// half of the deploy file's grace period if that is shorter.
func (m *Member) canStop(leavingFor time.Duration) bool {
	limit := min(maxLeaveTime, m.settings.Load().Bounds.GraceS.Duration()/2)
	return leavingFor >= limit || leavingFor >= minLeaveTime && m.replica.CanShutDown()
}

// stop ends the loop, closes the listeners and the connections of sidecars, and then the store.
func (m *Member) stop() {
	m.loop.stop()
	_ = m.transportListener.Close()
	_ = m.apiServer.Close()
	m.sidecars.close()
	m.writer.store.Close()
}

// tick advances everything that depends on time.
func (m *Member) tick() {
	m.replica.SetSeeds(m.settings.Load().SeedAddresses())
	now := m.clock.now()
	m.replica.Tick(now)
	m.maintenance.tick(now)
	m.policies.tick(now)
}

// hello introduces this member to a peer.
func (m *Member) hello() *wire.HelloT {
	return &wire.HelloT{Name: m.settings.Load().NodeName, Addr: m.self.Addr, ControlPlane: true, MemberId: uint64(m.self.ID)}
}

// peerRefused handles a connection that a peer's host has refused, which means that the peer's process has ended. Any goroutine may
// call it.
func (m *Member) peerRefused(address string) {
	m.loop.post(func() { m.peerExited(address) })
}

// peerExited reports to the replica that the process at an address has ended. If that was the leader, it schedules a tick for when the
// election is due, since the regular ticks are too far apart. It belongs to the loop's goroutine.
func (m *Member) peerExited(address string) {
	wait, wasLeader := m.replica.PeerExited(m.clock.now(), address)
	if !wasLeader {
		return
	}
	time.AfterFunc(wait, func() {
		m.loop.post(func() { m.replica.Tick(m.clock.now()) })
	})
}
