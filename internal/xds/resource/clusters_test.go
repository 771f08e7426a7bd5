package resource

import (
	"slices"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/xds/ads"
)

func clusterResource(name, service string) *ads.Resource {
	return &ads.Resource{Name: name, Value: &Cluster{Name: name, EDSServiceName: service}}
}

func assignmentResource(name string) *ads.Resource {
	return &ads.Resource{Name: name, Value: &Assignment{Name: name}}
}

func updated(url string, resources ...*ads.Resource) ads.ResourceUpdate {
	return ads.ResourceUpdate{TypeURL: url, Updated: resources}
}

func removed(url string, names ...string) ads.ResourceUpdate {
	return ads.ResourceUpdate{TypeURL: url, Removed: names}
}

// handle is a change as the client handles it: the subscriptions are asked for after each.
func handle(c *Clusters, update ads.ResourceUpdate) []ClusterUpdate {
	updates, _ := c.HandleUpdate(0, update)
	c.Subscriptions()
	return updates
}

// expectUpdates compares updates written as "CLUSTER:ASSIGNMENT ".
func expectUpdates(t *testing.T, what string, updates []ClusterUpdate, want string) {
	t.Helper()
	got := ""
	for _, u := range updates {
		assignment := "none"
		if u.Assignment != nil {
			assignment = u.Assignment.Name
		}
		got += u.Cluster + ":" + assignment + " "
	}
	if got != want {
		t.Errorf("%s: %q, want %q", what, got, want)
	}
}

func TestClusters(t *testing.T) {
	c := NewClusters(ClustersConfig{})
	expectUpdates(t, "nothing known", c.Watch("a"), "")
	expectUpdates(t, "the cluster", handle(c, updated(ClusterURL, clusterResource("a", "s"))), "")
	if _, assignments := c.Subscriptions(); !slices.Equal(assignments, []string{"s"}) {
		t.Errorf("subscribes to %v", assignments)
	}
	expectUpdates(t, "its assignment", handle(c, updated(EndpointURL, assignmentResource("s"))), "a:s ")
	expectUpdates(t, "a second watcher is notified too", c.Watch("a"), "a:s ")
	expectUpdates(t, "another service: the old one until it comes", handle(c, updated(ClusterURL, clusterResource("a", "s2"))), "")
	expectUpdates(t, "it comes", handle(c, updated(EndpointURL, assignmentResource("s2"))), "a:s2 ")
	expectUpdates(t, "the assignment is removed", handle(c, removed(EndpointURL, "s2")), "a:none ")
	expectUpdates(t, "and added", handle(c, updated(EndpointURL, assignmentResource("s2"))), "a:s2 ")
	expectUpdates(t, "the cluster is removed", handle(c, removed(ClusterURL, "a")), "a:none ")
	expectUpdates(t, "and added: its assignment has to come again", handle(c, updated(ClusterURL, clusterResource("a", "s2"))), "")
	expectUpdates(t, "it comes", handle(c, updated(EndpointURL, assignmentResource("s2"))), "a:s2 ")
	static := &ads.Resource{Name: "a", Value: &Cluster{Name: "a", StaticAssignment: &Assignment{Name: "static"}}}
	expectUpdates(t, "a static cluster", handle(c, updated(ClusterURL, static)), "a:static ")
	expectUpdates(t, "a second cluster", c.Watch("b"), "")
	expectUpdates(t, "both with one service", handle(c, updated(ClusterURL, clusterResource("a", "s"), clusterResource("b", "s"))), "")
	expectUpdates(t, "both are notified", handle(c, updated(EndpointURL, assignmentResource("s"))), "a:s b:s ")
	c.Unwatch("a")
	expectUpdates(t, "one is no longer watched", handle(c, updated(EndpointURL, assignmentResource("s"))), "b:s ")
}

func TestClustersKeepOnRemoval(t *testing.T) {
	c := NewClusters(ClustersConfig{KeepOnRemoval: true})
	c.Watch("a")
	handle(c, updated(ClusterURL, clusterResource("a", "s")))
	handle(c, updated(EndpointURL, assignmentResource("s")))
	expectUpdates(t, "kept after the removal", handle(c, removed(ClusterURL, "a")), "")
	expectUpdates(t, "kept until the assignment comes", handle(c, updated(ClusterURL, clusterResource("a", "s"))), "")
	expectUpdates(t, "the new assignment", handle(c, updated(EndpointURL, assignmentResource("s"))), "a:s ")
}

// A control plane that returns without its data removes nothing at once.
func TestClustersEmptyGrace(t *testing.T) {
	c := NewClusters(ClustersConfig{EmptyGrace: 10 * time.Second})
	c.Watch("a")
	c.Watch("b")
	handle(c, updated(ClusterURL, clusterResource("a", "s"), clusterResource("b", "s")))
	handle(c, updated(EndpointURL, assignmentResource("s")))
	updates, notices := c.HandleUpdate(time.Second, removed(ClusterURL, "a", "b"))
	expectUpdates(t, "during the grace", updates, "")
	if len(notices) != 1 || !strings.Contains(notices[0], "all 2 clusters at once") || !strings.Contains(c.State("a"), "grace") {
		t.Errorf("notices %q, state %q", notices, c.State("a"))
	}
	if at, ok := c.NextDeadline(); !ok || at != 11*time.Second {
		t.Errorf("next deadline %v", at)
	}
	updates, _ = c.Advance(10*time.Second, nil)
	expectUpdates(t, "before its end", updates, "")
	updates, _ = c.Advance(11*time.Second, map[string]*ads.Resource{"a": {Status: ads.Received}})
	expectUpdates(t, "at its end, when one cluster is there again", updates, "b:none ")
	updates, notices = c.HandleUpdate(12*time.Second, removed(ClusterURL, "a"))
	expectUpdates(t, "the last cluster is removed", updates, "")
	if len(notices) != 1 {
		t.Errorf("notices %q", notices)
	}
}
