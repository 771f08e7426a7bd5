package topology

import (
	"fmt"
	"io"
	"strings"
	"time"
)

// WriteText draws the topology as a tree.
func (t Topology) WriteText(w io.Writer) {
	contact := "in contact with a majority"
	if !t.QuorumContact {
		contact = "OUT OF CONTACT: what follows may be old"
	}
	fmt.Fprintf(w, "control plane, as %s has it (configuration %d, %s)\n", t.AskedMember, t.ConfigurationIndex, contact)
	for _, m := range t.Members {
		fmt.Fprintf(w, "  member %-14s %-21s %s\n", m.Name, m.Addr, m.summary())
	}
	for _, zone := range t.Zones() {
		fmt.Fprintf(w, "zone %s\n", zone)
		for _, s := range t.sidecarsIn(zone) {
			fmt.Fprintf(w, "  sidecar %-18s %-21s serves %-12s %s\n", s.Name, s.Addr, s.Service, s.summary())
		}
	}
	if len(t.Routes) > 0 {
		fmt.Fprintln(w, "routes")
	}
	for _, r := range t.Routes {
		var destinations []string
		for _, d := range r.Destinations {
			destinations = append(destinations, fmt.Sprintf("%s %.0f %%", d.Service, d.Share*100))
		}
		fmt.Fprintf(w, "  %-24s %-15s version %-4d %s%s -> %s\n", r.Name, r.Kind, r.Version, r.Host, r.Prefix, strings.Join(destinations, ", "))
	}
}

// WriteReport writes the state of the mesh as text: the warnings first, then every process.
func (t Topology) WriteReport(w io.Writer) {
	warnings := t.Warnings()
	if len(warnings) == 0 {
		fmt.Fprintln(w, "all is well")
	}
	for _, warning := range warnings {
		fmt.Fprintln(w, "! "+warning)
	}
	fmt.Fprintf(w, "%d members, %d sidecars, %d items, %d routes\n", len(t.Members), len(t.Sidecars), len(t.Items), len(t.Routes))
	for _, m := range t.Members {
		fmt.Fprintf(w, "member %-14s %-21s %s\n", m.Name, m.Addr, m.summary())
	}
	for _, s := range t.Sidecars {
		fmt.Fprintf(w, "sidecar %-18s %-21s follows %-21s up %v, %s\n", s.Name, s.Addr, s.FollowedMember, roundedUptime(s.UptimeS), s.summary())
	}
}

func roundedUptime(seconds float64) time.Duration {
	return time.Duration(seconds * float64(time.Second)).Round(time.Second)
}

func (m Member) summary() string {
	switch {
	case m.Unreachable != "":
		return "UNREACHABLE: " + m.Unreachable
	case m.Fault != "":
		return "FAULT: " + m.Fault
	}
	return fmt.Sprintf("%s, %s", m.role(), m.progress())
}

func (m Member) role() string {
	switch {
	case m.IsLeader:
		return "LEADER"
	case !m.IsMember:
		return "NO VOTER"
	case !m.QuorumContact:
		return "OUT OF CONTACT"
	}
	return "follower"
}

func (m Member) progress() string {
	return fmt.Sprintf("term %d, %d entries applied, %d behind, followed by %d sidecars, %d keys",
		m.Term, m.AppliedIndex, m.LagEntries, len(m.Sidecars), m.KeyCount)
}

func (s Sidecar) summary() string {
	if s.Unreachable != "" {
		return "UNREACHABLE: " + s.Unreachable
	}
	server := s.ServerID
	if server == "" {
		server = "no server"
	}
	parts := []string{server, s.State}
	if s.State != stateReady && s.StateReason != "" {
		parts[1] += " (" + s.StateReason + ")"
	}
	if s.Leaving {
		parts = append(parts, "sidecar leaving")
	}
	if !s.Ready {
		parts = append(parts, "NOT READY")
	}
	if stale := len(s.StaleItems); stale > 0 {
		parts = append(parts, fmt.Sprintf("LAGS by %d items", stale))
	}
	return fmt.Sprintf("%s, %d slots, %d in flight", strings.Join(parts, ", "), s.Slots, s.OpenRequests)
}
