package node

import (
	"context"
	"errors"
	"net"
	"time"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/hotrestart"
	"cranegrade/internal/operator"
)

// exportTimeout bounds how long a successor waits for this process's engines.
const exportTimeout = 400 * time.Millisecond

// importState adopts the administrative state of an earlier process.
func (r *hotRestart) importState(s hotrestart.State) {
	r.n.adminState.merge(s.AdminState)
	r.n.adminState.importSeen(s.Seen)
}

// predecessorPool returns what the predecessor knew of a pool. It returns nil if it had no such pool, or if there is no
// predecessor.
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

// inheritServers has a pool begin with the servers that the predecessor's pool knew last.
func (r *hotRestart) inheritServers(planned *operator.Pool) {
	inherited := r.predecessorPool(planned.Name)
	if inherited == nil || len(inherited.Servers) == 0 {
		return
	}
	known := engine.ListUpdate{Full: true, Cached: true, Version: inherited.ListVersion}
	for _, s := range inherited.Servers {
		known.Servers = append(known.Servers, importServer(s))
	}
	planned.Known = known
}

// importServer returns a server that the predecessor knew as the engine knows it.
func importServer(s hotrestart.ListedServer) engine.Listed {
	return engine.Listed{
		Addr: s.Addr,
		Server: balancer.Server{
			ID:        s.ID,
			Zone:      s.Zone,
			Cell:      s.Cell,
			State:     s.State,
			Size:      s.Size,
			StartedAt: s.StartedAt,
			Weight:    s.Weight,
			Priority:  s.Priority,
		},
	}
}

// exportServer is the inverse of importServer.
func exportServer(l engine.Listed) hotrestart.ListedServer {
	return hotrestart.ListedServer{
		ID:        l.ID,
		Addr:      l.Addr,
		Zone:      l.Zone,
		Cell:      l.Cell,
		State:     l.State,
		Size:      l.Size,
		StartedAt: l.StartedAt,
		Weight:    l.Weight,
		Priority:  l.Priority,
	}
}

// exportState returns what a successor needs, and the listeners that it inherits.
func (r *hotRestart) exportState() (hotrestart.State, []*net.TCPListener) {
	s := r.adminStateNow()
	s.Pools = r.exportPools()
	return s, r.tcpListeners()
}

// exportPools returns what the pools know of their servers. A pool whose engine does not answer in time is left out: the
// successor's pool of that name starts from its list alone.
func (r *hotRestart) exportPools() (exported []hotrestart.Pool) {
	r.n.mu.Lock()
	pools := r.n.serving.Load().pools
	r.n.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), exportTimeout)
	defer cancel()
	for name, p := range pools {
		snapshot, ok := p.Engine().Export(ctx)
		if !ok {
			continue
		}
		e := hotrestart.Pool{Name: name, ListVersion: snapshot.Version, Knowledge: snapshot.Knowledge}
		for _, l := range snapshot.Servers {
			e.Servers = append(e.Servers, exportServer(l))
		}
		exported = append(exported, e)
	}
	return exported
}

// tcpListeners returns the listeners of the node whose sockets another process can inherit.
func (r *hotRestart) tcpListeners() (listeners []*net.TCPListener) {
	for _, l := range r.n.listeners {
		if tcp, ok := l.(*net.TCPListener); ok {
			listeners = append(listeners, tcp)
		}
	}
	return listeners
}

// adminStateNow returns a state that holds the administrative state alone.
func (r *hotRestart) adminStateNow() hotrestart.State {
	s := hotrestart.State{At: r.n.clock.Now()}
	s.AdminState, s.Seen = r.n.adminState.export()
	return s
}

// replicate saves the administrative state for the processes that come after this one, and returns once those that run
// have it, too.
func (r *hotRestart) replicate() error {
	return errors.Join(r.save(), r.broadcast(nil))
}

// save keeps the administrative state for the processes that come after this one.
func (r *hotRestart) save() error {
	return hotrestart.Save(r.dir, r.adminStateNow())
}

// broadcast sends the administrative state to all other processes except one, and waits for their confirmations.
func (r *hotRestart) broadcast(except *hotrestart.Link) error {
	s, _ := r.n.adminState.export()
	links := r.linksExcept(except)
	failed := make(chan error, len(links))
	for _, link := range links {
		go func() { failed <- link.SendAdminState(s) }()
	}
	var err error
	for range links {
		err = errors.Join(err, <-failed)
	}
	return err
}

// linksExcept returns the links to all other processes except one, which may be nil.
func (r *hotRestart) linksExcept(except *hotrestart.Link) (links []*hotrestart.Link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for link := range r.peers {
		if link != except {
			links = append(links, link)
		}
	}
	return links
}
