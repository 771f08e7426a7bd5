// Package audit judges the four rules of the protocol's page from the records of the stand-ins: what
// callers, servers and the registry saw. It is pure, and takes no word of the program that is judged.
package audit

import (
	"fmt"
	"sort"
	"time"

	"cranegrade/internal/fake"
)

// Options are the limits that the rules leave to the settings.
type Options struct {
	Slack     time.Duration // that an answer may be late, and added to Stop; 0: 70 ms
	StopAfter time.Duration // within which sends to a drained server have to stop; 0: 250 ms
}

// Verdict is what became of the requests, and the rules that were broken.
type Verdict struct {
	Requests  int `json:"requests"`
	Served    int `json:"served"`
	Refused   int `json:"refused"`
	Failed    int `json:"failed"`
	Lost      int `json:"lost"`
	Twice     int `json:"twice"`
	DrainLate int `json:"drain_late"`
	ColdOver  int `json:"cold_over"`
	Taken     int `json:"taken,omitempty"` // requests that were at a process when the rig killed or stopped it

	// LatestAfterDrain is the longest time after a server was told to be drained that a request's first
	// byte still reached it.
	LatestAfterDrain time.Duration `json:"-"`
	Details          []string      `json:"-"` // of the first breaches
}

// Clean says that no rule was broken.
func (v Verdict) Clean() bool { return v.Lost+v.Twice+v.DrainLate+v.ColdOver == 0 }

// maxDetails bounds what is told of breaches.
const maxDetails = 20

func (v *Verdict) breach(count *int, format string, args ...any) {
	*count++
	if len(v.Details) < maxDetails {
		v.Details = append(v.Details, fmt.Sprintf(format, args...))
	}
}

