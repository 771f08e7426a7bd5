package resource

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cranegrade/internal/xds/ads"
)

// ClustersConfig says what the removal of a resource means.
type ClustersConfig struct {
	// KeepOnRemoval keeps a cluster's servers when the control plane removes the cluster, or says that its
	// assignment does not exist. By default they are gone.
	KeepOnRemoval bool
	// EmptyGrace is how long all clusters are kept when one response removes every one of them, as does a
	// control plane that restarted without its data. 0 means they are not kept.
	EmptyGrace time.Duration
}

// Clusters joins clusters with their assignments: it says which assignments have to be subscribed to, and
// gives the present assignment of each cluster that is watched. It belongs to one goroutine.
type Clusters struct {
	cfg         ClustersConfig
	watched     map[string]*watchedCluster
	clusters    map[string]*Cluster
	assignments map[string]*Assignment // by EDS service name
	nonexistent map[string]bool        // EDS service names that have no assignment
	emptiedAt   time.Duration          // when a response removed every cluster, while the grace runs; 0 means it does not run
}

// watchedCluster is what the watchers of a cluster were last notified of.
type watchedCluster struct {
	notified   bool // they were notified at all
	assignment *Assignment
}

// ClusterUpdate is the present assignment of a watched cluster.
type ClusterUpdate struct {
	Cluster    string
	Assignment *Assignment // nil means there are no servers
	State      string      // in words: why it is so
}

// NewClusters returns a set that watches nothing.
func NewClusters(cfg ClustersConfig) *Clusters {
	return &Clusters{
		cfg:         cfg,
		watched:     map[string]*watchedCluster{},
		clusters:    map[string]*Cluster{},
		assignments: map[string]*Assignment{},
		nonexistent: map[string]bool{},
	}
}

// Watch adds a watcher of a cluster. The updates notify it, and all other watchers of this cluster again.
func (c *Clusters) Watch(name string) []ClusterUpdate {
	if c.watched[name] == nil {
		c.watched[name] = &watchedCluster{}
	}
	c.watched[name].notified = false
	return c.updates()
}

// Unwatch ends the watch of a cluster, for all its watchers.
func (c *Clusters) Unwatch(name string) { delete(c.watched, name) }

// Subscriptions returns the names of the clusters and assignments to subscribe to, sorted. It forgets
// other assignments: without a subscription, no control plane would say when they change.
func (c *Clusters) Subscriptions() (clusters, assignments []string) {
	subscribed := map[string]bool{}
	for name := range c.watched {
		clusters = append(clusters, name)
		if cluster := c.clusters[name]; cluster != nil && cluster.EDSServiceName != "" && !subscribed[cluster.EDSServiceName] {
			subscribed[cluster.EDSServiceName] = true
			assignments = append(assignments, cluster.EDSServiceName)
		}
	}
	for name := range c.assignments {
		if !subscribed[name] {
			delete(c.assignments, name)
		}
	}
	for name := range c.nonexistent {
		if !subscribed[name] {
			delete(c.nonexistent, name)
		}
	}
	slices.Sort(clusters)
	slices.Sort(assignments)
	return clusters, assignments
}

// HandleUpdate takes a change of resources and returns the updates of watched clusters that follow from
// it, and notices for operators.
func (c *Clusters) HandleUpdate(now time.Duration, update ads.ResourceUpdate) (updates []ClusterUpdate, notices []string) {
	switch update.TypeURL {
	case ClusterURL:
		notices = c.updateClusters(now, update)
	case EndpointURL:
		notices = c.updateAssignments(update)
	}
	return c.updates(), notices
}

func (c *Clusters) updateClusters(now time.Duration, update ads.ResourceUpdate) (notices []string) {
	for _, r := range update.Updated {
		c.clusters[r.Name] = r.Value.(*Cluster)
	}
	removed := 0
	for _, name := range update.Removed {
		if c.clusters[name] != nil {
			removed++
		}
	}
	if c.cfg.EmptyGrace > 0 && removed > 0 && removed == len(c.clusters) {
		c.emptiedAt = now
		return []string{fmt.Sprintf("the control plane has removed all %d clusters at once; they stay for %v", removed, c.cfg.EmptyGrace)}
	}
	if len(update.Updated) > 0 {
		// The control plane names clusters again, so the grace ends. The others stay as they are.
		c.emptiedAt = 0
	}
	for _, name := range update.Removed {
		if c.clusters[name] != nil {
			notices = append(notices, c.removalNotice("cluster "+name+" is removed"))
		}
		delete(c.clusters, name)
	}
	return notices
}

