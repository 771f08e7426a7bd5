package engine

import (
	"context"
	"errors"
	"time"

	"cranegrade/balancer"
)

// Listed is a server of a list, with the address that senders reach it at.
type Listed struct {
	balancer.Server
	Addr string // host:port; may be empty for one that is Gone
}

// News is what a source tells: the whole list, or the entries that changed.
type News struct {
	Full    bool
	Cached  bool   // held from before a start, possibly out of date
	Version string // what Follow goes on from; "": from the beginning
	Servers []Listed
	Drop    float64 // share of calls to refuse before anything is done for them, by the source's word
}

// Observer is a source that wants to hear what becomes of attempts at its servers. It is called on the
// engine's goroutine and must not wait.
type Observer interface {
	Began(server string)
	Ended(server string, ending balancer.Ending)
	Dropped()
}

// ErrMalformedUpdate is the reason for a watch's end where the source answered and what it said can't be read, or
// broke off in the midst.
var ErrMalformedUpdate = errors.New("malformed news")

// Source tells of the servers.
type Source interface {
	// Follow calls news with each piece of news since that version, in order, until ctx ends or the
	// source fails; since "" the first is the whole list. News of no servers that is not full says that
	// nothing has changed until now. It returns why it ended, never nil.
	Follow(ctx context.Context, since string, news func(News)) error
	// String names the source for the log.
	String() string
}

// Apply applies news that came from elsewhere than the source.
func (e *Engine) Apply(n News) { e.Do(func() { e.apply(n) }) }

// apply takes news of the servers: first to what the I/O may use, then to the module.
func (e *Engine) apply(n News) {
	e.listVersion, e.dropShare = n.Version, n.Drop
	e.mergeServers(n, false)
}

// AdminStateChanged has what operators ordered of a server take effect in the module, too. It returns at once.
func (e *Engine) AdminStateChanged(id string) {
	// Not from the caller's goroutine: operators are answered in time, however long the queue of events is.
	go e.Do(func() {
		if ep := e.endpoints[id]; ep != nil {
			e.mergeServers(News{Servers: []Listed{ep.listed}}, true)
		}
	})
}

// Learner is a module that can go on with what another has learned.
type Learner interface {
	Knowledge() *balancer.Knowledge
	Learn(*balancer.Knowledge)
}

// Export gives the list as the source told it and what the module has learned, nil if it is no Learner; false if ctx
// ends before the engine comes to it.
func (e *Engine) Export(ctx context.Context) (x Snapshot, ok bool) {
	got := make(chan Snapshot, 1)
	go e.Do(func() {
		x := Snapshot{Version: e.listVersion}
		for _, ep := range e.endpoints {
			x.Servers = append(x.Servers, ep.listed)
		}
		if l, is := e.cfg.Module.(Learner); is {
			x.Knowledge = l.Knowledge()
		}
		got <- x
	})
	select {
	case x := <-got:
		return x, true
	case <-ctx.Done():
	case <-e.done:
	}
	return Snapshot{}, false
}

// Snapshot is what another engine needs to go on as this one would.
type Snapshot struct {
	Version   string // of the list
	Servers   []Listed
	Knowledge *balancer.Knowledge // nil: none
}

// mergeServers takes over entries with the operators' orders laid over them; ordered: nothing new came from the source.
func (e *Engine) mergeServers(update News, ordered bool) {
	listed := make(map[string]bool, len(update.Servers))
	list := balancer.ServerList{Full: update.Full, Cached: update.Cached, Ordered: ordered,
		Servers: make([]balancer.Server, 0, len(update.Servers))}
	for _, server := range update.Servers {
		reported := server
		if e.cfg.AdminStates != nil {
			server.Boot = e.cfg.AdminStates.Boot(server.ID, server.Boot)
			if server.State == balancer.Ready && e.cfg.AdminStates.Out(server.ID) {
				server.State = balancer.Draining
			}
		}
		list.Servers = append(list.Servers, server.Server)
		listed[server.ID] = server.State != balancer.Gone
		endpoint := e.endpoints[server.ID]
		if endpoint == nil || endpoint.Addr != server.Addr || endpoint.boot != server.Boot {
			// Connections to an earlier process or address are of no use.
			e.removeEndpoint(server.ID)
			endpoint = &Endpoint{ID: server.ID, Addr: server.Addr, boot: server.Boot, adminStates: e.cfg.AdminStates}
			e.endpoints[server.ID] = endpoint
			e.idByAddr[server.Addr] = server.ID
			if e.cfg.AdminStates != nil {
				e.cfg.AdminStates.Entered(server.ID)
			}
		}
		endpoint.listed = reported
		endpoint.usable.Store(server.State == balancer.Ready)
		if server.State != balancer.Ready {
			e.cfg.Sender.Drop(endpoint)
		}
		if server.State == balancer.Gone {
			e.removeEndpoint(server.ID)
		}
	}
	if update.Full {
		for id := range e.endpoints {
			if !listed[id] {
				e.removeEndpoint(id)
			}
		}
	}
	e.handle(list)
}

func (e *Engine) removeEndpoint(id string) {
	if endpoint := e.endpoints[id]; endpoint != nil {
		endpoint.usable.Store(false)
		e.cfg.Sender.Drop(endpoint)
		delete(e.endpoints, id)
		if e.cfg.AdminStates != nil {
			e.cfg.AdminStates.Left(id)
		}
		if e.idByAddr[endpoint.Addr] == id { // else a newer one has the address
			delete(e.idByAddr, endpoint.Addr)
		}
	}
}

const (
	// pushedListRetryDelay is how long a broken watch rests where the list comes unasked; elsewhere the module says.
	pushedListRetryDelay = time.Second
	// newSourceRetryDelay is the rest between tries to reach a new source for the first time. What it has to
	// tell counts as told 4 s after the reload, which leaves no time for the module's growing waits.
	newSourceRetryDelay = 500 * time.Millisecond
	// watchRetryDelay follows every failure, whatever the module's wait: it has none if AskWithin is unset.
	watchRetryDelay = 50 * time.Millisecond
)

// SetSource goes over to another source. Its versions do not compare with those of the one before, so
// it is asked for the whole list first; until that comes the list stays as it is.
func (e *Engine) SetSource(s Source) {
	e.Do(func() {
		e.logf("the list comes from %s from now on", s)
		e.observe(s)
		e.source, e.listVersion = s, ""
		e.subscribe()
	})
}

func (e *Engine) observe(s Source) {
	e.observer = nil
	if o, is := s.(Observer); is {
		e.observer = o
	}
}

// subscribe follows the source in place of what was followed before.
func (e *Engine) subscribe() {
	e.stopWatch()
	if e.source == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stopWatch = cancel
	source, since := e.source, e.listVersion
	go func() {
		err := source.Follow(ctx, since, func(n News) {
			e.Do(func() {
				if ctx.Err() == nil { // else a newer watch tells the same
					e.apply(n)
				}
			})
		})
		e.Do(func() {
			if ctx.Err() != nil {
				return
			}
			e.logf("watch: %v", err)
			failed := balancer.ListFailed{Garbled: errors.Is(err, ErrMalformedUpdate)}
			rest, then := watchRetryDelay, func() { e.handle(failed) }
			switch {
			case e.listVersion == "":
				rest, then = newSourceRetryDelay, e.subscribe
			case e.cfg.Pushed:
				rest, then = pushedListRetryDelay, e.subscribe
				e.handle(failed)
			}
			e.after(rest, func() {
				if ctx.Err() == nil { // else another was opened meanwhile
					then()
				}
			})
		})
	}()
}
