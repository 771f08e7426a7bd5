package node

import (
	"context"
	"errors"
	"log"
	"net"
	"sync"
	"syscall"

	"golang.org/x/sys/unix"

	"cranegrade/internal/adminstate"
	"cranegrade/internal/hotrestart"
)

// hotRestart connects a node to its other processes: the predecessor that it takes over from, and successors that take
// over from it. Each process has one. A nil *hotRestart is that of a node that no process can take over from; its methods
// do nothing.
type hotRestart struct {
	n           *Node
	dir         string                  // where processes of the node find each other
	predecessor *hotrestart.Predecessor // nil if none was found
	server      *hotrestart.Server      // waits for successors; nil before start, or if it could not listen

	mu         sync.Mutex                // guards the fields below; not held over I/O
	peers      map[*hotrestart.Link]bool // the other processes that run
	successors map[*hotrestart.Link]bool // those of them that accept callers
}

// newHotRestart loads the state of an earlier process from dir and connects to the predecessor if one runs. It returns nil
// if dir is empty. Faults are logged and the node starts without what it could not get, since a start must not depend on a
// process that is about to be replaced.
func newHotRestart(n *Node, dir string) *hotRestart {
	if dir == "" {
		return nil
	}
	r := &hotRestart{n: n, dir: dir, peers: map[*hotrestart.Link]bool{}, successors: map[*hotrestart.Link]bool{}}
	if s, err := hotrestart.Load(dir); err != nil {
		log.Printf("hot restart: administrative state not loaded, starting without it: error=%q", err)
	} else {
		r.importState(s)
	}
	p, err := hotrestart.Connect(dir)
	switch {
	case err == nil:
		r.predecessor = p
		r.importState(p.State)
		log.Printf("hot restart: taking over from the predecessor: listeners=%d", len(p.State.Listeners))
	case !errors.Is(err, hotrestart.ErrNoPredecessor):
		log.Printf("hot restart: predecessor not usable, starting without its state: error=%q", err)
	}
	return r
}

// listen returns the predecessor's listener at an address, so that both processes accept from one queue, or a new one. A
// new listener of a node with a state directory shares its address (SO_REUSEPORT), for a successor that cannot inherit the
// listener.
func (r *hotRestart) listen(addr string) (net.Listener, error) {
	if r == nil {
		return net.Listen("tcp", addr)
	}
	if l := r.predecessor.Listener(addr); l != nil {
		return l, nil
	}
	config := net.ListenConfig{Control: setReusePort}
	return config.Listen(context.Background(), "tcp", addr)
}

// setReusePort is the Control of a net.ListenConfig.
func setReusePort(_, _ string, conn syscall.RawConn) error {
	var failed error
	err := conn.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1)
	})
	return errors.Join(err, failed)
}

// start tells the predecessor that this process accepts callers, and waits for successors from now on.
func (r *hotRestart) start() {
	if r == nil {
		return
	}
	r.predecessor.CloseUnclaimed()
	if r.predecessor != nil {
		r.joinPredecessor(r.predecessor.Link)
	}
	var err error
	if r.server, err = hotrestart.Listen(r.dir, r.exportState, r.addSuccessor); err != nil {
		log.Printf("hot restart: no successor can take over: error=%q", err)
	}
}

// joinPredecessor shares the node's limits with the predecessor, which begins to drain once it is told that this process
// serves.
func (r *hotRestart) joinPredecessor(link *hotrestart.Link) {
	r.n.resize()
	r.addPeer(link, hotrestart.Handlers{Gone: func() {
		r.removePeer(link)
		log.Print("hot restart: predecessor ended")
	}})
	if err := link.SendServing(); err != nil {
		log.Printf("hot restart: predecessor not notified: error=%q", err)
	}
}

// addSuccessor is called for each process that starts to take over from this one.
func (r *hotRestart) addSuccessor(link *hotrestart.Link) {
	log.Print("hot restart: successor starting")
	r.addPeer(link, hotrestart.Handlers{
		Serving: func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			r.successors[link] = true
		},
		Gone: func() { r.removePeer(link) },
	})
	r.n.resize()
}

// addPeer starts a link, over which both processes exchange their administrative state.
func (r *hotRestart) addPeer(link *hotrestart.Link, handlers hotrestart.Handlers) {
	handlers.AdminState = func(s adminstate.State) {
		if !r.n.adminState.merge(s) {
			return
		}
		// The process that took the operator's command has reported to the operator whether it could be saved and confirmed.
		_ = r.save()
		go func() { _ = r.broadcast(link) }() // to a third process, if one runs; ends with the time-out of a confirmation
	}
	r.mu.Lock()
	r.peers[link] = true
	r.mu.Unlock()
	link.Start(handlers)
	s, _ := r.n.adminState.export()
	go func() { _ = link.SendAdminState(s) }() // ends with the time-out of the confirmation; the next change carries it again
}

// removePeer is called when another process has ended: this one gets a larger part of the limits.
func (r *hotRestart) removePeer(link *hotrestart.Link) {
	r.mu.Lock()
	delete(r.peers, link)
	delete(r.successors, link)
	r.mu.Unlock()
	r.n.resize()
}

// peerCount returns how many other processes of the node run.
func (r *hotRestart) peerCount() int {
	if r == nil {
		return 0
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.peers)
}

// hasSuccessor reports whether another process accepts callers in place of this one.
func (r *hotRestart) hasSuccessor() bool {
	if r == nil {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.successors) > 0
}

// close stops waiting for successors and closes all links. The sockets of the predecessor that nobody has claimed are
// closed, too.
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
	for link := range r.peers {
		link.Close()
	}
}
