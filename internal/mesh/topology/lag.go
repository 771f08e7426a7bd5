package topology

// fillLag sets the lag of each process. held has the items of each process, by its address.
func (t *Topology) fillLag(held map[string][]ItemVersion) {
	var latest uint64
	for _, m := range t.Members {
		latest = max(latest, m.AppliedIndex)
	}
	for i := range t.Members {
		if m := &t.Members[i]; m.Unreachable == "" && m.Fault == "" {
			m.LagEntries = latest - m.AppliedIndex
			m.StaleItems = staleItems(t.Items, held[m.Addr])
		}
	}
	for i := range t.Sidecars {
		if s := &t.Sidecars[i]; s.Unreachable == "" {
			s.StaleItems = staleItems(t.Items, held[s.Addr])
		}
	}
}

// staleItems returns the confirmed items of which a process holds an older version, or none.
func staleItems(confirmed, held []ItemVersion) (stale []ItemVersion) {
	type key struct{ kind, name string }
	versions := map[key]int64{}
	for _, item := range held {
		versions[key{item.Kind, item.Name}] = item.Version
	}
	for _, item := range confirmed {
		if version, found := versions[key{item.Kind, item.Name}]; !found || version < item.Version {
			stale = append(stale, item)
		}
	}
	return stale
}
