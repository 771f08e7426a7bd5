package node

// stopPools ends all pools once nothing is owed any more.
func (n *Node) stopPools() {
	n.mu.Lock()
	close(n.stopped)
	pools := n.serving.Load().pools
	n.mu.Unlock()
	n.retired.Wait()
	for _, p := range pools {
		p.Stop()
	}
	n.closeAll()
}

// closeAll closes all but the pools.
func (n *Node) closeAll() {
	for _, f := range n.fronts {
		f.Close()
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
