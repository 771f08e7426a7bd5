package scale

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// The size to design for, as operations give it.
const (
	targetNodes      = 13_000
	targetServices   = 2_100
	targetCalls      = 580_000.0 // a second
	targetChanges    = 53_000.0  // a day
	targetRestarts   = 3_500.0   // a day, planned or not
	targetFailures   = 22.0      // a day
	targetMachines   = 23        // set aside for the control plane
	budgetProcessor  = 0.016     // cores of a node, for control
	budgetMemory     = 256e6     // bytes, the same
	budgetBytes      = 4_000.0   // a second, the same
	budgetInForce    = 5.0       // seconds from an acknowledgement to in force everywhere
	budgetAdded      = 1.3       // milliseconds added to a call, for 99 in 100
	secondsOfDay     = 86_400.0
	targetRestartsPS = (targetRestarts + targetFailures) / secondsOfDay
	targetChangesPS  = targetChanges / secondsOfDay
)

// What operations do not give, assumed.
const (
	assumedKeyedShare   = 0.2  // of calls, as in today's mix
	assumedRoutes       = 6300 // three a service
	assumedHeartbeat    = 1.5  // seconds
	assumedKeyWindow    = 62.0 // seconds that a key is held: KeyWindowS and its slack
	assumedMemberCores  = 8.0
	assumedMemberLink   = 125e6 // bytes a second: 1 Gbit/s
	assumedMemberMemory = 16e9  // bytes
	assumedGarbage      = 1.5   // memory of a process for each byte of its heap after a collection
	keysPerSecond       = targetCalls * assumedKeyedShare
)

// What the code bounds, from reading it.
const (
	codeMostKeys  = 200_000 // ticket.MostHeld
	codeMembers   = 3       // that serve sidecars where the loss of one machine is to be borne: others of 23 would wait
	codeRefresh   = 5.0     // seconds between two tellings of a sidecar's record
	codeSidecarMB = 8e6     // bytes of a sidecar's process beside what grows, where no comparison tells it
)

// Need is one figure of a role at the size to design for.
type Need struct {
	Role, What string
	Unit       Unit
	Value      float64
	Factor     float64 // by which it may be off, by the fit's error; NaN: not known
	Budget     float64 // 0: none is set
	From       string  // the slope, and how the value follows
	Assumed    string  // what is not measured in it; empty: nothing
	Missing    bool    // a figure that it needs was not measured, and counts as 0
}

// Verdict is whether a need is within its budget.
type Verdict string

// Verdicts.
const (
	NoBudget   Verdict = ""
	Fits       Verdict = "fits"
	Exceeds    Verdict = "🟥 **does not fit**"
	Open       Verdict = "open: the fit's error holds the budget"
	Unmeasured Verdict = "not measured"
)

// Verdict holds for all values that the fit's error allows.
func (n Need) Verdict() Verdict {
	factor := n.Factor
	if math.IsNaN(factor) {
		factor = 1
	}
	switch {
	case n.Missing:
		return Unmeasured
	case n.Budget == 0:
		return NoBudget
	case n.Value/factor > n.Budget:
		return Exceeds
	case n.Value*factor <= n.Budget:
		return Fits
	}
	return Open
}

const notMeasured = "not measured: "

// basis holds the fits that needs are made of.
type basis struct {
	all     []Results
	missing []string
}

// at extrapolates a metric to the target's size. Where all values are 0 or below, which is less than can be measured, it is 0.
func (b *basis) at(name string) (y, factor float64, from string) {
	g := Grow(metricNamed(name), b.all)
	if !g.Fitted {
		b.missing = append(b.missing, name)
		return 0, math.NaN(), notMeasured + name
	}
	y, factor = g.Fit.At(targetNodes)
	return y, factor, fmt.Sprintf("%s, %s to %d sidecars", name, exponent(g), targetNodes)
}

// median is a metric's median over all sizes, for what does not grow: a difference of two phases is small beside either at large
// sizes, and errs far.
func (b *basis) median(name string) (y float64, from string) {
	g := Grow(metricNamed(name), b.all)
	if len(g.Points) == 0 {
		b.missing = append(b.missing, name)
		return 0, notMeasured + name
	}
	var ys []float64
	for _, p := range g.Points {
		ys = append(ys, p.Y)
	}
	slices.Sort(ys)
	y = max(0, (ys[(len(ys)-1)/2]+ys[len(ys)/2])/2)
	return y, fmt.Sprintf("%s, median of %d: %s", name, len(ys), format(y, g.Metric.Unit))
}

