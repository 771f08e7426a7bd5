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

// relay is a node's side of its other processes: the one that it takes over from, and those that take over from it.
type relay struct {
	n    *Node
	dir  string
	from *hotrestart.Joined // nil: nobody, or it is over

	server *hotrestart.Server // nil: no successor can come

	mu      sync.Mutex // guards all below; not held over I/O
	links   map[*hotrestart.Link]bool
	serving map[*hotrestart.Link]bool // successors that take clients
}

// newRelay joins the process that it finds in the plan's directory; nil where the plan has none.
func newRelay(n *Node, dir string) *relay {
	if dir == "" {
		return nil
	}
	r := &relay{n: n, dir: dir, links: map[*hotrestart.Link]bool{}, serving: map[*hotrestart.Link]bool{}}
	if s, err := hotrestart.Load(dir); err != nil {
		log.Printf("handover: orders of before: %v; starting without them", err)
	} else {
		r.learn(s)
	}
	j, err := hotrestart.Join(dir)
	switch {
	case err == nil:
		r.from = j
		r.learn(j.State)
		log.Printf("handover: taking over from another process, with %d sockets of its", len(j.State.Listeners))
	case !errors.Is(err, hotrestart.ErrAlone):
		log.Printf("handover: %v; starting without what the other process knows", err)
	}
	return r
}

func (r *relay) learn(s hotrestart.State) {
	r.n.desk.merge(s.Orders)
	r.n.desk.mu.Lock()
	defer r.n.desk.mu.Unlock()
	r.n.desk.seen.Import(s.Seen)
}

// pool is what the predecessor knew of a pool; nil: nothing.
func (r *relay) pool(name string) *hotrestart.Pool {
	if r == nil || r.from == nil {
		return nil
	}
	for i, p := range r.from.State.Pools {
		if p.Name == name {
			return &r.from.State.Pools[i]
		}
	}
	return nil
}

// takeOver has a pool go on with what the predecessor's knew.
func (r *relay) takeOver(pp *operator.Pool) {
	p := r.pool(pp.Name)
	if p == nil || len(p.Servers) == 0 {
		return
	}
	known := engine.News{Full: true, Cached: true, Version: p.List}
	for _, s := range p.Servers {
		var l engine.Listed
		l.ID, l.Addr, l.Zone, l.Cell, l.State, l.Size, l.Boot, l.Weight, l.Priority =
			s.ID, s.Addr, s.Zone, s.Cell, s.State, s.Size, s.Boot, s.Weight, s.Rank
		known.Servers = append(known.Servers, l)
	}
	pp.Known = known
}

// listen gives the predecessor's listener at an address, whose queue both accept from, or a new one. Where there may be
// a successor, the address can be shared with one that could not get this one's.
func (r *relay) listen(addr string) (net.Listener, error) {
	if r == nil {
		return net.Listen("tcp", addr)
	}
	if l := r.from.Listener(addr); l != nil {
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

// exportWithin bounds the wait for an engine when a successor asks.
const exportWithin = 400 * time.Millisecond

// state is what a successor is told.
func (r *relay) state() (hotrestart.State, []*net.TCPListener) {
	s := hotrestart.State{At: r.n.clock.Now()}
	s.Orders, s.Seen = r.n.desk.export()
	r.n.mu.Lock()
	pools := r.n.serving.Load().pools
	r.n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), exportWithin)
	defer cancel()
	for name, p := range pools {
		x, ok := p.Engine().Export(ctx)
		if !ok {
			continue
		}
		hp := hotrestart.Pool{Name: name, List: x.Version, Knowledge: x.Knowledge}
		for _, v := range x.Servers {
			hp.Servers = append(hp.Servers, hotrestart.Listed{ID: v.ID, Addr: v.Addr, Zone: v.Zone, Cell: v.Cell, State: v.State,
				Size: v.Size, Boot: v.Boot, Weight: v.Weight, Rank: v.Priority})
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
func (r *relay) start() {
	if r == nil {
		return
	}
	r.from.Done()
	if r.from != nil {
		r.n.resize()
		l := r.from.Link
		r.add(l, hotrestart.Events{Gone: func() {
			r.gone(l)
			log.Print("handover: the process before has ended")
		}})
		if err := l.TellServing(); err != nil {
			log.Printf("handover: %v", err)
		}
	}
	var err error
	if r.server, err = hotrestart.Listen(r.dir, r.state, r.joined); err != nil {
		log.Printf("handover: no successor can come: %v", err)
	}
}

// joined takes a successor.
func (r *relay) joined(l *hotrestart.Link) {
	log.Print("handover: another process is starting in place of this one")
	r.add(l, hotrestart.Events{
		Serving: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.serving[l] = true
		},
		Gone: func() { r.gone(l) },
	})
	r.n.resize()
}

// add starts a link, both sides of which tell each other what they hold.
func (r *relay) add(l *hotrestart.Link, e hotrestart.Events) {
	e.Orders = func(s adminstate.State) {
		if r.n.desk.merge(s) {
			r.save()
			go r.tell(l) // a third process, if there is one
		}
	}
	r.mu.Lock()
	r.links[l] = true
	r.mu.Unlock()
	l.Start(e)
	s, _ := r.n.desk.export()
	go l.TellOrders(s)
}

func (r *relay) gone(l *hotrestart.Link) {
	r.mu.Lock()
	delete(r.links, l)
	delete(r.serving, l)
	r.mu.Unlock()
	r.n.resize()
}

// others is how many other processes of the node run.
func (r *relay) others() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// succeededBy says that another process takes clients in place of this one.
func (r *relay) succeededBy() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.serving) > 0
}

// share keeps orders for whoever comes after, and has the other processes hold them before it returns.
func (r *relay) share() error {
	return errors.Join(r.save(), r.tell(nil))
}

func (r *relay) save() error {
	s := hotrestart.State{At: r.n.clock.Now()}
	s.Orders, s.Seen = r.n.desk.export()
	return hotrestart.Save(r.dir, s)
}

// tell has all other processes but one hold the same orders.
func (r *relay) tell(but *hotrestart.Link) error {
	s, _ := r.n.desk.export()
	r.mu.Lock()
	var to []*hotrestart.Link
	for l := range r.links {
		if l != but {
			to = append(to, l)
		}
	}
	r.mu.Unlock()
	failed := make(chan error, len(to))
	for _, l := range to {
		go func() { failed <- l.TellOrders(s) }()
	}
	var err error
	for range to {
		err = errors.Join(err, <-failed)
	}
	return err
}

func (r *relay) close() {
	if r == nil {
		return
	}
	if r.server != nil {
		r.server.Close()
	}
	r.from.Done()
	if r.from != nil {
		r.from.Link.Close()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
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
	processes := 1 + n.relay.others()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.serving.Load() == nil {
		return
	}
	if n.plan.MemoryMB > 0 {
		debug.SetMemoryLimit(MemoryLimit(n.plan.MemoryMB, processes))
	}
	n.parts = int64(processes)
	if err := n.divide(n.plan, n.serving.Load().pools); err != nil {
		log.Printf("handover: dividing the limits: %v", err)
	}
}
