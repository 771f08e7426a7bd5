package operator

import (
	"encoding/base64"
	"fmt"
	"net"
	"slices"
	"time"

	"cranegrade/internal/fleet/membership"
)

// fleet reads how this node finds the others.
func (f *document) fleet(t *table, p *Plan, nodes int) {
	x := t.subtable("fleet")
	if x == nil {
		return
	}
	fl := &Fleet{
		Listen: x.text("listen", ""), Join: x.textList("join"), Zone: x.text("zone", ""), Nodes: nodes,
		Lease: x.duration("lease", defaultLease), Settle: x.duration("settle", defaultSettle), Probe: x.duration("probe", defaultProbe),
	}
	p.Fleet = fl
	fl.Advertise = x.text("advertise", fl.Listen)
	if err := ipAddress(fl.Listen, true); err != nil {
		x.fault("listen", "%v", err)
	}
	if err := ipAddress(fl.Advertise, !x.has("advertise")); err != nil {
		x.fault("advertise", "%v", err)
	} else if host, _, _ := net.SplitHostPort(fl.Advertise); net.ParseIP(host).IsUnspecified() {
		x.fault("advertise", "%s is no address that others can reach: say which one is", fl.Advertise)
	}
	if len(fl.Join) > maxListen {
		x.fault("join", "%d members, %d at most", len(fl.Join), maxListen)
		fl.Join = nil
	}
	for i, a := range fl.Join {
		if err := address(a, false); err != nil {
			x.fault(fmt.Sprintf("join[%d]", i), "%v", err)
		}
	}
	fl.Key = fleetKey(x)
	if len(fl.Zone) > membership.MaxZone {
		x.fault("zone", "is longer than %d bytes", membership.MaxZone)
	}
	for _, d := range []struct {
		key         string
		is          time.Duration
		least, most time.Duration
	}{
		{"lease", fl.Lease, 500 * time.Millisecond, time.Minute},
		{"settle", fl.Settle, 100 * time.Millisecond, time.Minute},
		{"probe", fl.Probe, 50 * time.Millisecond, 10 * time.Second},
	} {
		if d.is < d.least || d.is > d.most {
			x.fault(d.key, "%v is not between %v and %v", d.is, d.least, d.most)
		}
	}
	if !membership.IsValidName(p.Name) {
		t.fault("name", "%q can't be a member's: 1 to %d visible characters without spaces", p.Name, membership.MaxName)
	} else if !t.has("name") {
		x.fault("listen", "a member needs a name of its own: say name = \"...\" at the top of the file")
	}
	if !t.has("nodes") {
		x.fault("listen", "say nodes = ... at the top of the file: how many nodes the fleet starts with, at least")
	}
	if t.has("index") {
		t.fault("index", "is of no effect with [fleet], which finds it out")
	}
	x.rejectUnknownKeys()
}

// fleetKey reads the key that all members share, of AES-128, -192 or -256; nil: there is none.
func fleetKey(x *table) (key []byte) {
	text := x.text("key", "")
	if !x.has("key") {
		return nil
	}
	key, err := base64.StdEncoding.DecodeString(text)
	if err != nil || !slices.Contains([]int{16, 24, 32}, len(key)) {
		x.fault("key", "is not the base64 of 16, 24 or 32 bytes")
	}
	return key
}

// ipAddress checks a host:port whose host is an IP address.
func ipAddress(s string, listener bool) error {
	if err := address(s, listener); err != nil {
		return err
	}
	if host, _, _ := net.SplitHostPort(s); net.ParseIP(host) == nil {
		return fmt.Errorf("%q has no IP address", s)
	}
	return nil
}
