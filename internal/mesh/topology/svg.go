package topology

import (
	"fmt"
	"io"
	"slices"
	"strings"

	svg "github.com/ajstarks/svgo"
)

// Measures of the drawing, in pixels.
const (
	margin           = 20
	headerHeight     = 46
	cardWidth        = 176
	cardHeight       = 50
	cardGap          = 8
	memberHeight     = 62
	routeRowHeight   = 34
	weightBarWidth   = 220
	warningRowHeight = 18
	maxWarnings      = 24 // lines of what stands out; the rest is counted
	text12           = "font-family:sans-serif;font-size:12px;fill:#222"
	text10           = "font-family:sans-serif;font-size:10px;fill:#444"
	bold13           = "font-family:sans-serif;font-size:13px;font-weight:bold;fill:#222"
)

// palette tells services apart, and registers.
var palette = []string{"#4878a8", "#c8743c", "#5a9a58", "#a05a8c", "#8c7a3c", "#3c9a9a", "#b84a4a", "#6a6ab0"}

func colorOf(names []string, name string) string {
	if i := slices.Index(names, name); i >= 0 {
		return palette[i%len(palette)]
	}
	return "#888"
}

// truncate shortens a text to about so many pixels of small type.
func truncate(s string, wide int) string {
	r := []rune(s)
	if n := max(2, wide*2/11); len(r) > n {
		return string(r[:n-1]) + "…"
	}
	return s
}

// WriteSVG draws it: a column for each zone with its registers above its lines, trunks between registers, each line with a dot
// in the tone of its home; the routes with their weights beside, and below what stands out.
func (t Topology) WriteSVG(w io.Writer) {
	zones, services := t.Zones(), t.Services()
	most, mostRegs := 0, 1
	for _, z := range zones {
		most, mostRegs = max(most, len(t.sidecarsIn(z))), max(mostRegs, len(t.membersIn(z)))
	}
	across := 1 // cards beside each other in a zone
	if most > 6 {
		across = 2
	}
	if most > 24 {
		across = 3
	}
	zoneWide := across*(cardWidth+cardGap) + cardGap
	rows := (most + across - 1) / across
	zoneTall := headerHeight + mostRegs*(memberHeight+cardGap) + rows*(cardHeight+cardGap) + cardGap
	signs := t.Warnings()
	signsShown := min(len(signs), maxWarnings)
	routesX := margin + len(zones)*(zoneWide+margin)
	wide := routesX + 2*weightBarWidth + 2*margin
	tall := max(margin+headerHeight+zoneTall, margin+headerHeight+30+len(t.Routes)*routeRowHeight) + 40 + (signsShown+2)*warningRowHeight + margin
	c := svg.New(w)
	c.Start(wide, tall)
	c.Rect(0, 0, wide, tall, "fill:white")
	title := fmt.Sprintf("%d registers, %d lines, %d routes; view %d, as %s has it", len(t.Members), len(t.Sidecars), len(t.Routes), t.ConfigurationIndex, t.AskedMember)
	c.Text(margin, margin+12, title, bold13)
	c.Text(routesX, margin+12, "strip: service; dot: home register; bold: leads", text10)
	top := margin + headerHeight - 16
	type point struct{ x, y int }
	centre := map[string]point{} // of registers
	var addrs []string
	for _, r := range t.Members {
		addrs = append(addrs, r.Addr)
	}
	for zi, z := range zones {
		x := margin + zi*(zoneWide+margin)
		for i, r := range t.membersIn(z) {
			centre[r.Addr] = point{x + zoneWide/2, top + headerHeight - 14 + i*(memberHeight+cardGap) + memberHeight/2}
		}
		c.Roundrect(x, top, zoneWide, zoneTall, 6, 6, "fill:#f7f7f5;stroke:#ccc")
		name := z
		if name == "" {
			name = "zone not known"
		}
		c.Text(x+cardGap, top+20, "zone "+name, bold13)
	}
	for i, a := range addrs { // trunks of the core, under the boxes
		for _, b := range addrs[i+1:] {
			c.Line(centre[a].x, centre[a].y, centre[b].x, centre[b].y, "stroke:#999;stroke-width:2")
		}
	}
	for zi, z := range zones {
		x := margin + zi*(zoneWide+margin)
		for i, r := range t.membersIn(z) {
			t.drawMember(c, r, x+cardGap, top+headerHeight-14+i*(memberHeight+cardGap), zoneWide-2*cardGap, colorOf(addrs, r.Addr))
		}
		for i, l := range t.sidecarsIn(z) {
			t.drawSidecar(c, l, x+cardGap+(i%across)*(cardWidth+cardGap), top+headerHeight-14+mostRegs*(memberHeight+cardGap)+(i/across)*(cardHeight+cardGap),
				colorOf(services, l.Service), colorOf(addrs, l.FollowedMember))
		}
	}
	t.drawRoutes(c, routesX, top, services)
	y := max(top+zoneTall, top+30+len(t.Routes)*routeRowHeight) + 28
	head := "all is well"
	if len(signs) > 0 {
		head = "what stands out"
	}
	c.Text(margin, y, head, bold13)
	for i, s := range signs[:signsShown] {
		c.Text(margin, y+(i+1)*warningRowHeight, truncate(s, wide), text12+";fill:#a02020")
	}
	if more := len(signs) - signsShown; more > 0 {
		c.Text(margin, y+(signsShown+1)*warningRowHeight, fmt.Sprintf("and %d more", more), text12)
	}
	c.End()
}

