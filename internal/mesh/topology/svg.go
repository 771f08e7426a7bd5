package topology

import (
	"fmt"
	"io"
	"slices"
	"strings"

	svg "github.com/ajstarks/svgo"
)

// Dimensions of the drawing, in pixels, and limits of its layout.
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
	warningsGap      = 28 // from the drawing above to the first line of the warnings
	titleBaseline    = 12 // of the first line, below the margin
	zoneTitleOffset  = 20 // of a heading's baseline, below the top of its frame
	routesOffset     = 30 // of the first route, below the top of the zones
	weightBarHeight  = 18
	weightBarGap     = 10 // between a route's text and its bar
	maxWarnings      = 24 // maximum number of warnings listed; further ones are only counted
	oneColumnCards   = 6  // maximum number of cards of a zone with one column
	twoColumnCards   = 24 // maximum number of cards of a zone with two columns; larger zones have three
)

// Styles of texts.
const (
	styleText    = "font-family:sans-serif;font-size:12px;fill:#222"
	styleSmall   = "font-family:sans-serif;font-size:10px;fill:#444"
	styleHeading = "font-family:sans-serif;font-size:13px;font-weight:bold;fill:#222"
)

// Fill colours, by the state of a member or server.
const (
	fillHealthy     = "#cfeccf"
	fillMember      = "#e4ecf6"
	fillDegraded    = "#f6dd8f"
	fillDown        = "#f4a7a0"
	fillUnreachable = "#d0d0d0"
)

// palette has the colours that distinguish services, and members.
var palette = []string{"#4878a8", "#c8743c", "#5a9a58", "#a05a8c", "#8c7a3c", "#3c9a9a", "#b84a4a", "#6a6ab0"}

// colorOf returns the colour of a name among names, or grey if it is not one of them.
func colorOf(names []string, name string) string {
	if i := slices.Index(names, name); i >= 0 {
		return palette[i%len(palette)]
	}
	return "#888"
}

// smallTypeDoubleWidth is the mean width of two characters in small type, in pixels.
const smallTypeDoubleWidth = 11

// truncate shortens a text to about a width in pixels, in small type.
func truncate(text string, width int) string {
	runes := []rune(text)
	if n := max(2, width*2/smallTypeDoubleWidth); len(runes) > n {
		return string(runes[:n-1]) + "…"
	}
	return text
}

// fillColor returns the colour for the state of a sidecar's server.
func (s Sidecar) fillColor() string {
	switch {
	case s.Unreachable != "":
		return fillUnreachable
	case s.State == stateDown:
		return fillDown
	case s.IsUnavailable():
		return fillDegraded
	}
	return fillHealthy
}

// drawing is the layout of a topology as SVG.
type drawing struct {
	Topology
	canvas   *svg.SVG
	zones    []string
	services []string
	members  []string // their addresses, in the order of Members
	warnings []string

	columns      int // of cards in a zone
	memberRows   int // members of the zone that has the most
	zoneWidth    int
	zoneHeight   int
	zonesTop     int
	routesLeft   int
	routesBottom int // end of the list of routes
	width        int
}

// WriteSVG draws the topology as SVG. Each zone is a column with its members above its sidecars. Lines connect the members, and a dot on
// each sidecar has the colour of the member that it follows. The routes with their weights are to the right, the warnings below.
func (t Topology) WriteSVG(w io.Writer) {
	d := newDrawing(t, svg.New(w))
	listBottom := max(d.zonesTop+d.zoneHeight, d.routesBottom)
	shown := min(len(d.warnings), maxWarnings)
	height := listBottom + 2*warningsGap + (shown+2)*warningRowHeight + margin
	d.canvas.Start(d.width, height)
	d.canvas.Rect(0, 0, d.width, height, "fill:white")
	title := fmt.Sprintf("%d members, %d sidecars, %d routes; configuration %d, as %s has it",
		len(t.Members), len(t.Sidecars), len(t.Routes), t.ConfigurationIndex, t.AskedMember)
	d.canvas.Text(margin, margin+titleBaseline, title, styleHeading)
	d.canvas.Text(d.routesLeft, margin+titleBaseline, "strip: service; dot: followed member; bold: leader", styleSmall)
	d.drawZones()
	d.drawRoutes()
	d.drawWarnings(listBottom+warningsGap, shown)
	d.canvas.End()
}

