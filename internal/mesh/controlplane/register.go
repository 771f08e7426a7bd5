// Package register is the shell of a control-plane replica (internal/mesh/replica, which decides): the vault, trunks to the
// other registers and from lines, the calls of operators and the survey of the mesh for maintenance and rules. One goroutine,
// that of Run, owns the replica and the vault; others post to it.
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
	"cranegrade/internal/mesh/maintenance"
	"cranegrade/internal/mesh/raft"
	"cranegrade/internal/mesh/replica"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/storage"
	"cranegrade/internal/mesh/transport"
)

// Times and bounds of a register's shell.
const (
	minLeaveTime      = 400 * time.Millisecond // of a register that is to end: another leads, and what was taken is answered
	maxLeaveTime      = 2 * time.Second        // until those that stay hold what it holds
	diskRetryInterval = 100 * time.Millisecond
	maxRequestBytes   = 4 << 20 // bytes of an operator's call
	maxTasksPerTurn   = 256
)

// Member is one register.
type Member struct {
	settings          atomic.Pointer[settings.Settings]
	log               zerolog.Logger
	started           time.Time
	tasks             chan func()
	stopped           chan struct{}
	transportListener net.Listener
	apiListener       net.Listener
	apiServer         *http.Server
	ctx               context.Context
	terminating       <-chan struct{} // closed when the process is to end
	calls             transport.Calls
	quorumContact     atomic.Int64 // when the core was in touch, as of the last tick; 0: it is not

	mu    sync.Mutex           // guards links
	links map[string]*peerLink // to other registers, by address

	// Owned by Run's goroutine.
	self        raft.Member
	store       *storage.Store
	replica     *replica.Replica
	sidecars    map[*transport.Conn]bool // of lines, and of whoever else looks
	diskFault   atomic.Pointer[string]   // that its disk is in; nil: none
	logRing     *logring.Ring
	maintenance maintenanceState
	// contractsNow are the contracts as of the change contractsOf
	contracts      []maintenance.Contract
	contractsIndex uint64
	initialOrders  *initialOrders
	activation     policyActivation
	clockOffset    time.Duration
}

// New opens the vault and listens.
// New's standing names a file of contracts and orders that are to be placed once there is a configuration; "": none.
func New(set settings.Settings, log zerolog.Logger, ring *logring.Ring, standing string) (_ *Member, err error) {
	if set.DataDir == "" {
		return nil, errors.New("settings: DataDir is empty; a register needs a disk")
	}
	r := &Member{log: log, logRing: ring, started: time.Now(), tasks: make(chan func(), 1024), stopped: make(chan struct{}), links: map[string]*peerLink{},
		sidecars: map[*transport.Conn]bool{}}
	r.settings.Store(&set)
	if r.initialOrders, err = readInitialOrders(standing); err != nil {
		return nil, errors.Annotate(err, standing)
	}
	r.self.Addr = set.MemberAddress("")
	if err := r.openReplica(set); err != nil {
		return nil, err
	}
	if r.transportListener, err = net.Listen("tcp4", set.TransportListenAddress(r.self.Addr)); err != nil {
		return nil, errors.Annotate(err, "trunks")
	}
	if r.apiListener, err = net.Listen("tcp4", set.ListenAddrs.ControlPlane); err != nil {
		return nil, errors.Annotate(err, "calls")
	}
	return r, nil
}

func newID() raft.ID {
	var p [8]byte
	crand.Read(p[:])
	return raft.ID(binary.LittleEndian.Uint64(p[:]) &^ 1)
}

// maxDiscards is how many times in a row a vault is begun anew before the register gives up.
const maxDiscards = 50

// openStore opens the vault. One that is damaged is as a disk that was lost: it is begun anew, and told as damaged. One that
// can't be opened now, as on a full disk, is waited for: what it holds may be all that is left.
func (r *Member) openStore(f storage.Folder) (v *storage.Store, held raft.StoredState, empty, damaged bool, err error) {
	for discards := 0; ; {
		v, held, empty, err = storage.OpenFolder(f, storage.Options{})
		switch {
		case err == nil:
			return v, held, empty, damaged, nil
		case errors.Is(err, storage.ErrUnavailable):
			r.log.Error().Err(err).Msg("the vault can't be opened; it is tried again")
		case discards > maxDiscards:
			return nil, held, false, true, err
		default:
			damaged = true
			discards++
			r.log.Error().Err(err).Msg("the vault can't be opened; it is begun anew, and the others are asked")
			if err := f.Discard(); err != nil {
				r.log.Error().Err(err).Msg("and can't be removed")
			}
		}
		time.Sleep(diskRetryInterval)
	}
}

