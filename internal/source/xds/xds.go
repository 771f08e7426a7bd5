// Package xds is the source of a pool's servers that watches a cluster of an xDS control plane.
//
// A Client, shared by all pools of a node, owns the connections to the control planes; a Source watches
// one cluster through it. docs/xds.md says how a cluster becomes a list of servers.
package xds

import (
	"context"
	"io"
	"log"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/xds/client"
	"cranegrade/internal/xds/resource"
)

// Client is a client of control planes, for all pools of a node. It implements node.XDSClient.
type Client struct{ *client.Client }

// Open connects to the control planes. Close ends the client.
func Open(cfg client.Config) (*Client, error) {
	c, err := client.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Client{c}, nil
}

// Source returns a source that watches a cluster. With allPriorities it lists the endpoints of all
// priorities, each with its own; otherwise those of the priorities that are in use.
func (c *Client) Source(cluster string, allPriorities bool) engine.Source {
	return newSource(c.Client, cluster, allPriorities)
}

// Dump writes what the client holds, for operators.
func (c *Client) Dump(w io.Writer) { c.Client.Dump().Write(w) }

// Source watches a cluster. It implements engine.Source and engine.Observer.
type Source struct {
	client        *client.Client
	cluster       string
	load          *client.ClusterLoad // nil if load is not reported
	allPriorities bool
}

var (
	_ engine.Source   = (*Source)(nil)
	_ engine.Observer = (*Source)(nil)
)

func newSource(c *client.Client, cluster string, allPriorities bool) *Source {
	return &Source{client: c, cluster: cluster, load: c.ClusterLoad(cluster), allPriorities: allPriorities}
}

// String names the source in log messages.
func (s *Source) String() string { return "the xDS cluster " + s.cluster }

// Watch passes on the cluster's endpoints until ctx ends, and returns why that ended. The first list is
// complete, whichever version the engine has: what changed while nobody watched the cluster is unknown.
func (s *Source) Watch(ctx context.Context, _ string, onUpdate func(engine.ListUpdate)) error {
	// The watcher must not block, and only the latest assignment matters: one that has not been taken yet is
	// replaced. The watcher is the only sender, so there is room after it has emptied the channel.
	latest := make(chan resource.ClusterUpdate, 1)
	s.client.Watch(ctx, s.cluster, func(u resource.ClusterUpdate) {
		select {
		case <-latest:
		default:
		}
		latest <- u
	})
	differ := resource.Differ{AllPriorities: s.allPriorities}
	for {
		select {
		case u := <-latest:
			s.load.SetAssignment(u.Assignment)
			update, notices := differ.Update(u.Assignment)
			for _, text := range notices {
				log.Printf("xds: cluster %s: %s", s.cluster, text)
			}
			if update != nil {
				onUpdate(*update)
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// AttemptStarted counts the start of an attempt for the load reports.
func (s *Source) AttemptStarted(id string) { s.load.AttemptStarted(id) }

// AttemptEnded counts the end of an attempt for the load reports.
func (s *Source) AttemptEnded(id string, ending balancer.Ending) { s.load.AttemptEnded(id, ending) }

// RequestDropped counts a request that was rejected by the control plane's drop_overloads.
func (s *Source) RequestDropped() { s.load.RequestDropped() }