func (t Topology) sidecarsIn(zone string) (l []Sidecar) {
	for _, x := range t.Sidecars {
		if x.Zone == zone {
			l = append(l, x)
		}
	}
	return l
}

func (t Topology) membersIn(zone string) (l []Member) {
	for _, x := range t.Members {
		if x.Zone == zone {
			l = append(l, x)
		}
	}
	return l
}

func (t Topology) drawMember(c *svg.SVG, r Member, x, y, wide int, dot string) {
	fill, stroke := "#e4ecf6", "stroke:#4878a8;stroke-width:1"
	switch {
	case r.Unreachable != "" || r.Fault != "":
		fill, stroke = "#f4a7a0", "stroke:#a02020;stroke-width:2"
	case r.IsLeader:
		stroke = "stroke:#1c3c66;stroke-width:3"
	case !r.QuorumContact || !r.IsMember || len(r.StaleItems) > 0:
		fill = "#f6dd8f"
	}
	c.Roundrect(x, y, wide, memberHeight, 5, 5, "fill:"+fill+";"+stroke)
	c.Circle(x+wide-14, y+14, 5, "fill:"+dot)
	role := "register "
	if r.IsLeader {
		role = "leader "
	}
	c.Text(x+8, y+17, truncate(role+r.displayName(), wide-44), bold13)
	c.Text(x+8, y+33, truncate(r.Addr, wide-16), text10)
	says := r.summary()
	if i := strings.IndexByte(says, ','); i > 0 && r.Unreachable == "" && r.Fault == "" {
		says = strings.TrimSpace(says[i+1:])
	}
	c.Text(x+8, y+49, truncate(says, wide-16), text10)
}

func (t Topology) drawSidecar(c *svg.SVG, l Sidecar, x, y int, service, home string) {
	c.Roundrect(x, y, cardWidth, cardHeight, 4, 4, "fill:"+l.fillColor()+";stroke:#999")
	c.Rect(x, y+2, 5, cardHeight-4, "fill:"+service)
	c.Circle(x+cardWidth-10, y+11, 4, "fill:"+home)
	c.Text(x+10, y+15, truncate(l.displayName(), cardWidth-28), text12)
	c.Text(x+10, y+29, truncate(strings.TrimSpace(l.Service+" "+l.ServerID), cardWidth-14), text10)
	state := l.State
	switch {
	case l.Unreachable != "":
		state = "line silent"
	case l.Leaving:
		state = "line leaving"
	case !l.Ready:
		state = "line not ready"
	case l.State != "ready" && l.StateReason != "":
		state += ": " + l.StateReason
	}
	if n := len(l.StaleItems); n > 0 {
		state += fmt.Sprintf(", lags by %d", n)
	}
	c.Text(x+10, y+43, truncate(state, cardWidth-14), text10)
}

func (t Topology) drawRoutes(c *svg.SVG, x, y int, services []string) {
	c.Text(x, y+20, "routes", bold13)
	y += 30
	for _, r := range t.Routes {
		c.Text(x, y+12, truncate(fmt.Sprintf("%s%s", r.Host, r.Prefix), weightBarWidth), text12)
		c.Text(x, y+26, truncate(fmt.Sprintf("%s, %s, version %d, %g s, %d tries", r.Name, r.Kind, r.Version, r.TimeoutS, r.MaxAttempts), weightBarWidth+10), text10)
		at := 0.0
		for _, p := range r.Destinations {
			from, to := int(at*weightBarWidth), int((at+p.Share)*weightBarWidth)
			at += p.Share
			if to <= from {
				continue
			}
			c.Rect(x+weightBarWidth+10+from, y+2, to-from, 18, "fill:"+colorOf(services, p.Service))
			c.Text(x+weightBarWidth+14+from, y+15, truncate(fmt.Sprintf("%s %.0f %%", p.Service, p.Share*100), to-from-6), text10+";fill:white")
		}
		y += routeRowHeight
	}
}