// Varied is what grows with services or routes, by the measurements that vary them.
type Varied struct {
	Name, By string
	Unit     Unit
	Points   []Point
	Fit      LineFit
	Fitted   bool
}

// VariedFits are the fits by services and routes.
func VariedFits(all []Results) []Varied {
	services := func(m Measurement) float64 { return float64(m.Services) }
	routes := func(m Measurement) float64 { return float64(m.Routes) }
	return []Varied{
		vary(all, sidecarProcessorIdle, "service", services),
		vary(all, sidecarHeap, "service", services),
		vary(all, sidecarPerChange, "service", services),
		vary(all, sidecarPerChange, "route", routes),
		vary(all, sidecarHeap, "route", routes),
		vary(all, leaderPerChange, "route", routes),
	}
}

// vary fits a metric over the measurements that differ in one respect, with those of the same size that do not differ.
func vary(all []Results, name, by string, x func(Measurement) float64) Varied {
	v := Varied{Name: name, By: by, Unit: metricNamed(name).Unit}
	for _, r := range all {
		if len(r.Experiment.VaryServices)+len(r.Experiment.VaryRoutes) == 0 {
			continue
		}
		for _, m := range r.Measurements {
			other := m.Varied && (m.Services == r.Experiment.Services) == (by == "service")
			if y, ok := metricNamed(name).of(m); ok && !other && m.Size == r.Experiment.VarySize {
				v.Points = append(v.Points, Point{x(m), y})
			}
		}
	}
	v.Fit, v.Fitted = FitLine(v.Points)
	return v
}

// mostServices is the largest number of services among the runs by size.
func (b *basis) mostServices() float64 {
	most := 1
	for _, r := range b.all {
		most = max(most, r.Experiment.Services)
	}
	return float64(most)
}

// varied is one of VariedFits.
func (b *basis) varied(name, by string) (slope, intercept float64, from string) {
	for _, v := range VariedFits(b.all) {
		if v.Name == name && v.By == by {
			if v.Fitted {
				return max(0, v.Fit.Slope), max(0, v.Fit.Intercept), fmt.Sprintf("%s, %s a %s", name, format(v.Fit.Slope, v.Unit), by)
			}
			break
		}
	}
	b.missing = append(b.missing, name+" by "+by)
	return 0, 0, notMeasured + name + " by " + by
}

// Needs works all needs out. missing are the figures that no run gave.
func Needs(all []Results) (l []Need, missing []string) {
	b := &basis{all: all}
	l = append(l, b.sidecarNeeds()...)
	l = append(l, b.leaderNeeds()...)
	l = append(l, b.homeNeeds()...)
	l = append(l, b.delayNeeds()...)
	for i := range l {
		l[i].Missing = strings.Contains(l[i].From, notMeasured)
	}
	return l, b.missing
}

