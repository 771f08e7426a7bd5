package node

import (
	"context"
	"errors"
	"log"
	"net"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"cranegrade/internal/adminstate"
	"cranegrade/internal/engine"
	"cranegrade/internal/hotrestart"
	"cranegrade/internal/operator"
)

// hotRestart is a node's side of its other processes: the one that it takes over from, and those that take over from it.
type hotRestart struct {
	n           *Node
	dir         string
	predecessor *hotrestart.Predecessor // nil: nobody, or it is over

	server *hotrestart.Server // nil: no successor can come

	mu         sync.Mutex // guards all below; not held over I/O
	peers      map[*hotrestart.Link]bool
	successors map[*hotrestart.Link]bool // successors that take clients
}

// newHotRestart joins the process that it finds in the plan's directory; nil where the plan has none.
func newHotRestart(n *Node, dir string) *hotRestart {
	if dir == "" {
		return nil
	}
	r := &hotRestart{n: n, dir: dir, peers: map[*hotrestart.Link]bool{}, successors: map[*hotrestart.Link]bool{}}
	if s, err := hotrestart.Load(dir); err != nil {
		log.Printf("handover: orders of before: %v; starting without them", err)
	} else {
		r.importState(s)
	}
	j, err := hotrestart.Connect(dir)
	switch {
	case err == nil:
		r.predecessor = j
		r.importState(j.State)
		log.Printf("handover: taking over from another process, with %d sockets of its", len(j.State.Listeners))
	case !errors.Is(err, hotrestart.ErrNoPredecessor):
		log.Printf("handover: %v; starting without what the other process knows", err)
	}
	return r
}

func (r *hotRestart) importState(s hotrestart.State) {
	r.n.adminState.merge(s.Orders)
	r.n.adminState.mu.Lock()
	defer r.n.adminState.mu.Unlock()
	r.n.adminState.seen.Import(s.Seen)
}

// predecessorPool is what the predecessor knew of a pool; nil: nothing.
func (r *hotRestart) predecessorPool(name string) *hotrestart.Pool {
	if r == nil || r.predecessor == nil {
		return nil
	}
	for i, p := range r.predecessor.State.Pools {
		if p.Name == name {
			return &r.predecessor.State.Pools[i]
		}
	}
	return nil
}

// inheritServers has a pool go on with what the predecessor's knew.
func (r *hotRestart) inheritServers(pp *operator.Pool) {
	p := r.predecessorPool(pp.Name)
	if p == nil || len(p.Servers) == 0 {
		return
	}
	known := engine.ListUpdate{Full: true, Cached: true, Version: p.List}
	for _, s := range p.Servers {
		var l engine.Listed
		l.ID, l.Addr, l.Zone, l.Cell, l.State, l.Size, l.StartedAt, l.Weight, l.Priority =
			s.ID, s.Addr, s.Zone, s.Cell, s.State, s.Size, s.Boot, s.Weight, s.Priority
		known.Servers = append(known.Servers, l)
	}
	pp.Known = known
}

// listen gives the predecessor's listener at an address, whose queue both accept from, or a new one. Where there may be
// a successor, the address can be shared with one that could not get this one's.
func (r *hotRestart) listen(addr string) (net.Listener, error) {
	if r == nil {
		return net.Listen("tcp", addr)
	}
	if l := r.predecessor.Listener(addr); l != nil {
		return l, nil
	}
	c := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
		})
		return errors.Join(err, failed)
	}}
	return c.Listen(context.Background(), "tcp", addr)
}

// exportTimeout bounds the wait for an engine when a successor asks.
const exportTimeout = 400 * time.Millisecond

// exportState is what a successor is told.
func (r *hotRestart) exportState() (hotrestart.State, []*net.TCPListener) {
	s := hotrestart.State{At: r.n.clock.Now()}
	s.Orders, s.Seen = r.n.adminState.export()
	r.n.mu.Lock()
	pools := r.n.serving.Load().pools
	r.n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	for name, p := range pools {
		x, ok := p.Engine().Export(ctx)
		if !ok {
			continue
		}
		hp := hotrestart.Pool{Name: name, List: x.Version, Knowledge: x.Knowledge}
		for _, v := range x.Servers {
			hp.Servers = append(hp.Servers, hotrestart.ListedServer{
				ID: v.ID, Addr: v.Addr, Zone: v.Zone, Cell: v.Cell, State: v.State,
				Size: v.Size, Boot: v.StartedAt, Weight: v.Weight, Priority: v.Priority,
			})
		}
		s.Pools = append(s.Pools, hp)
	}
	var listeners []*net.TCPListener
	for _, l := range r.n.listeners {
		if t, is := l.(*net.TCPListener); is {
			listeners = append(listeners, t)
		}
	}
	return s, listeners
}