// openReplica opens the vault and makes the core of what it holds.
func (r *Member) openReplica(set settings.Settings) error {
	v, held, empty, damaged, err := r.openStore(storage.Directory(set.DataDir))
	if err != nil {
		return err
	}
	r.store = v
	if empty {
		held = replica.Bootstrap{Address: r.self.Addr, Seeds: set.SeedAddresses(), FirstStart: set.FirstStart, Damaged: damaged, NewID: newID()}.InitialState()
		for {
			if err = v.Initialize(held.Self, held.Snapshot); err == nil {
				break
			}
			r.log.Error().Err(err).Msg("the vault can't be written")
			time.Sleep(diskRetryInterval)
			v.Reopen()
		}
	}
	r.self.ID = held.Self
	r.replica, err = replica.New(replica.Config{Address: r.self.Addr, Stored: held, Seeds: set.SeedAddresses(), FaultsTolerated: set.FaultTolerance.Machines,
		RandomSeed: uint64(held.Self) ^ uint64(time.Now().UnixNano()), Log: r.log}, environment{r}, r.now())
	if err != nil {
		return err
	}
	r.log.Info().Uint64("id", uint64(held.Self)).Uint64("log", r.replica.SavedIndex()).Bool("empty", empty).Msg("vault open")
	return nil
}

// Addr is the address of its trunks.
func (r *Member) Addr() string { return r.self.Addr }

// wallClock is the time of day, as far as this machine knows it. ahead: for rehearsals of clocks that are wrong.
func (r *Member) wallClock() time.Time { return time.Now().Add(r.clockOffset) }

// SetClockOffset has its time of day be ahead; before Run.
func (r *Member) SetClockOffset(d time.Duration) { r.clockOffset = d }

// now is the steady clock.
func (r *Member) now() time.Duration { return time.Since(r.started) }

// post has f run on Run's goroutine; after that has ended it does nothing.
func (r *Member) post(f func()) {
	select {
	case r.tasks <- f:
	case <-r.stopped:
	}
}

// Reload takes a settings file that has changed.
func (r *Member) Reload(set settings.Settings) { r.settings.Store(&set) }

// Run serves until ctx ends, then answers what was taken.
func (r *Member) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx, r.terminating = work, ctx.Done()
	r.apiServer = r.newAPIServer()
	go r.apiServer.Serve(r.apiListener)
	go r.acceptConnections()
	ticker := time.NewTicker(replica.TickInterval)
	defer ticker.Stop()
	leaving := time.Duration(-1) // told to end then
	for {
		select {
		case f := <-r.tasks:
			f()
			for n := 0; n < maxTasksPerTurn; n++ {
				select {
				case f := <-r.tasks:
					f()
					continue
				default:
				}
				break
			}
		case <-ticker.C:
			r.tick()
		case <-ctx.Done():
			leaving = r.now()
			r.replica.BeginShutdown(leaving)
			ctx = context.Background()
		}
		if !r.replica.ProcessReady() { // the disk takes nothing, and the process is to end: nothing more can be said
			r.stop()
			return nil
		}
		r.quorumContact.Store(int64(r.replica.QuorumContact()))
		if leaving >= 0 && r.canStop(r.now()-leaving) {
			r.stop()
			return nil
		}
	}
}

// canStop says that a register that was told to end so long ago may.
func (r *Member) canStop(after time.Duration) bool {
	most := min(maxLeaveTime, r.settings.Load().Bounds.GraceS.Duration()/2)
	return after >= most || after >= minLeaveTime && r.replica.CanShutDown()
}

func (r *Member) stop() {
	close(r.stopped)
	r.transportListener.Close()
	r.apiServer.Close()
	for c := range r.sidecars {
		c.Close(nil)
	}
	r.store.Close()
}

// tick lets time pass.
func (r *Member) tick() {
	r.replica.SetSeeds(r.settings.Load().SeedAddresses())
	now := r.now()
	r.replica.Tick(now)
	r.runMaintenance(now)
	r.runActivation(now)
}
