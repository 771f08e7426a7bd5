// Package register puts a register together: the vault, the core with its state, trunks to the other registers and from
// lines, and the calls of operators. One goroutine, that of Run, owns the core, the state, the vault and all tables; others
// post to it. It decides nothing that core, patch, ticket or directory decide.
package register

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"hash/fnv"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"hollyspur/internal/exchange/core"
	"hollyspur/internal/exchange/directory"
	"hollyspur/internal/exchange/howler"
	"hollyspur/internal/exchange/night"
	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/settings"
	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/exchange/vault"
)

// Times of a register.
const (
	beatEvery     = 100 * time.Millisecond
	election      = 500 * time.Millisecond
	dead          = 2 * time.Second
	tick          = 50 * time.Millisecond
	stuck         = 300 * time.Millisecond // without a tick
	yieldFor      = 400 * time.Millisecond // of a register that is to end
	compactAt     = 4096                   // entries behind the snapshot
	answerWithin  = 900 * time.Millisecond // callers move on after a second
	vaultRest     = 100 * time.Millisecond
	lineSilence   = 30 * time.Second // after which a line's record is dropped
	expireEvery   = 5 * time.Second
	mostBody      = 4 << 20 // bytes of an operator's call
	mostPerTurn   = 256
	proposalsMost = 4096
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
	self      core.Member
	vault     *vault.Vault
	core      *core.Core
	state     state
	logged    uint64               // last entry on disk
	lines     map[*trunk.Conn]bool // of lines, and of whoever else looks
	dir       directory.Table
	proposals map[uint64]proposal
	reads     map[uint64]func(index uint64, ok bool)
	nextRead  uint64
	waiting   []waiting // for the state to come up to an entry
	expired   time.Duration
	known     map[string]bool // trunks of registers that were heard of
	addrs     map[core.ID]string
	led       core.ID
	told      uint64                 // view that links were made for
	trouble   atomic.Pointer[string] // that its disk is in; nil: none
	ring      *howler.Howler
	board     board
	held      atomic.Bool // an order for maintenance has this register out
	// contractsNow are the contracts as of the change contractsOf
	contractsNow []night.Contract
	contractsOf  uint64
	standing     *standing
	binding      binding
	gap          gap
	ahead        time.Duration
}

type proposal struct {
	term uint64
	done func(outcome, bool)
}

type waiting struct {
	index uint64
	then  func()
}

// New opens the vault and listens.
// New's standing names a file of contracts and orders that are to be placed once there is a configuration; "": none.
func New(set settings.Settings, log zerolog.Logger, ring *howler.Howler, standing string) (_ *Register, err error) {
	if set.DataDir == "" {
		return nil, errors.New("settings: DataDir is empty; a register needs a disk")
	}
	r := &Register{log: log, ring: ring, start: time.Now(), events: make(chan func(), 1024), done: make(chan struct{}), links: map[string]*link{},
		lines: map[*trunk.Conn]bool{}, proposals: map[uint64]proposal{}, reads: map[uint64]func(uint64, bool){}, known: map[string]bool{}}
	r.set.Store(&set)
	if r.standing, err = readStanding(standing); err != nil {
		return nil, errors.Annotate(err, standing)
	}
	r.self.Addr = set.RegisterTrunk("")
	if err := r.open(set); err != nil {
		return nil, err
	}
	if r.trunks, err = net.Listen("tcp4", r.self.Addr); err != nil {
		return nil, errors.Annotate(err, "trunks")
	}
	if r.calls, err = net.Listen("tcp4", set.ListenAddrs.ControlPlane); err != nil {
		return nil, errors.Annotate(err, "calls")
	}
	return r, nil
}

// founderID is the id of a register that the first seeds name: all of them have to know it before they have met.
func founderID(addr string) core.ID {
	h := fnv.New64a()
	h.Write([]byte("founder " + addr))
	return core.ID(h.Sum64() | 1)
}

func newID() core.ID {
	var p [8]byte
	crand.Read(p[:])
	return core.ID(binary.LittleEndian.Uint64(p[:]) &^ 1)
}