// newDrawing computes the layout.
func newDrawing(t Topology, canvas *svg.SVG) *drawing {
	d := &drawing{
		Topology:   t,
		canvas:     canvas,
		zones:      t.Zones(),
		services:   t.Services(),
		warnings:   t.Warnings(),
		columns:    1,
		memberRows: 1,
	}
	for _, m := range t.Members {
		d.members = append(d.members, m.Addr)
	}
	cards := 0
	for _, zone := range d.zones {
		cards = max(cards, len(t.sidecarsIn(zone)))
		d.memberRows = max(d.memberRows, len(t.membersIn(zone)))
	}
	switch {
	case cards > twoColumnCards:
		d.columns = 3
	case cards > oneColumnCards:
		d.columns = 2
	}
	rows := (cards + d.columns - 1) / d.columns
	d.zoneWidth = d.columns*(cardWidth+cardGap) + cardGap
	d.zoneHeight = headerHeight + d.memberRows*(memberHeight+cardGap) + rows*(cardHeight+cardGap) + cardGap
	d.zonesTop = margin + headerHeight - 16
	d.routesLeft = margin + len(d.zones)*(d.zoneWidth+margin)
	d.routesBottom = d.zonesTop + routesOffset + len(t.Routes)*routeRowHeight
	d.width = d.routesLeft + 2*weightBarWidth + 2*margin
	return d
}

func (d *drawing) zoneLeft(zone int) int { return margin + zone*(d.zoneWidth+margin) }

// memberTop returns the vertical position of the nth member of a zone.
func (d *drawing) memberTop(n int) int {
	return d.zonesTop + headerHeight - 14 + n*(memberHeight+cardGap)
}

// drawZones draws the zones' frames, then the connections between members, then the boxes over both.
func (d *drawing) drawZones() {
	for i, zone := range d.zones {
		left := d.zoneLeft(i)
		d.canvas.Roundrect(left, d.zonesTop, d.zoneWidth, d.zoneHeight, 6, 6, "fill:#f7f7f5;stroke:#ccc")
		if zone == "" {
			zone = "zone not known"
		}
		d.canvas.Text(left+cardGap, d.zonesTop+zoneTitleOffset, "zone "+zone, styleHeading)
	}
	d.drawMemberConnections()
	for i, zone := range d.zones {
		left := d.zoneLeft(i) + cardGap
		for n, m := range d.membersIn(zone) {
			d.drawMember(m, left, d.memberTop(n))
		}
		top := d.memberTop(d.memberRows)
		for n, s := range d.sidecarsIn(zone) {
			d.drawSidecar(s, left+(n%d.columns)*(cardWidth+cardGap), top+(n/d.columns)*(cardHeight+cardGap))
		}
	}
}

func (d *drawing) drawMemberConnections() {
	type point struct{ x, y int }
	var centres []point
	for i, zone := range d.zones {
		for n := range d.membersIn(zone) {
			centres = append(centres, point{d.zoneLeft(i) + d.zoneWidth/2, d.memberTop(n) + memberHeight/2})
		}
	}
	for i, from := range centres {
		for _, to := range centres[i+1:] {
			d.canvas.Line(from.x, from.y, to.x, to.y, "stroke:#999;stroke-width:2")
		}
	}
}

func (d *drawing) drawMember(m Member, x, y int) {
	width := d.zoneWidth - 2*cardGap
	fill, stroke := fillMember, "stroke:#4878a8;stroke-width:1"
	switch {
	case m.Unreachable != "" || m.Fault != "":
		fill, stroke = fillDown, "stroke:#a02020;stroke-width:2"
	case m.IsLeader:
		stroke = "stroke:#1c3c66;stroke-width:3"
	case !m.QuorumContact || !m.IsMember || len(m.StaleItems) > 0:
		fill = fillDegraded
	}
	d.canvas.Roundrect(x, y, width, memberHeight, 5, 5, "fill:"+fill+";"+stroke)
	d.canvas.Circle(x+width-14, y+14, 5, "fill:"+colorOf(d.members, m.Addr))
	role := "member "
	if m.IsLeader {
		role = "leader "
	}
	state := m.summary()
	if m.Unreachable == "" && m.Fault == "" {
		state = m.progress() // without the role, which is in the first line
	}
	d.canvas.Text(x+8, y+17, truncate(role+m.displayName(), width-44), styleHeading)
	d.canvas.Text(x+8, y+33, truncate(m.Addr, width-16), styleSmall)
	d.canvas.Text(x+8, y+49, truncate(state, width-16), styleSmall)
}