// start tells the predecessor that clients are taken, and waits for successors.
func (r *hotRestart) start() {
	if r == nil {
		return
	}
	r.predecessor.CloseUnclaimed()
	if r.predecessor != nil {
		r.n.resize()
		l := r.predecessor.Link
		r.addPeer(l, hotrestart.Handlers{Gone: func() {
			r.removePeer(l)
			log.Print("handover: the process before has ended")
		}})
		if err := l.SendServing(); err != nil {
			log.Printf("handover: %v", err)
		}
	}
	var err error
	if r.server, err = hotrestart.Listen(r.dir, r.exportState, r.addSuccessor); err != nil {
		log.Printf("handover: no successor can come: %v", err)
	}
}

// addSuccessor takes a successor.
func (r *hotRestart) addSuccessor(l *hotrestart.Link) {
	log.Print("handover: another process is starting in place of this one")
	r.addPeer(l, hotrestart.Handlers{
		Serving: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.successors[l] = true
		},
		Gone: func() { r.removePeer(l) },
	})
	r.n.resize()
}

// addPeer starts a link, both sides of which tell each other what they hold.
func (r *hotRestart) addPeer(l *hotrestart.Link, e hotrestart.Handlers) {
	e.Orders = func(s adminstate.State) {
		if r.n.adminState.merge(s) {
			r.save()
			go r.broadcast(l) // a third process, if there is one
		}
	}
	r.mu.Lock()
	r.peers[l] = true
	r.mu.Unlock()
	l.Start(e)
	s, _ := r.n.adminState.export()
	go l.SendAdminState(s)
}

func (r *hotRestart) removePeer(l *hotrestart.Link) {
	r.mu.Lock()
	delete(r.peers, l)
	delete(r.successors, l)
	r.mu.Unlock()
	r.n.resize()
}

// peerCount is how many other processes of the node run.
func (r *hotRestart) peerCount() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers)
}

// hasSuccessor says that another process takes clients in place of this one.
func (r *hotRestart) hasSuccessor() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.successors) > 0
}

// replicate keeps orders for whoever comes after, and has the other processes hold them before it returns.
func (r *hotRestart) replicate() error {
	return errors.Join(r.save(), r.broadcast(nil))
}

func (r *hotRestart) save() error {
	s := hotrestart.State{At: r.n.clock.Now()}
	s.Orders, s.Seen = r.n.adminState.export()
	return hotrestart.Save(r.dir, s)
}

// broadcast has all other processes but one hold the same orders.
func (r *hotRestart) broadcast(but *hotrestart.Link) error {
	s, _ := r.n.adminState.export()
	r.mu.Lock()
	var to []*hotrestart.Link
	for l := range r.peers {
		if l != but {
			to = append(to, l)
		}
	}
	r.mu.Unlock()
	failed := make(chan error, len(to))
	for _, l := range to {
		go func() { failed <- l.SendAdminState(s) }()
	}
	var err error
	for range to {
		err = errors.Join(err, <-failed)
	}
	return err
}

func (r *hotRestart) close() {
	if r == nil {
		return
	}
	if r.server != nil {
		r.server.Close()
	}
	r.predecessor.CloseUnclaimed()
	if r.predecessor != nil {
		r.predecessor.Link.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.peers {
		l.Close()
	}
}

// MemoryLimit is where the runtime collects harder, well before the limit at which the node is killed, for one of so many
// processes; 0: nothing is told.
func MemoryLimit(memoryMB float64, processes int) int64 {
	return int64(memoryMB * 0.7 / float64(processes) * (1 << 20))
}

// resize gives this process its part of the node's limits: all of it, or an equal part while others run.
func (n *Node) resize() {
	processes := 1 + n.hotRestart.peerCount()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serving.Load() == nil {
		return
	}
	if n.plan.MemoryMB > 0 {
		debug.SetMemoryLimit(MemoryLimit(n.plan.MemoryMB, processes))
	}
	n.processes = int64(processes)
	if err := n.divide(n.plan, n.serving.Load().pools); err != nil {
		log.Printf("handover: dividing the limits: %v", err)
	}
}