func (b *basis) sidecarNeeds() (l []Need) {
	const role = "sidecar"
	heard, factor, from := b.at(sidecarHeardIdle)
	l = append(l, Need{Role: role, What: "bytes heard with no event: records of all others", Unit: BytesPerSecond, Value: heard, Factor: factor, Budget: budgetBytes, From: from})
	said, factor, from := b.at(sidecarSaidIdle)
	l = append(l, Need{Role: role, What: "bytes said with no event", Unit: BytesPerSecond, Value: said, Factor: factor, Budget: budgetBytes, From: from})
	change, from := b.median(sidecarChangeBytes)
	l = append(l, Need{
		Role: role, What: "bytes of changes, every one to every node", Unit: BytesPerSecond, Value: change * targetChangesPS, Factor: math.NaN(), Budget: budgetBytes,
		From: from + fmt.Sprintf(" × %.2f changes a second", targetChangesPS),
	})
	restart, from := b.median(sidecarRestartBytes)
	l = append(l, Need{
		Role: role, What: "bytes of restarts of servers", Unit: BytesPerSecond, Value: restart * targetRestartsPS, Factor: math.NaN(), Budget: budgetBytes,
		From: from + fmt.Sprintf(" × %.3f a second", targetRestartsPS),
	})
	idle, factor, from := b.at(sidecarProcessorIdle)
	l = append(l, Need{Role: role, What: "processor with no event: merging all records", Unit: Cores, Value: idle, Factor: factor, Budget: budgetProcessor, From: from})
	service, _, from := b.varied(sidecarProcessorIdle, "service")
	l = append(l, Need{
		Role: role, What: "processor of services with as few sidecars as were measured: an engine for each, and its list at each record", Unit: Cores,
		Value: service * targetServices, Factor: math.NaN(), Budget: budgetProcessor, From: from + fmt.Sprintf(" × %d", targetServices),
	})
	most := b.mostServices()
	l = append(l, Need{
		Role: role, What: "processor with no event, sidecars and services together", Unit: Cores, Value: idle * targetServices / most, Factor: math.NaN(), Budget: budgetProcessor,
		From: fmt.Sprintf("the row of no event × %d / %.0f services", targetServices, most), Assumed: "that the two multiply",
	})
	route, base, from := b.varied(sidecarPerChange, "route")
	l = append(l, Need{
		Role: role, What: "processor of changes: a plan of all routes for each", Unit: Cores, Value: (base + route*assumedRoutes) * targetChangesPS, Factor: math.NaN(),
		Budget: budgetProcessor, From: from + fmt.Sprintf(" × %d routes × %.2f changes a second", assumedRoutes, targetChangesPS), Assumed: "routes",
	})
	beat, from := b.median(sidecarPerHeartbeat)
	l = append(l, Need{
		Role: role, What: "processor of its server's heartbeats", Unit: Cores, Value: beat / assumedHeartbeat, Factor: math.NaN(), Budget: budgetProcessor,
		From: from + fmt.Sprintf(", every %.1f s", assumedHeartbeat), Assumed: "period",
	})
	claim, from := b.median(sidecarPerClaim)
	l = append(l, Need{
		Role: role, What: "processor of its own claims", Unit: Cores, Value: claim * keysPerSecond / targetNodes, Factor: math.NaN(), Budget: budgetProcessor,
		From: from + fmt.Sprintf(" × %.1f claims a second", keysPerSecond/targetNodes), Assumed: "share of keyed calls",
	})
	bytes, from := b.median(sidecarClaimBytes)
	l = append(l, Need{
		Role: role, What: "bytes of its own claims", Unit: BytesPerSecond, Value: bytes * keysPerSecond / targetNodes, Factor: math.NaN(), Budget: budgetBytes,
		From: from + fmt.Sprintf(" × %.1f claims a second", keysPerSecond/targetNodes), Assumed: "share of keyed calls",
	})
	return append(l, b.sidecarMemory())
}

func (b *basis) sidecarMemory() Need {
	peer, ok := FitLine(Grow(metricNamed(sidecarHeap), b.all).Points)
	if !ok {
		b.missing = append(b.missing, sidecarHeap)
	}
	service, _, _ := b.varied(sidecarHeap, "service")
	route, _, _ := b.varied(sidecarHeap, "route")
	heap := max(0, peer.At(targetNodes)) + service*targetServices + route*assumedRoutes
	return Need{
		Role: "sidecar", What: "memory: directory, services, routes", Unit: Bytes, Value: codeSidecarMB + assumedGarbage*heap, Factor: math.NaN(), Budget: budgetMemory,
		From: fmt.Sprintf("heap of %s a sidecar known, %s a service, %s a route; × %.1f, and %s of the process", format(peer.Slope, Bytes), format(service, Bytes),
			format(route, Bytes), assumedGarbage, format(codeSidecarMB, Bytes)), Assumed: "routes, share of garbage, process",
	}
}

func (b *basis) leaderNeeds() (l []Need) {
	const role = "leader"
	claim, from := b.median(leaderPerClaim)
	l = append(l, Need{
		Role: role, What: "processor of claims, all at one leader", Unit: Cores, Value: claim * keysPerSecond, Factor: math.NaN(), Budget: assumedMemberCores,
		From: from + fmt.Sprintf(" × %.0f a second", keysPerSecond), Assumed: "share of keyed calls; cores of a machine",
	})
	bytes, from := b.median(leaderClaimBytes)
	l = append(l, Need{
		Role: role, What: "bytes said of claims", Unit: BytesPerSecond, Value: bytes * keysPerSecond, Factor: math.NaN(), Budget: assumedMemberLink,
		From: from + fmt.Sprintf(" × %.0f a second", keysPerSecond), Assumed: "share of keyed calls; link of a machine",
	})
	l = append(l, Need{
		Role: role, What: "keys held, of which the code bounds the number", Unit: Count, Value: keysPerSecond * assumedKeyWindow, Factor: math.NaN(), Budget: codeMostKeys,
		From: fmt.Sprintf("%.0f claims a second × %.0f s", keysPerSecond, assumedKeyWindow), Assumed: "all",
	})
	change, factor, from := b.at(leaderPerChange)
	l = append(l, Need{
		Role: role, What: "processor of changes", Unit: Cores, Value: change * targetChangesPS, Factor: factor, Budget: assumedMemberCores,
		From: from + fmt.Sprintf(" × %.2f a second", targetChangesPS), Assumed: "cores of a machine",
	})
	return l
}

