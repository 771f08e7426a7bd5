package resource

import (
	"fmt"
	"slices"
	"time"

	"cranegrade/internal/xds/ads"
)

// Clusters joins clusters with their assignments: it says which assignments are wanted, and gives the
// present assignment of each cluster that someone follows. It is pure.
type Clusters struct {
	cfg      ClustersConfig
	followed map[string]*followed
	clusters map[string]*Cluster
	services map[string]*Assignment
	missing  map[string]bool // services that do not exist
	emptyAt  time.Duration   // when every cluster went at once; 0: they did not
}

// ClustersConfig says what a removal means.
type ClustersConfig struct {
	// Keep has a cluster's servers stay as they were when the control plane removes the cluster, or says
	// that its assignment does not exist; else they are gone.
	Keep bool
	// Grace is how long all clusters together stay when one response removes every one of them, which a
	// control plane that came back empty does. 0: no time.
	Grace time.Duration
}

// followed is a cluster that someone follows.
type followed struct {
	told  bool
	last  *Assignment
	state string
}

// Update is a cluster's present assignment.
type Update struct {
	Cluster    string
	Assignment *Assignment // nil: there are no servers
	State      string      // in words: why it is as it is
}

// NewClusters returns a set that follows nothing.
func NewClusters(cfg ClustersConfig) *Clusters {
	return &Clusters{
		cfg: cfg, followed: map[string]*followed{}, clusters: map[string]*Cluster{},
		services: map[string]*Assignment{}, missing: map[string]bool{},
	}
}

// Follow and Unfollow set which clusters are of interest.
func (c *Clusters) Follow(name string) []Update {
	if c.followed[name] == nil {
		c.followed[name] = &followed{}
	}
	c.followed[name].told = false
	return c.updates()
}

// Unfollow is the end of Follow.
func (c *Clusters) Unfollow(name string) { delete(c.followed, name) }

// Wanted are the names of the clusters to ask for, and of the assignments that these lead to. What is
// known of other assignments is forgotten: nobody tells of them any more.
func (c *Clusters) Wanted() (clusters, services []string) {
	seen := map[string]bool{}
	for name := range c.followed {
		clusters = append(clusters, name)
		if k := c.clusters[name]; k != nil && k.Service != "" && !seen[k.Service] {
			seen[k.Service] = true
			services = append(services, k.Service)
		}
	}
	for name := range c.services {
		if !seen[name] {
			delete(c.services, name)
		}
	}
	for name := range c.missing {
		if !seen[name] {
			delete(c.missing, name)
		}
	}
	slices.Sort(clusters)
	slices.Sort(services)
	return clusters, services
}

// Change takes news of the machine and gives the updates that follow, and what to report.
func (c *Clusters) Change(now time.Duration, n ads.ResourceUpdate) (updates []Update, reports []string) {
	switch n.TypeURL {
	case ClusterURL:
		for _, r := range n.Updated {
			c.clusters[r.Name] = r.Value.(*Cluster)
		}
		gone := 0
		for _, name := range n.Removed {
			if c.clusters[name] != nil {
				gone++
			}
		}
		if c.cfg.Grace > 0 && gone > 0 && gone == len(c.clusters) {
			// The clusters stay until the grace is over or the control plane names one again.
			c.emptyAt = now
			return c.updates(), []string{fmt.Sprintf("the control plane has removed all %d clusters at once; they stay for %v", gone, c.cfg.Grace)}
		}
		if len(n.Updated) > 0 && c.emptyAt > 0 {
			// It names clusters again: what it does not name by now is gone.
			c.emptyAt = 0
		}
		for _, name := range n.Removed {
			if c.clusters[name] != nil {
				reports = append(reports, c.lost("cluster "+name+" is removed"))
			}
			delete(c.clusters, name)
		}
	case EndpointURL:
		for _, r := range n.Updated {
			c.services[r.Name] = r.Value.(*Assignment)
			delete(c.missing, r.Name)
		}
		for _, name := range n.Removed {
			if c.services[name] != nil {
				reports = append(reports, c.lost("the assignment "+name+" does not exist any more"))
			}
			c.missing[name] = true
			delete(c.services, name)
		}
	}
	return c.updates(), reports
}

func (c *Clusters) lost(what string) string {
	if c.cfg.Keep {
		return what + ": its servers stay as they were"
	}
	return what + ": its servers are gone"
}

// Advance ends a grace that is over. still are the clusters that the machine has by now.
func (c *Clusters) Advance(now time.Duration, still map[string]*ads.Resource) (updates []Update, reports []string) {
	if c.emptyAt == 0 || now < c.emptyAt+c.cfg.Grace {
		return nil, nil
	}
	c.emptyAt = 0
	for name := range c.clusters {
		if r := still[name]; r == nil || r.Status != ads.Received {
			reports = append(reports, c.lost("cluster "+name+" is removed, and the grace is over"))
			delete(c.clusters, name)
		}
	}
	slices.Sort(reports)
	return c.updates(), reports
}

// Next is when Advance has something to do; false if never.
func (c *Clusters) Next() (time.Duration, bool) { return c.emptyAt + c.cfg.Grace, c.emptyAt > 0 }

// updates are those of the followed clusters whose assignment is another than was told.
func (c *Clusters) updates() (l []Update) {
	for name, f := range c.followed {
		a, state, known := c.present(name)
		if !known && !f.told {
			f.state = state
			continue // nothing was ever told: what the node had before serves
		}
		if !known && (c.cfg.Keep || state == waiting) {
			f.state = state
			continue // what was told stays
		}
		if f.told && f.last == a && f.state == state {
			continue
		}
		changed := !f.told || f.last != a
		f.told, f.last, f.state = true, a, state
		if changed {
			l = append(l, Update{name, a, state})
		}
	}
	slices.SortFunc(l, func(a, b Update) int {
		if a.Cluster < b.Cluster {
			return -1
		}
		return 1
	})
	return l
}

// waiting is the state of a cluster whose assignment has been asked for and not come yet: until it
// comes, or is said not to exist, what was told before stays.
const waiting = "its assignment has not come yet"

// present is a cluster's assignment; not known: there is none.
func (c *Clusters) present(name string) (a *Assignment, state string, known bool) {
	k := c.clusters[name]
	switch {
	case k == nil:
		return nil, "there is no such cluster", false
	case k.Static != nil:
		return k.Static, "static", true
	case c.services[k.Service] != nil:
		return c.services[k.Service], "by the assignment " + k.Service, true
	case c.missing[k.Service]:
		return nil, "its assignment " + k.Service + " does not exist", false
	}
	return nil, waiting, false
}

// State says in words how a followed cluster stands.
func (c *Clusters) State(name string) string {
	_, state, _ := c.present(name)
	if c.emptyAt > 0 {
		state += "; the control plane has removed all clusters, and the grace runs"
	}
	return state
}