func (c *Clusters) updateAssignments(update ads.ResourceUpdate) (notices []string) {
	for _, r := range update.Updated {
		c.assignments[r.Name] = r.Value.(*Assignment)
		delete(c.nonexistent, r.Name)
	}
	for _, name := range update.Removed {
		if c.assignments[name] != nil {
			notices = append(notices, c.removalNotice("the assignment "+name+" does not exist any more"))
		}
		c.nonexistent[name] = true
		delete(c.assignments, name)
	}
	return notices
}

func (c *Clusters) removalNotice(what string) string {
	if c.cfg.KeepOnRemoval {
		return what + ": its servers stay as they were"
	}
	return what + ": its servers are gone"
}

// Advance ends a grace that is over: the clusters that the machine does not hold by then are removed.
// received are the cluster resources of the machine.
func (c *Clusters) Advance(now time.Duration, received map[string]*ads.Resource) (updates []ClusterUpdate, notices []string) {
	if c.emptiedAt == 0 || now < c.emptiedAt+c.cfg.EmptyGrace {
		return nil, nil
	}
	c.emptiedAt = 0
	for name := range c.clusters {
		if r := received[name]; r == nil || r.Status != ads.Received {
			notices = append(notices, c.removalNotice("cluster "+name+" is removed, and the grace is over"))
			delete(c.clusters, name)
		}
	}
	slices.Sort(notices)
	return c.updates(), notices
}

// NextDeadline returns when Advance has something to do. ok is false if it never has.
func (c *Clusters) NextDeadline() (at time.Duration, ok bool) {
	return c.emptiedAt + c.cfg.EmptyGrace, c.emptiedAt > 0
}

// updates returns the updates of the watched clusters whose assignment is not the one last notified of.
func (c *Clusters) updates() (updates []ClusterUpdate) {
	for name, watched := range c.watched {
		assignment, state, known := c.present(name)
		if !known && (!watched.notified || c.cfg.KeepOnRemoval || state == stateNotReceived) {
			// What the watchers have stays in use: the servers of the node's file if they were never notified,
			// else the last assignment.
			continue
		}
		if !watched.notified || watched.assignment != assignment {
			updates = append(updates, ClusterUpdate{name, assignment, state})
		}
		watched.notified, watched.assignment = true, assignment
	}
	slices.SortFunc(updates, func(a, b ClusterUpdate) int { return cmp.Compare(a.Cluster, b.Cluster) })
	return updates
}

// stateNotReceived is the state of a cluster whose assignment was subscribed to and has not come yet.
// Until it comes, or is said not to exist, the assignment before stays in use.
const stateNotReceived = "its assignment has not come yet"

// present returns a cluster's assignment and its state in words; known is false if there is no assignment.
func (c *Clusters) present(name string) (assignment *Assignment, state string, known bool) {
	cluster := c.clusters[name]
	switch {
	case cluster == nil:
		return nil, "there is no such cluster", false
	case cluster.StaticAssignment != nil:
		return cluster.StaticAssignment, "static", true
	case c.assignments[cluster.EDSServiceName] != nil:
		return c.assignments[cluster.EDSServiceName], "by the assignment " + cluster.EDSServiceName, true
	case c.nonexistent[cluster.EDSServiceName]:
		return nil, "its assignment " + cluster.EDSServiceName + " does not exist", false
	}
	return nil, stateNotReceived, false
}

// State says in words where a watched cluster's servers come from, or why it has none.
func (c *Clusters) State(name string) string {
	_, state, _ := c.present(name)
	if c.emptiedAt > 0 {
		state += "; the control plane has removed all clusters, and the grace runs"
	}
	return state
}