// Judge judges a finished run.
func Judge(r fake.History, o Options) Verdict {
	if o.Slack == 0 {
		o.Slack = 70 * time.Millisecond
	}
	if o.StopAfter == 0 {
		o.StopAfter = 250 * time.Millisecond
	}
	var v Verdict
	byID := map[string][]fake.Arrival{}
	for _, a := range r.Arrivals {
		byID[a.ID] = append(byID[a.ID], a)
	}
	known := map[string]bool{}
	out := outages{}
	for _, x := range r.Outages {
		out[x.Process] = append(out[x.Process], x)
	}
	for _, x := range r.Exchanges {
		known[x.ID] = true
		v.answers(x, byID[x.ID], out, o)
	}
	ids := make([]string, 0, len(byID))
	for id := range byID {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	for _, id := range ids {
		if l := byID[id]; !known[id] {
			v.breach(&v.Twice, "%q for %.100q reached %s, but no caller sent it", id, l[0].Path, l[0].Server)
		} else {
			v.effects(r.Classes, l, o)
		}
	}
	v.drains(r, out, o)
	v.colds(r)
	return v
}

// outages are those of each process.
type outages map[string][]fake.Outage

// during says that a process was dead or stopped at some time of a span.
func (l outages) during(via string, from, to time.Duration) bool {
	for _, x := range l[via] {
		if x.From <= to && (x.To == 0 || x.To >= from) {
			return true
		}
	}
	return false
}

// answers judges the first rule on a request, and the promise of a refusal, and counts its end. What the rig took from a
// process by killing or stopping it is not that process's to answer.
func (v *Verdict) answers(x fake.Exchange, arrivals []fake.Arrival, out outages, o Options) {
	v.Requests++
	switch x.Status {
	case 200:
		v.Served++
	case 429, 503:
		v.Refused++
	default:
		v.Failed++
	}
	switch {
	case !x.Connected:
		// Nobody had taken it.
	case (x.Status == 0 || x.AnsweredAt > x.Deadline+o.Slack) && out.during(x.Process, x.SentAt, x.Deadline+o.Slack):
		v.Taken++
	case x.Status == 0:
		v.breach(&v.Lost, "%s (%s) got no answer: %v", x.ID, x.Class, x.Err)
	case x.AnsweredAt > x.Deadline+o.Slack:
		v.breach(&v.Lost, "%s (%s) was answered %v after its deadline", x.ID, x.Class, x.AnsweredAt-x.Deadline)
	case x.ForeignBody:
		v.breach(&v.Lost, "%s (%s) was served what no server made for it", x.ID, x.Class)
	case x.SurplusBytes:
		v.breach(&v.Lost, "%s (%s) was answered with more than an answer", x.ID, x.Class)
	case x.Resent && len(arrivals) > 0 && arrivals[0].FirstByteAt < x.SentAt:
		v.breach(&v.Lost, "%s (%s) was taken, and its connection closed without an answer", x.ID, x.Class)
	}
}

// mayHaveRun says that nothing proves to the node that an arrival did not run.
func mayHaveRun(a fake.Arrival) bool { return !a.Unprocessed }

// effects judges the second rule on the arrivals of one request.
func (v *Verdict) effects(classes map[string]fake.Class, l []fake.Arrival, o Options) {
	sort.SliceStable(l, func(i, j int) bool { return l[i].LastByteAt < l[j].LastByteAt })
	c := classes[l[0].Class]
	if c.Effect == fake.Safe {
		return
	}
	for i, later := range l {
		for _, before := range l[:i] {
			switch {
			case !mayHaveRun(before):
				continue
			case c.Effect == fake.Unsafe:
				v.breach(&v.Twice, "%s (%s) went to %s though it may have run at %s", later.ID, c.Name, later.Server, before.Server)
			case !sameScope(c.Scope, before, later):
				v.breach(&v.Twice, "%s (%s) went to %s, which does not know the keys of %s", later.ID, c.Name, later.Server, before.Server)
			case later.LastByteAt > before.LastByteAt+c.Window+o.Slack:
				v.breach(&v.Twice, "%s (%s) went to %s %v after it went to %s", later.ID, c.Name, later.Server, later.LastByteAt-before.LastByteAt, before.Server)
			default:
				continue
			}
			break
		}
	}
}

func sameScope(s fake.Scope, a, b fake.Arrival) bool {
	switch s {
	case fake.ScopeAll:
		return true
	case fake.ScopeZone:
		return a.Zone == b.Zone
	}
	return a.Zone == b.Zone && a.Cell == b.Cell
}

// Refusals judges refusals: one promises that trying again does no harm.
func refusals(v *Verdict, r fake.History) {
	harm := map[string]fake.Arrival{}
	for _, a := range r.Arrivals {
		c := r.Classes[a.Class]
		if mayHaveRun(a) && (c.Effect == fake.Unsafe || c.Effect == fake.Keyed && c.Scope != fake.ScopeAll) {
			harm[a.ID] = a
		}
	}
	for _, x := range r.Exchanges {
		if a, is := harm[x.ID]; is && (x.Status == 429 || x.Status == 503) {
			v.breach(&v.Twice, "%s (%s) was refused though it may have run at %s", x.ID, x.Class, a.Server)
		}
	}
}

// drains judges the third rule.
func (v *Verdict) drains(r fake.History, out outages, o Options) {
	refusals(v, r)
	asked := map[string]fake.Exchange{}
	if len(out) > 0 {
		for _, x := range r.Exchanges {
			asked[x.ID] = x
		}
	}
	type place struct{ list, server string }
	told := map[place][]fake.ListUpdate{}
	for _, t := range r.Updates { // in the order of time
		p := place{t.List, t.Server}
		told[p] = append(told[p], t)
	}
	for _, a := range r.Arrivals {
		l, is := told[place{a.Host, a.Server}]
		if !is {
			l = told[place{"", a.Server}]
		}
		// Since when the server has been told to be gone without a break.
		since, gone := time.Duration(0), false
		for _, t := range l {
			if t.At > a.FirstByteAt {
				break
			}
			if t.Withdrawn && !gone {
				since = t.At
			}
			gone = t.Withdrawn
		}
		if !gone {
			continue
		}
		after := a.FirstByteAt - since
		// A process that was stopped could not read what it was told. It has the same time once it goes on.
		if x := asked[a.ID]; out.during(x.Process, since, a.FirstByteAt) && out.during(x.Process, a.FirstByteAt-o.StopAfter-o.Slack, a.FirstByteAt) {
			continue
		}
		v.LatestAfterDrain = max(v.LatestAfterDrain, after)
		if after > o.StopAfter+o.Slack {
			v.breach(&v.DrainLate, "%s (%s) went to %s %v after that was told to drain", a.ID, a.Class, a.Server, after)
		}
	}
}

// colds judges the fourth rule: a server was pushed over by work of which two thirds came after its
// start was told.
func (v *Verdict) colds(r fake.History) {
	start := map[string]fake.ServerStart{}
	for _, s := range r.Starts {
		start[fmt.Sprint(s.Server, s.Incarnation)] = s
	}
	for _, f := range r.WarmupCrashes {
		toldAt, is := time.Duration(0), false
		for _, t := range r.Updates {
			if t.Server == f.Server && t.Incarnation == f.Incarnation && !is {
				toldAt, is = t.At, true
			}
		}
		span := start[fmt.Sprint(f.Server, f.Incarnation)].SlowStart.OverloadWindow
		all, knowing := 0, 0
		for _, a := range r.Arrivals {
			if a.Server == f.Server && a.Incarnation == f.Incarnation && a.LastByteAt <= f.At && a.LastByteAt >= f.At-span {
				all++
				if is && a.FirstByteAt >= toldAt {
					knowing++
				}
			}
		}
		if is && 3*knowing >= 2*all {
			v.breach(&v.ColdOver, "%s was pushed over by %d requests within %v, %d of them after its start was told", f.Server, all, span, knowing)
		}
	}
}
