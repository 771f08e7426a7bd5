// Package xds is a list of servers that an xDS control plane tells: the endpoints of one cluster.
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

// Client is a client of control planes, for all pools of a node.
type Client struct{ *client.Client }

// Open dials the control planes.
func Open(cfg client.Config) (*Client, error) {
	c, err := client.New(cfg)
	if err != nil {
		return nil, err
	}
	return &Client{c}, nil
}

// Source follows a cluster; with levels it tells the endpoints of all priorities, each with its own.
func (c *Client) Source(cluster string, levels bool) engine.Source {
	s := New(c.Client, cluster)
	s.levels = levels
	return s
}

// Dump writes what the client holds.
func (c *Client) Dump(w io.Writer) { c.Client.Dump().Write(w) }

// Source follows a cluster. It implements engine.Source and engine.Observer.
type Source struct {
	client  *client.Client
	cluster string
	load    *client.Load // nil if load is not reported
	levels  bool
}

// New returns a source that follows a cluster at the client's control planes.
func New(c *client.Client, cluster string) *Source {
	return &Source{client: c, cluster: cluster, load: c.Load(cluster)}
}

func (s *Source) String() string { return "the xDS cluster " + s.cluster }

// Watch passes on the cluster's endpoints, the complete list first, whatever since says: the client knows
// what has changed since only while it is followed.
func (s *Source) Watch(ctx context.Context, _ string, update func(engine.ListUpdate)) error {
	// What comes faster than it is taken replaces what was not taken yet: only the latest counts.
	latest := make(chan resource.Update, 1)
	s.client.Watch(ctx, s.cluster, func(u resource.Update) {
		select {
		case <-latest:
		default:
		}
		latest <- u
	})
	list := resource.Lister{Levels: s.levels}
	for {
		select {
		case u := <-latest:
			s.load.List(u.Assignment)
			n, reports := list.News(u.Assignment)
			for _, r := range reports {
				log.Printf("xds: cluster %s: %s", s.cluster, r)
			}
			if n != nil {
				update(*n)
			}
		case <-ctx.Done():
			return context.Cause(ctx)
		}
	}
}

// Began, Ended and Dropped count what is reported as load.
func (s *Source) Began(id string) { s.load.Began(id) }

// Ended counts the end of an attempt.
func (s *Source) Ended(id string, e balancer.Ending) { s.load.Ended(id, e) }

// Dropped counts a request refused by the control plane's drops.
func (s *Source) Dropped() { s.load.Dropped() }