// homeNeeds are of a control-plane member that is home to its part of the sidecars. Frames grow with the product of all
// sidecars and those whose home it is, so they are worked out for each frame.
func (b *basis) homeNeeds() (l []Need) {
	const role = "home of many"
	heard, _, heardFrom := b.at(sidecarHeardIdle)
	frame, frameFrom := b.perFrame()
	for _, homes := range []float64{codeMembers, targetMachines} {
		sidecars := targetNodes / homes
		of := fmt.Sprintf("with %.0f homes of %.0f sidecars", homes, sidecars)
		l = append(l, Need{
			Role: role, What: "bytes said with no event, " + of, Unit: BytesPerSecond, Value: heard * sidecars, Factor: math.NaN(),
			Budget: assumedMemberLink, From: heardFrom + fmt.Sprintf(" × %.0f", sidecars), Assumed: "link of a machine",
		})
		frames := targetNodes / codeRefresh * sidecars
		l = append(l, Need{
			Role: role, What: "processor with no event, " + of, Unit: Cores, Value: frame * frames, Factor: math.NaN(), Budget: assumedMemberCores,
			From: frameFrom + fmt.Sprintf(" × %.3g frames a second", frames), Assumed: "cores of a machine",
		})
	}
	memory, ok := FitLine(Grow(metricNamed(followerResident), b.all).Points)
	if !ok {
		b.missing = append(b.missing, followerResident)
	}
	l = append(l, Need{
		Role: role, What: "memory, with no keys", Unit: Bytes, Value: memory.At(targetNodes), Factor: math.NaN(), Budget: assumedMemberMemory,
		From: fmt.Sprintf("%s a sidecar of the mesh, with a third of them at home", format(memory.Slope, Bytes)), Assumed: "memory of a machine",
	})
	return l
}

// perFrame is a follower's processor time for each record that it tells one sidecar, by the line through the points of all
// sizes: frames a second against processor.
func (b *basis) perFrame() (coreSeconds float64, from string) {
	var l []Point
	for _, r := range b.all {
		for _, m := range r.Measurements {
			if y, ok := metricNamed(followerProcessorIdle).of(m); ok && !m.Varied {
				n := float64(m.Size)
				l = append(l, Point{n / codeRefresh * n / float64(r.Experiment.Registers), y})
			}
		}
	}
	f, ok := FitLine(l)
	if !ok {
		b.missing = append(b.missing, followerProcessorIdle)
		return 0, notMeasured + followerProcessorIdle
	}
	return max(0, f.Slope), fmt.Sprintf("%s, %s a frame", followerProcessorIdle, format(f.Slope, CoreSeconds))
}

func (b *basis) delayNeeds() (l []Need) {
	const role = "whole"
	after, factor, from := b.at(delayInForce)
	l = append(l, Need{Role: role, What: "change in force everywhere, longest", Unit: Seconds, Value: after / 1000, Factor: factor, Budget: budgetInForce, From: from})
	granted, from := b.median(delayGranted)
	l = append(l, Need{
		Role: role, What: "a keyed call's wait for its claim, 99 in 100, on loopback", Unit: Milliseconds, Value: granted, Factor: math.NaN(), Budget: budgetAdded,
		From: from, Assumed: "that the whole budget is the claim's",
	})
	out, from := b.median(crashToOut)
	l = append(l, Need{Role: role, What: "a crashed server out everywhere", Unit: Seconds, Value: out, Factor: math.NaN(), From: from + ", at the runs' heartbeat; three heartbeats and 0.5 s of it are the code's"})
	start, factor, from := b.at(startAll)
	l = append(l, Need{Role: role, What: "start of all at once", Unit: Seconds, Value: start, Factor: factor, From: from})
	return l
}
