package client

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

// Dump is what a client holds.
type Dump struct {
	Variant   string
	Servers   []ServerDump
	Resources []ResourceDump
	Clusters  []ClusterDump
	Reports   []Report
}

// ServerDump is a control plane.
type ServerDump struct {
	Addr    string
	InUse   bool // its news count
	Open    bool // a stream to it is open
	Problem string
}

// ResourceDump is a resource.
type ResourceDump struct {
	Type, Name, Version, Status string
	Age                         time.Duration // since it got this version or status
	Refused                     string        // why its last update was refused
	RefusedAge                  time.Duration
	Endpoints                   int
	Ignored                     []string
}

// ClusterDump is a cluster that a pool follows.
type ClusterDump struct{ Name, State string }

// Dump tells what the client holds now.
func (c *Client) Dump() (d Dump) {
	done := make(chan struct{})
	c.do(func() {
		defer close(done)
		d = c.dump()
	})
	select {
	case <-done:
	case <-c.done:
	}
	return d
}

func (c *Client) dump() Dump {
	d := Dump{Variant: "state of the world", Reports: slices.Clone(c.reports)}
	if c.cfg.Delta {
		d.Variant = "incremental"
	}
	for i, addr := range c.cfg.Servers {
		d.Servers = append(d.Servers, ServerDump{addr, i == c.failover.Active(), c.streams[i] != nil, c.problems[i]})
	}
	now := c.now()
	for _, t := range resource.Types() {
		held := c.machine.Resources(t.URL)
		names := make([]string, 0, len(held))
		for n := range held {
			names = append(names, n)
		}
		slices.Sort(names)
		for _, n := range names {
			r := held[n]
			x := ResourceDump{
				Type: t.URL[strings.LastIndexByte(t.URL, '.')+1:], Name: n, Version: r.Version,
				Status: r.Status.String(), Age: now - r.ChangedAt, Refused: r.RejectionReason,
			}
			if r.RejectionReason != "" {
				x.RefusedAge = now - r.RejectedAt
			}
			switch v := r.Value.(type) {
			case *resource.Assignment:
				x.Endpoints, x.Ignored = len(v.Endpoints), v.Ignored
			case *resource.Cluster:
				x.Ignored = v.Ignored
			}
			if r.Status != ads.Received {
				x.Version = "-"
			}
			d.Resources = append(d.Resources, x)
		}
	}
	for name := range c.watchers {
		d.Clusters = append(d.Clusters, ClusterDump{name, c.clusters.State(name)})
	}
	slices.SortFunc(d.Clusters, func(a, b ClusterDump) int { return strings.Compare(a.Name, b.Name) })
	return d
}

// Write writes a dump for people.
func (d Dump) Write(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "control planes (%s)\t\t\n", d.Variant)
	for _, s := range d.Servers {
		state := "no stream"
		if s.Open {
			state = "a stream is open"
		}
		if s.InUse {
			state += ", in use"
		}
		fmt.Fprintf(t, "  %s\t%s\t%s\n", s.Addr, state, s.Problem)
	}
	t.Flush()
	fmt.Fprintf(t, "\ntype\tname\tversion\tstatus\tage\tendpoints\tlast refused\tignored fields\n")
	for _, r := range d.Resources {
		refused := ""
		if r.Refused != "" {
			refused = fmt.Sprintf("%s ago: %s", round(r.RefusedAge), r.Refused)
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", r.Type, r.Name, r.Version, r.Status, round(r.Age), r.Endpoints, refused, strings.Join(r.Ignored, " "))
	}
	fmt.Fprintf(t, "\ncluster\tstate\n")
	for _, c := range d.Clusters {
		fmt.Fprintf(t, "%s\t%s\n", c.Name, c.State)
	}
	t.Flush()
	if len(d.Reports) > 0 {
		fmt.Fprintf(w, "\nlatest reports\n")
	}
	for _, r := range d.Reports[max(0, len(d.Reports)-20):] {
		fmt.Fprintf(w, "  %s %s\n", r.At.Format(time.TimeOnly), r.Text)
	}
}

func round(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(time.Second)
	}
	return d.Round(time.Millisecond)
}
