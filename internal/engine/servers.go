package engine

import "cranegrade/balancer"

// apply takes over an update of the list: first for the senders, then for the module.
func (e *Engine) apply(update ListUpdate) {
	e.listVersion, e.dropShare = update.Version, update.DropShare
	e.mergeServers(update, false)
}

// AdminStateChanged notifies the module of a server's new administrative state, which already applies to senders. It does not
// block.
func (e *Engine) AdminStateChanged(id string) {
	// On a goroutine of its own: Do blocks while the queue of events is full, and an operator's call must not.
	go e.Do(func() {
		if ep := e.endpoints[id]; ep != nil {
			e.mergeServers(ListUpdate{Servers: []Listed{ep.listed}}, true)
		}
	})
}

// mergeServers takes over entries of the list, overlaid with their administrative states. With fromOperator only such a
// state has changed, and nothing came from the source.
func (e *Engine) mergeServers(update ListUpdate, fromOperator bool) {
	listed := make(map[string]bool, len(update.Servers))
	list := balancer.ServerList{
		Full:     update.Full,
		Cached:   update.Cached,
		Operator: fromOperator,
		Servers:  make([]balancer.Server, 0, len(update.Servers)),
	}
	for _, server := range update.Servers {
		reported := server
		e.overlayAdminState(&server)
		list.Servers = append(list.Servers, server.Server)
		listed[server.ID] = server.State != balancer.Gone
		endpoint := e.endpointOf(server)
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

// overlayAdminState applies what operators have set for a server to its entry of the list.
func (e *Engine) overlayAdminState(server *Listed) {
	if e.cfg.AdminStates == nil {
		return
	}
	server.StartedAt = e.cfg.AdminStates.StartTime(server.ID, server.StartedAt)
	if server.State == balancer.Ready && e.cfg.AdminStates.IsOutOfService(server.ID) {
		server.State = balancer.Draining
	}
}

// endpointOf returns the endpoint of a listed server. One of an earlier process or address is replaced, since its
// connections are of no use.
func (e *Engine) endpointOf(server Listed) *Endpoint {
	endpoint := e.endpoints[server.ID]
	if endpoint != nil && endpoint.Addr == server.Addr && endpoint.startedAt == server.StartedAt {
		return endpoint
	}
	e.removeEndpoint(server.ID)
	endpoint = &Endpoint{
		ID:          server.ID,
		Addr:        server.Addr,
		startedAt:   server.StartedAt,
		adminStates: e.cfg.AdminStates,
	}
	e.endpoints[server.ID] = endpoint
	e.idByAddr[server.Addr] = server.ID
	if e.cfg.AdminStates != nil {
		e.cfg.AdminStates.ServerListed(server.ID)
	}
	return endpoint
}

// removeEndpoint ends an endpoint: it takes no more attempts and its idle connections are closed.
func (e *Engine) removeEndpoint(id string) {
	if endpoint := e.endpoints[id]; endpoint != nil {
		endpoint.usable.Store(false)
		e.cfg.Sender.Drop(endpoint)
		delete(e.endpoints, id)
		if e.cfg.AdminStates != nil {
			e.cfg.AdminStates.ServerRemoved(id)
		}
		if e.idByAddr[endpoint.Addr] == id { // otherwise a newer server has the address
			delete(e.idByAddr, endpoint.Addr)
		}
	}
}