// open opens the vault and makes the core of what it holds. A vault that can't be read is as a disk that was lost.
func (r *Register) open(set settings.Settings) error {
	v, held, empty, err := vault.Open(set.DataDir)
	damaged := err != nil
	for tries := 0; err != nil; tries++ {
		r.log.Error().Err(err).Msg("the vault can't be opened; it is begun anew, and the others are asked")
		if tries > 50 {
			return err
		}
		if err := vault.Discard(set.DataDir); err != nil {
			r.log.Error().Err(err).Msg("and can't be removed")
		}
		time.Sleep(vaultRest)
		v, held, empty, err = vault.Open(set.DataDir)
	}
	r.vault = v
	if empty {
		held = vault.Held{Self: newID()}
		seeds := set.Seeds()
		if set.FirstStart && !damaged && slices.Contains(seeds, r.self.Addr) {
			held.Self = founderID(r.self.Addr)
			var members []core.Member
			for _, a := range seeds {
				members = append(members, core.Member{ID: founderID(a), Addr: a})
			}
			held.Snapshot = core.Found(members)
		}
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
	if err := r.state.load(held.Snapshot.Data); err != nil {
		return err
	}
	size := max(3, 2*set.FaultTolerance.Machines+1)
	r.core = core.New(core.Config{Self: r.self, Hard: held.Hard, Snapshot: held.Snapshot, Log: held.Log, Size: size,
		Beat: beatEvery, Election: election, Dead: dead, Seed: uint64(held.Self) ^ uint64(time.Now().UnixNano())}, r.now())
	r.logged = held.Snapshot.Index + uint64(len(held.Log))
	r.log.Info().Uint64("id", uint64(held.Self)).Uint64("log", r.logged).Bool("empty", empty).Msg("vault open")
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
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	var over <-chan time.Time // of the time in which another leader takes over, and what was taken is answered
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
			r.core.Tick(r.now())
			r.tend()
		case <-ctx.Done():
			if over == nil {
				r.core.Yield(r.now())
				over = time.After(yieldFor)
				ctx = context.Background()
			}
		case <-over:
			r.stop()
			return nil
		}
		r.turn()
	}
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

// tend sees to what time does to the tables.
func (r *Register) tend() {
	now := r.now()
	r.keepNight(now)
	r.keepRules(now)
	if r.core.InTouch(now) && !r.core.Outside() && !r.held.Load() {
		r.touch.Store(int64(max(1, now)))
	} else {
		r.touch.Store(0)
	}
	if lead := r.core.Leader(); lead != r.led {
		r.led = lead
		r.log.Info().Uint64("leader", uint64(lead)).Str("addr", r.core.Addr(lead)).Uint64("term", r.core.Term()).Uint64("applied", r.core.Applied()).Msg("leader")
	}
	members, view := r.core.Members()
	if view != r.told {
		r.told = view
		clear(r.known) // those that were let go say so when they come back
		var addrs []string
		for _, m := range members {
			r.known[m.Addr] = true
			addrs = append(addrs, m.Addr)
		}
		r.log.Info().Uint64("view", view).Int("members", len(members)).Strs("addrs", addrs).Msg("members")
		r.tellLines(trunk.Encode(r.members()))
	}
	for _, a := range r.set.Load().Seeds() {
		r.known[a] = true
	}
	delete(r.known, r.self.Addr)
	for a := range r.known { // also where the core has nothing to say: lines' records go by it
		r.link(a).conn()
	}
	if r.core.Outside() {
		for a := range r.known { // it may know nobody but by address
			r.link(a).send(&wire.VoteT{Kind: byte(core.Join), From: uint64(r.self.ID), Addr: r.self.Addr, Version: core.Version})
		}
	}
	if now-r.expired > expireEvery && r.core.InTouch(now) {
		r.expired = now
		r.dir, _ = r.dir.Expire(now, lineSilence)
	}
}

// members are the trunks of the registers, for lines.
func (r *Register) members() *wire.MembersT {
	l, view := r.core.Members()
	return &wire.MembersT{List: vault.WireMembers(l), Index: view}
}

// tellLines sends a frame to every line.
func (r *Register) tellLines(frame []byte) {
	for c := range r.lines {
		c.SendFrame(frame)
	}
}

// takeRecords merges records that a line told, or another register.
func (r *Register) takeRecords(l []directory.Record, from *trunk.Conn, direct bool) {
	var news []directory.Record
	r.dir, news = r.dir.Merge(r.now(), l)
	if direct && from != nil { // one that started with a clock set back learns that a later life of it is known
		for _, x := range l {
			if held, is := r.dir.Get(x.Addr); is && held.Life > x.Life {
				from.Send(directory.Wire([]directory.Record{held}))
			}
		}
	}
	if len(news) == 0 {
		return
	}
	frame := trunk.Encode(directory.Wire(news))
	r.tellLines(frame)
	if direct {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, l := range r.links {
			l.sendFrame(frame)
		}
	}
}

// table is all items, worded.
func (r *Register) table() *wire.ItemsT {
	t := patch.Wire(r.state.items.Items())
	t.Whole, t.Index = true, r.core.Applied()
	b := r.state.rules.Board
	t.Print, t.BoundAt = b.Bound, b.BoundAt
	if b.Pending() { // else those that bind are among the items
		t.Bound = patch.Wire(r.state.bound.Items()).List
	}
	return t
}
