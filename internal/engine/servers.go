package engine

import "cranegrade/balancer"

// apply applies an update of the server list: first to the endpoints that senders use, then to the module.
func (e *Engine) apply(update ListUpdate) {
	e.listVersion, e.dropShare = update.Version, update.DropShare
	e.mergeServers(update, false)
}

// AdminStateChanged notifies the module of a server's new administrative state. Senders already observe that state, through
// Endpoint.Usable. It does not block.
func (e *Engine) AdminStateChanged(id string) {
	// A separate goroutine, because Do blocks while the queue is full and an operator's call must not block.
	go e.Do(func() {
		if ep := e.endpoints[id]; ep != nil {
			e.mergeServers(ListUpdate{Servers: []Listed{ep.listed}}, true)
		}
	})
}

// mergeServers merges an update into the endpoints and passes it to the module, with the servers' administrative states
// applied. fromOperator says that only such a state has changed and that the update did not come from the source.
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

// overlayAdminState overrides a server's entry in the list with the administrative state that operators have set.
func (e *Engine) overlayAdminState(server *Listed) {
	if e.cfg.AdminStates == nil {
		return
	}
	server.StartedAt = e.cfg.AdminStates.StartTime(server.ID, server.StartedAt)
	if server.State == balancer.Ready && e.cfg.AdminStates.IsOutOfService(server.ID) {
		server.State = balancer.Draining
	}
}

// endpointOf returns the endpoint of a listed server. It replaces an endpoint of an earlier process or another address,
// whose connections must not be reused.
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

// removeEndpoint removes an endpoint, if it exists: it gets no more attempts and its idle connections are closed.
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
