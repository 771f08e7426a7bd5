package operator

import (
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"time"

	"cranegrade/internal/fleet/membership"
)

// Bounds of [fleet].
const (
	minLease  = 500 * time.Millisecond
	maxLease  = time.Minute
	minSettle = 100 * time.Millisecond
	maxSettle = time.Minute
	minProbe  = 50 * time.Millisecond
	maxProbe  = 10 * time.Second
)

// fleet reads [fleet]: how this node finds the others.
func (d *document) fleet(t *table, p *Plan, nodes int) {
	ft := t.subtable("fleet")
	if ft == nil {
		return
	}
	p.Fleet = &Fleet{
		Listen: ft.text("listen", ""),
		Join:   ft.textList("join"),
		Zone:   ft.text("zone", ""),
		Nodes:  nodes,
		Lease:  ft.duration("lease", defaultLease),
		Settle: ft.duration("settle", defaultSettle),
		Probe:  ft.duration("probe", defaultProbe),
	}
	p.Fleet.Advertise = ft.text("advertise", p.Fleet.Listen)
	p.Fleet.checkAddresses(ft)
	p.Fleet.Key = fleetKey(ft)
	if len(p.Fleet.Zone) > membership.MaxZone {
		ft.fault("zone", "is longer than %d bytes", membership.MaxZone)
	}
	p.Fleet.checkDurations(ft)
	checkMember(t, ft, p.Name)
	ft.rejectUnknownKeys()
}

// checkAddresses checks the addresses of this node and of the members that it asks at the start.
func (f *Fleet) checkAddresses(ft *table) {
	if err := checkIPAddress(f.Listen, listenAddress); err != nil {
		ft.fault("listen", "%v", err)
	}
	use := listenAddress // Advertise defaults to Listen, whose port may be 0
	if ft.has("advertise") {
		use = remoteAddress
	}
	if err := checkIPAddress(f.Advertise, use); err != nil {
		ft.fault("advertise", "%v", err)
	} else if host, _, _ := net.SplitHostPort(f.Advertise); net.ParseIP(host).IsUnspecified() {
		ft.fault("advertise", "%s is no address that others can reach: say which one is", f.Advertise)
	}
	if len(f.Join) > maxAddresses {
		ft.fault("join", "%d members, %d at most", len(f.Join), maxAddresses)
		f.Join = nil
	}
	for i, addr := range f.Join {
		if err := checkAddress(addr, remoteAddress); err != nil {
			ft.fault(fmt.Sprintf("join[%d]", i), "%v", err)
		}
	}
}

// checkDurations checks the times against their bounds.
func (f *Fleet) checkDurations(ft *table) {
	for _, d := range []struct {
		key         string
		value       time.Duration
		least, most time.Duration
	}{
		{"lease", f.Lease, minLease, maxLease},
		{"settle", f.Settle, minSettle, maxSettle},
		{"probe", f.Probe, minProbe, maxProbe},
	} {
		if d.value < d.least || d.value > d.most {
			ft.fault(d.key, "%v is not between %v and %v", d.value, d.least, d.most)
		}
	}
}

// checkMember checks what a member of a fleet needs at the top of the file.
func checkMember(t, ft *table, name string) {
	if !membership.IsValidName(name) {
		t.fault("name", "%q can't be a member's: 1 to %d visible characters without spaces", name, membership.MaxName)
	} else if !t.has("name") {
		ft.fault("listen", "a member needs a name of its own: say name = \"...\" at the top of the file")
	}
	if !t.has("nodes") {
		ft.fault("listen", "say nodes = ... at the top of the file: how many nodes the fleet starts with, at least")
	}
	if t.has("index") {
		t.fault("index", "is of no effect with [fleet], which finds it out")
	}
}

// fleetKey reads the key that all members share, for AES-128, AES-192 or AES-256. It returns nil if the key is absent.
func fleetKey(ft *table) (key []byte) {
	text := ft.text("key", "")
	if !ft.has("key") {
		return nil
	}
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || !slices.Contains([]int{16, 24, 32}, len(key)) {
		ft.fault("key", "is not the base64 of 16, 24 or 32 bytes")
	}
	return key
}
