package topology

// fillLag sets the lag of each process. itemsByAddr has the items of each process.
func (t *Topology) fillLag(itemsByAddr map[string][]ItemVersion) {
	var latest uint64
	for _, m := range t.Members {
		latest = max(latest, m.AppliedIndex)
	}
	for i := range t.Members {
		if m := &t.Members[i]; m.Unreachable == "" && m.Fault == "" {
			m.LagEntries = latest - m.AppliedIndex
			m.StaleItems = staleItems(t.Items, itemsByAddr[m.Addr])
		}
	}
	for i := range t.Sidecars {
		if s := &t.Sidecars[i]; s.Unreachable == "" {
			s.StaleItems = staleItems(t.Items, itemsByAddr[s.Addr])
		}
	}
}

// staleItems returns the confirmed items that a process lacks, or of which it has an older version. own are the items of the process.
func staleItems(confirmed, own []ItemVersion) (stale []ItemVersion) {
	type key struct{ kind, name string }
	versions := map[key]int64{}
	for _, item := range own {
		versions[key{item.Kind, item.Name}] = item.Version
	}
	for _, item := range confirmed {
		if version, found := versions[key{item.Kind, item.Name}]; !found || version < item.Version {
			stale = append(stale, item)
		}
	}
	return stale
}
