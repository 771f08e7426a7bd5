// Package register is the shell of a control-plane replica (internal/mesh/replica, which decides): the vault, trunks to the
// other registers and from lines, the calls of operators and the survey of the mesh for maintenance and rules. One goroutine,
// that of Run, owns the replica and the vault; others post to it.
package register

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

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/howler"
	"hollyspur/internal/exchange/night"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/vault"
	"hollyspur/internal/mesh/replica"
)

// Times and bounds of a register's shell.
const (
	leaveLeast  = 400 * time.Millisecond // of a register that is to end: another leads, and what was taken is answered
	leaveMost   = 2 * time.Second        // until those that stay hold what it holds
	vaultRest   = 100 * time.Millisecond
	mostBody    = 4 << 20 // bytes of an operator's call
	mostPerTurn = 256
)

// Register is one register.
type Register struct {
	set    atomic.Pointer[settings.Settings]
	log    zerolog.Logger
	start  time.Time
	events chan func()
	done   chan struct{}
	trunks net.Listener
	calls  net.Listener
	server *http.Server
	ctx    context.Context
	ending <-chan struct{} // closed when the process is to end
	asks   trunk.Asks
	touch  atomic.Int64 // when the core was in touch, as of the last tick; 0: it is not

	mu    sync.Mutex       // guards links
	links map[string]*link // to other registers, by address

	// Owned by Run's goroutine.
	self    core.Member
	vault   *vault.Vault
	replica *replica.Replica
	lines   map[*trunk.Conn]bool   // of lines, and of whoever else looks
	trouble atomic.Pointer[string] // that its disk is in; nil: none
	ring    *howler.Howler
	board   board
	// contractsNow are the contracts as of the change contractsOf
	contractsNow []night.Contract
	contractsOf  uint64
	standing     *standing
	binding      binding
	ahead        time.Duration
}

// New opens the vault and listens.
// New's standing names a file of contracts and orders that are to be placed once there is a configuration; "": none.
func New(set settings.Settings, log zerolog.Logger, ring *howler.Howler, standing string) (_ *Register, err error) {
	if set.DataDir == "" {
		return nil, errors.New("settings: DataDir is empty; a register needs a disk")
	}
	r := &Register{log: log, ring: ring, start: time.Now(), events: make(chan func(), 1024), done: make(chan struct{}), links: map[string]*link{},
		lines: map[*trunk.Conn]bool{}}
	r.set.Store(&set)
	if r.standing, err = readStanding(standing); err != nil {
		return nil, errors.Annotate(err, standing)
	}
	r.self.Addr = set.RegisterTrunk("")
	if err := r.open(set); err != nil {
		return nil, err
	}
	if r.trunks, err = net.Listen("tcp4", set.TrunkListener(r.self.Addr)); err != nil {
		return nil, errors.Annotate(err, "trunks")
	}
	if r.calls, err = net.Listen("tcp4", set.ListenAddrs.ControlPlane); err != nil {
		return nil, errors.Annotate(err, "calls")
	}
	return r, nil
}

func newID() core.ID {
	var p [8]byte
	crand.Read(p[:])
	return core.ID(binary.LittleEndian.Uint64(p[:]) &^ 1)
}

// discardsMost is how many times in a row a vault is begun anew before the register gives up.
const discardsMost = 50

// openVault opens the vault. One that is damaged is as a disk that was lost: it is begun anew, and told as damaged. One that
// can't be opened now, as on a full disk, is waited for: what it holds may be all that is left.
func (r *Register) openVault(f vault.Folder) (v *vault.Vault, held vault.Held, empty, damaged bool, err error) {
	for discards := 0; ; {
		v, held, empty, err = vault.OpenIn(f, vault.Options{})
		switch {
		case err == nil:
			return v, held, empty, damaged, nil
		case errors.Is(err, vault.ErrUnavailable):
			r.log.Error().Err(err).Msg("the vault can't be opened; it is tried again")
		case discards > discardsMost:
			return nil, held, false, true, err
		default:
			damaged = true
			discards++
			r.log.Error().Err(err).Msg("the vault can't be opened; it is begun anew, and the others are asked")
			if err := f.Discard(); err != nil {
				r.log.Error().Err(err).Msg("and can't be removed")
			}
		}
		time.Sleep(vaultRest)
	}
}