func (d *drawing) drawSidecar(s Sidecar, x, y int) {
	d.canvas.Roundrect(x, y, cardWidth, cardHeight, 4, 4, "fill:"+s.fillColor()+";stroke:#999")
	d.canvas.Rect(x, y+2, 5, cardHeight-4, "fill:"+colorOf(d.services, s.Service))
	d.canvas.Circle(x+cardWidth-10, y+11, 4, "fill:"+colorOf(d.members, s.FollowedMember))
	d.canvas.Text(x+10, y+15, truncate(s.displayName(), cardWidth-28), styleText)
	d.canvas.Text(x+10, y+29, truncate(strings.TrimSpace(s.Service+" "+s.ServerID), cardWidth-14), styleSmall)
	d.canvas.Text(x+10, y+43, truncate(s.cardState(), cardWidth-14), styleSmall)
}

// cardState returns a short text for the state of a sidecar and its server.
func (s Sidecar) cardState() string {
	state := s.State
	switch {
	case s.Unreachable != "":
		state = "sidecar unreachable"
	case s.Leaving:
		state = "sidecar leaving"
	case !s.Ready:
		state = "sidecar not ready"
	case s.State != stateReady && s.StateReason != "":
		state += ": " + s.StateReason
	}
	if stale := len(s.StaleItems); stale > 0 {
		state += fmt.Sprintf(", lags by %d", stale)
	}
	return state
}

func (d *drawing) drawRoutes() {
	d.canvas.Text(d.routesLeft, d.zonesTop+zoneTitleOffset, "routes", styleHeading)
	y := d.zonesTop + routesOffset
	for _, r := range d.Routes {
		d.canvas.Text(d.routesLeft, y+12, truncate(r.Host+r.Prefix, weightBarWidth), styleText)
		details := fmt.Sprintf("%s, %s, version %d, %g s, %d attempts", r.Name, r.Kind, r.Version, r.TimeoutS, r.MaxAttempts)
		d.canvas.Text(d.routesLeft, y+26, truncate(details, weightBarWidth+weightBarGap), styleSmall)
		d.drawWeights(r.Destinations, d.routesLeft+weightBarWidth+weightBarGap, y+2)
		y += routeRowHeight
	}
}

// drawWeights draws a bar that is divided by the weights of a route's destinations.
func (d *drawing) drawWeights(destinations []WeightedService, x, y int) {
	sum := 0.0
	for _, w := range destinations {
		from, to := int(sum*weightBarWidth), int((sum+w.Share)*weightBarWidth)
		sum += w.Share
		if to <= from {
			continue
		}
		d.canvas.Rect(x+from, y, to-from, weightBarHeight, "fill:"+colorOf(d.services, w.Service))
		d.canvas.Text(x+4+from, y+13, truncate(fmt.Sprintf("%s %.0f %%", w.Service, w.Share*100), to-from-6), styleSmall+";fill:white")
	}
}

func (d *drawing) drawWarnings(y, shown int) {
	heading := "all is well"
	if len(d.warnings) > 0 {
		heading = "what stands out"
	}
	d.canvas.Text(margin, y, heading, styleHeading)
	for i, warning := range d.warnings[:shown] {
		d.canvas.Text(margin, y+(i+1)*warningRowHeight, truncate(warning, d.width), styleText+";fill:#a02020")
	}
	if more := len(d.warnings) - shown; more > 0 {
		d.canvas.Text(margin, y+(shown+1)*warningRowHeight, fmt.Sprintf("and %d more", more), styleText)
	}
}
