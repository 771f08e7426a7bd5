package client

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/xds/ads"
	"cranegrade/internal/xds/resource"
)

// maxNoticesWritten bounds the notices that Write writes.
const maxNoticesWritten = 20

// Dump is what a client holds at one time.
type Dump struct {
	Variant   string
	Servers   []ServerDump
	Resources []ResourceDump
	Clusters  []ClusterDump
	Notices   []Notice
}

// ServerDump is the state of a control plane.
type ServerDump struct {
	Addr       string
	InUse      bool // its responses count
	StreamOpen bool
	LastError  string // why its last stream failed; "" since a response came
}

// ResourceDump is the state of a resource.
type ResourceDump struct {
	Type, Name, Version, Status string
	Age                         time.Duration // since it got this value or status
	RejectionReason             string        // why its latest update was rejected; "" if it was not
	RejectionAge                time.Duration
	Endpoints                   int
	IgnoredFields               []string
}

// ClusterDump is the state of a watched cluster.
type ClusterDump struct{ Name, State string }

// Dump returns what the client holds now; the zero Dump if the client has ended.
func (c *Client) Dump() (d Dump) {
	done := make(chan struct{})
	c.post(func() {
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
	d := Dump{Variant: "state of the world", Notices: slices.Clone(c.notices)}
	if c.cfg.Delta {
		d.Variant = "incremental"
	}
	for i, addr := range c.cfg.Servers {
		d.Servers = append(d.Servers, ServerDump{
			Addr:       addr,
			InUse:      i == c.failover.Active(),
			StreamOpen: c.streams[i] != nil,
			LastError:  c.lastErrors[i],
		})
	}
	now := c.now()
	for _, t := range resource.Types() {
		resources := c.machine.Resources(t.URL)
		for _, name := range slices.Sorted(maps.Keys(resources)) {
			d.Resources = append(d.Resources, dumpResource(now, t.URL, resources[name]))
		}
	}
	for name := range c.watchers {
		d.Clusters = append(d.Clusters, ClusterDump{name, c.clusters.State(name)})
	}
	slices.SortFunc(d.Clusters, func(a, b ClusterDump) int { return cmp.Compare(a.Name, b.Name) })
	return d
}

func dumpResource(now time.Duration, typeURL string, r *ads.Resource) ResourceDump {
	d := ResourceDump{
		Type:            typeURL[strings.LastIndexByte(typeURL, '.')+1:],
		Name:            r.Name,
		Version:         r.Version,
		Status:          r.Status.String(),
		Age:             now - r.ChangedAt,
		RejectionReason: r.RejectionReason,
	}
	if r.RejectionReason != "" {
		d.RejectionAge = now - r.RejectedAt
	}
	switch value := r.Value.(type) {
	case *resource.Assignment:
		d.Endpoints, d.IgnoredFields = len(value.Endpoints), value.IgnoredFields
	case *resource.Cluster:
		d.IgnoredFields = value.IgnoredFields
	}
	if r.Status != ads.Received {
		d.Version = "-"
	}
	return d
}

// Write writes a dump as text for operators. It is written to a connection of the inspection server, so
// there is nobody to tell of a failure.
func (d Dump) Write(w io.Writer) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "control planes (%s)\t\t\n", d.Variant)
	for _, s := range d.Servers {
		fmt.Fprintf(table, "  %s\t%s\t%s\n", s.Addr, s.state(), s.LastError)
	}
	_ = table.Flush() // columns are aligned anew from here on
	fmt.Fprintf(table, "\ntype\tname\tversion\tstatus\tage\tendpoints\tlast refused\tignored fields\n")
	for _, r := range d.Resources {
		rejected := ""
		if r.RejectionReason != "" {
			rejected = fmt.Sprintf("%s ago: %s", roundAge(r.RejectionAge), r.RejectionReason)
		}
		fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n",
			r.Type, r.Name, r.Version, r.Status, roundAge(r.Age), r.Endpoints, rejected, strings.Join(r.IgnoredFields, " "))
	}
	fmt.Fprintf(table, "\ncluster\tstate\n")
	for _, c := range d.Clusters {
		fmt.Fprintf(table, "%s\t%s\n", c.Name, c.State)
	}
	_ = table.Flush()
	if len(d.Notices) > 0 {
		fmt.Fprintf(w, "\nlatest reports\n")
	}
	for _, n := range d.Notices[max(0, len(d.Notices)-maxNoticesWritten):] {
		fmt.Fprintf(w, "  %s %s\n", n.At.Format(time.TimeOnly), n.Text)
	}
}

func (s ServerDump) state() string {
	state := "no stream"
	if s.StreamOpen {
		state = "a stream is open"
	}
	if s.InUse {
		state += ", in use"
	}
	return state
}

// roundAge rounds to seconds, and ages below one to milliseconds.
func roundAge(d time.Duration) time.Duration {
	if d > time.Second {
		return d.Round(time.Second)
	}
	return d.Round(time.Millisecond)
}