// open opens the vault and makes the core of what it holds.
func (r *Register) open(set settings.Settings) error {
	v, held, empty, damaged, err := r.openVault(vault.Directory(set.DataDir))
	if err != nil {
		return err
	}
	r.vault = v
	if empty {
		held = replica.Beginning{Address: r.self.Addr, Seeds: set.Seeds(), FirstStart: set.FirstStart, Damaged: damaged, NewID: newID()}.Held()
		for {
			if err = v.Begin(held.Self, held.Snapshot); err == nil {
				break
			}
			r.log.Error().Err(err).Msg("the vault can't be written")
			time.Sleep(vaultRest)
			v.Reopen()
		}
	}
	r.self.ID = held.Self
	r.replica, err = replica.New(replica.Config{Address: r.self.Addr, Held: held, Seeds: set.Seeds(), FaultsTolerated: set.FaultTolerance.Machines,
		RandomSeed: uint64(held.Self) ^ uint64(time.Now().UnixNano()), Log: r.log}, environment{r}, r.now())
	if err != nil {
		return err
	}
	r.log.Info().Uint64("id", uint64(held.Self)).Uint64("log", r.replica.Logged()).Bool("empty", empty).Msg("vault open")
	return nil
}

// Addr is the address of its trunks.
func (r *Register) Addr() string { return r.self.Addr }

// wall is the time of day, as far as this machine knows it. ahead: for rehearsals of clocks that are wrong.
func (r *Register) wall() time.Time { return time.Now().Add(r.ahead) }

// Ahead has its time of day be ahead; before Run.
func (r *Register) Ahead(d time.Duration) { r.ahead = d }

// now is the steady clock.
func (r *Register) now() time.Duration { return time.Since(r.start) }

// Do has f run on Run's goroutine; after that has ended it does nothing.
func (r *Register) Do(f func()) {
	select {
	case r.events <- f:
	case <-r.done:
	}
}

// Reload takes a settings file that has changed.
func (r *Register) Reload(set settings.Settings) { r.set.Store(&set) }

// Run serves until ctx ends, then answers what was taken.
func (r *Register) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer cancel()
	r.ctx, r.ending = work, ctx.Done()
	r.server = r.handlers()
	go r.server.Serve(r.calls)
	go r.accept()
	ticker := time.NewTicker(replica.TickInterval)
	defer ticker.Stop()
	leaving := time.Duration(-1) // told to end then
	for {
		select {
		case f := <-r.events:
			f()
			for n := 0; n < mostPerTurn; n++ {
				select {
				case f := <-r.events:
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
			r.replica.Leave(leaving)
			ctx = context.Background()
		}
		if !r.replica.Turn() { // the disk takes nothing, and the process is to end: nothing more can be said
			r.stop()
			return nil
		}
		r.touch.Store(int64(r.replica.Touched()))
		if leaving >= 0 && r.mayEnd(r.now()-leaving) {
			r.stop()
			return nil
		}
	}
}

// mayEnd says that a register that was told to end so long ago may.
func (r *Register) mayEnd(after time.Duration) bool {
	most := min(leaveMost, r.set.Load().Bounds.GraceS.D()/2)
	return after >= most || after >= leaveLeast && r.replica.MayLeave()
}

func (r *Register) stop() {
	close(r.done)
	r.trunks.Close()
	r.server.Close()
	for c := range r.lines {
		c.Close(nil)
	}
	r.vault.Close()
}

// tick lets time pass.
func (r *Register) tick() {
	r.replica.SetSeeds(r.set.Load().Seeds())
	now := r.now()
	r.replica.Tick(now)
	r.keepNight(now)
	r.keepRules(now)
}
