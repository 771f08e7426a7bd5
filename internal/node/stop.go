package node

// stop ends all pools, once no request needs them any more, and then closes everything that they used.
func (n *Node) stop() {
	n.mu.Lock()
	close(n.stopped) // from here on no reload adds a pool
	pools := n.serving.Load().pools
	n.mu.Unlock()
	n.retired.Wait()
	for _, p := range pools {
		p.Stop()
	}
	n.closeAll()
}

// closeAll closes all parts but the pools. It also cleans up after a provision that failed halfway, so any part may be
// missing.
func (n *Node) closeAll() {
	for _, f := range n.fronts {
		_ = f.Close() // the listener may be closed already, by Shutdown
	}
	if n.inspection != nil {
		n.inspection.close()
	}
	if n.commandServer != nil {
		n.commandServer.Close()
	}
	n.hotRestart.close()
	if n.fleet != nil {
		n.fleet.Close()
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.xds != nil {
		n.xds.Close()
	}
	n.zones.close()
}
