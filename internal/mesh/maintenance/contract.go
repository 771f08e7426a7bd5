// Package night is when a machine may come out for maintenance, and what is done then (night service: the hours in which an
// exchange is left with few at its boards). Contracts approve hours; a plan says whether a machine may come out now and why
// not; an order is the agreed record of one coming out and back, step by step. It is pure.
package maintenance

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"cranegrade/internal/mesh/validation"
)

// Contract approves hours for the machines that its traffic runs over.
type Contract struct {
	Name          string `json:"Name" validate:"required,max=512"`
	ConfigVersion int64  `json:"ConfigVersion"`
	Covers        Scope  `json:"Covers"`
	TimeZone      string `json:"TimeZone" validate:"required,max=64"` // as the IANA's database names it
	// Weekly are hours of every week, Dates single spans; both by the contract's own clock. Together they are what is approved,
	// but for the days that are barred.
	Weekly []WeeklyWindow `json:"Weekly" validate:"max=64,dive"`
	Dates  []DateWindow   `json:"Dates" validate:"max=256,dive"`
	Barred []BarredDays   `json:"Barred" validate:"max=256,dive"`
	// MostOut bounds how many machines are out at once, LeastReady what part of a service's slots must stay ready, from 0 to 1.
	MostOut    OutLimits `json:"MostOut"`
	LeastReady float64   `json:"LeastReady" validate:"gte=0,lte=1"`
	Approvers  []string  `json:"Approvers" validate:"min=1,max=64,dive,required,max=128"`
}

// Scope says whose traffic a contract is about: of any of these services, into any of these zones, on any of these routes, of
// any service of these namespaces or of what lies within them. Nothing named: all traffic.
type Scope struct {
	Services   []string `json:"Services" validate:"max=256"`
	Zones      []string `json:"Zones" validate:"max=256"`
	Routes     []string `json:"Routes" validate:"max=1024"`
	Namespaces []string `json:"Namespaces,omitempty" validate:"max=256"`
}

// WeeklyWindow is hours of some days of the week. To may be 24:00; hours over midnight are written as two.
type WeeklyWindow struct {
	Days []string `json:"Days" validate:"min=1,max=7,dive,oneof=Mon Tue Wed Thu Fri Sat Sun"`
	From string   `json:"From" validate:"required"`
	To   string   `json:"To" validate:"required"`
}

// DateWindow is from one minute to another, as 2026-12-31 22:00.
type DateWindow struct {
	From string `json:"From" validate:"required"`
	To   string `json:"To" validate:"required"`
}

// BarredDays are whole days, both among them, as 2026-12-31.
type BarredDays struct {
	From string `json:"From" validate:"required"`
	To   string `json:"To" validate:"required"`
	Why  string `json:"Why" validate:"required,max=256"`
}

// OutLimits is how many machines may be out at once; 0: one.
type OutLimits struct {
	Service int `json:"Service" validate:"gte=0,lte=1000"`
	Zone    int `json:"Zone" validate:"gte=0,lte=1000"`
}

const (
	minuteLayout = "2006-01-02 15:04"
	dayLayout    = "2006-01-02"
)

// Clock changes of these years are looked at when a contract is checked: a call is right or wrong whenever it comes.
var clockChangesFrom, clockChangesUntil = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), time.Date(2037, 1, 1, 0, 0, 0, 0, time.UTC)

var weekdayByName = map[string]time.Weekday{"Sun": 0, "Mon": 1, "Tue": 2, "Wed": 3, "Thu": 4, "Fri": 5, "Sat": 6}

// Validate finds the first mistake; nil: there is none.
func (c Contract) Validate() *validation.Fault {
	if f := validation.Check(c); f != nil {
		return f
	}
	fault := func(field, format string, args ...any) *validation.Fault {
		return &validation.Fault{Field: field, Text: fmt.Sprintf(format, args...)}
	}
	zone, err := time.LoadLocation(c.TimeZone)
	if err != nil || c.TimeZone == "Local" {
		return fault("TimeZone", "is %q; wanted: a name of the IANA's database", c.TimeZone)
	}
	if len(c.Weekly)+len(c.Dates) == 0 {
		return fault("Weekly", "is empty, and so is Dates: nothing would ever be approved")
	}
	type minutes struct{ day, from, to, at int }
	var week []minutes
	for i, w := range c.Weekly {
		at := fmt.Sprintf("Weekly[%d]", i)
		from, okFrom := parseTimeOfDay(w.From)
		to, okTo := parseTimeOfDay(w.To)
		switch {
		case !okFrom || from == 24*60:
			return fault(at+".From", "is %q; wanted: a time of day, as 22:00", w.From)
		case !okTo:
			return fault(at+".To", "is %q; wanted: a time of day, as 23:30, or 24:00", w.To)
		case from == to:
			return fault(at+".To", "is the same as From: the window is empty")
		case from > to:
			return fault(at+".To", "is before From: hours over midnight are written as two windows, one to 24:00 and one of the next day from 00:00")
		}
		for _, d := range w.Days {
			week = append(week, minutes{int(weekdayByName[d]), from, to, i})
		}
	}
	sort.SliceStable(week, func(i, j int) bool {
		return week[i].day < week[j].day || week[i].day == week[j].day && week[i].from < week[j].from
	})
	for i := 1; i < len(week); i++ {
		if a, b := week[i-1], week[i]; a.day == b.day && b.from < a.to {
			return fault(fmt.Sprintf("Weekly[%d]", max(a.at, b.at)), "overlaps Weekly[%d] on %s", min(a.at, b.at), time.Weekday(a.day))
		}
	}
	for _, change := range clockChanges(zone, clockChangesFrom, clockChangesUntil) {
		for _, w := range week {
			day := change.In(zone)
			if int(day.Weekday()) != w.day {
				continue
			}
			for edge, m := range map[string]int{"From": w.from, "To": w.to} {
				if why := localTimeFault(zone, day.Year(), day.Month(), day.Day(), m); why != "" {
					return fault(fmt.Sprintf("Weekly[%d].%s", w.at, edge), "%s on %s, when the clocks change", why, day.Format(dayLayout))
				}
			}
		}
	}
	var spans []Interval
	for i, s := range c.Dates {
		at := fmt.Sprintf("Dates[%d]", i)
		var edges [2]time.Time
		for n, x := range []struct{ field, text string }{{".From", s.From}, {".To", s.To}} {
			t, err := time.ParseInLocation(minuteLayout, x.text, zone)
			if err != nil {
				return fault(at+x.field, "is %q; wanted: a minute, as 2026-12-31 22:00", x.text)
			}
			why := localTimeFault(zone, t.Year(), t.Month(), t.Day(), t.Hour()*60+t.Minute())
			if t.Format(minuteLayout) != x.text {
				why = x.text[len(dayLayout)+1:] + " does not exist"
			}
			if why != "" {
				return fault(at+x.field, "%s %s", x.text[:len(dayLayout)], why)
			}
			edges[n] = t
		}
		if !edges[0].Before(edges[1]) {
			return fault(at+".To", "is not after From: the window is empty")
		}
		for n, o := range spans {
			if edges[0].Before(o.To) && o.From.Before(edges[1]) {
				return fault(at, "overlaps Dates[%d]", n)
			}
		}
		spans = append(spans, Interval{edges[0], edges[1]})
	}
	for i, d := range c.Barred {
		at := fmt.Sprintf("Barred[%d]", i)
		from, err := time.ParseInLocation(dayLayout, d.From, zone)
		if err != nil {
			return fault(at+".From", "is %q; wanted: a day, as 2026-12-31", d.From)
		}
		to, err := time.ParseInLocation(dayLayout, d.To, zone)
		if err != nil {
			return fault(at+".To", "is %q; wanted: a day, as 2026-12-31", d.To)
		}
		if to.Before(from) {
			return fault(at+".To", "is before From: no day is barred")
		}
	}
	return nil
}

// parseTimeOfDay reads a time of day in minutes.
func parseTimeOfDay(s string) (int, bool) {
	if s == "24:00" {
		return 24 * 60, true
	}
	t, err := time.Parse("15:04", s)
	return t.Hour()*60 + t.Minute(), err == nil
}

// localTimeFault says that a local minute does not exist or comes twice; "": neither. 24:00 is the next day's first.
func localTimeFault(zone *time.Location, y int, m time.Month, d, minute int) string {
	t := time.Date(y, m, d, 0, minute, 0, 0, zone)
	want := time.Date(y, m, d, 0, minute, 0, 0, time.UTC)
	if t.Format(minuteLayout) != want.Format(minuteLayout) {
		return want.Format("15:04") + " does not exist"
	}
	for _, by := range []time.Duration{-2 * time.Hour, -time.Hour, -30 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour} {
		if t.Add(by).Format(minuteLayout) == t.Format(minuteLayout) {
			return want.Format("15:04") + " comes twice"
		}
	}
	return ""
}

// clockChanges are the days in which the clocks of a zone change, at some time of that day.
func clockChanges(zone *time.Location, from, to time.Time) (l []time.Time) {
	_, was := from.In(zone).Zone()
	for t := from; t.Before(to); t = t.Add(12 * time.Hour) {
		if _, is := t.In(zone).Zone(); is != was {
			was = is
			l = append(l, t, t.Add(-12*time.Hour)) // it was between the two
		}
	}
	return l
}

// Interval is from a time to a later one, which is no more in it.
type Interval struct {
	From time.Time `json:"From"`
	To   time.Time `json:"To"`
}

// Contains says that all of o is in it.
func (i Interval) Contains(o Interval) bool { return !o.From.Before(i.From) && !o.To.After(i.To) }

// Windows are the approved intervals that touch a span, in order, those that meet joined; and the days that are barred in it.
func (c Contract) Windows(span Interval) (approved, barred []Interval) {
	zone, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return nil, nil // it was checked when it was taken
	}
	at := func(day time.Time, minute int) time.Time {
		return time.Date(day.Year(), day.Month(), day.Day(), 0, minute, 0, 0, zone)
	}
	first := span.From.In(zone)
	for n := -1; ; n++ {
		day := time.Date(first.Year(), first.Month(), first.Day()+n, 0, 0, 0, 0, zone)
		if day.After(span.To) {
			break
		}
		for _, w := range c.Weekly {
			from, _ := parseTimeOfDay(w.From)
			to, _ := parseTimeOfDay(w.To)
			if slices.ContainsFunc(w.Days, func(d string) bool { return weekdayByName[d] == day.Weekday() }) {
				approved = append(approved, Interval{at(day, from), at(day, to)})
			}
		}
	}
	for _, s := range c.Dates {
		from, _ := time.ParseInLocation(minuteLayout, s.From, zone)
		to, _ := time.ParseInLocation(minuteLayout, s.To, zone)
		approved = append(approved, Interval{from, to})
	}
	for _, d := range c.Barred {
		from, _ := time.ParseInLocation(dayLayout, d.From, zone)
		to, _ := time.ParseInLocation(dayLayout, d.To, zone)
		barred = append(barred, Interval{from, at(to, 24*60)})
	}
	keep := func(l []Interval) []Interval {
		return slices.DeleteFunc(mergeIntervals(l), func(i Interval) bool { return !i.To.After(span.From) || !i.From.Before(span.To) })
	}
	barred = keep(barred)
	return keep(subtractIntervals(approved, barred)), barred
}

// mergeIntervals sorts intervals and joins those that meet or overlap.
func mergeIntervals(l []Interval) (out []Interval) {
	sort.Slice(l, func(i, j int) bool { return l[i].From.Before(l[j].From) })
	for _, i := range l {
		if !i.From.Before(i.To) {
			continue
		}
		if n := len(out); n > 0 && !i.From.After(out[n-1].To) {
			if i.To.After(out[n-1].To) {
				out[n-1].To = i.To
			}
			continue
		}
		out = append(out, i)
	}
	return out
}

// subtractIntervals is what of l is in none of off.
func subtractIntervals(l, off []Interval) (out []Interval) {
	for _, i := range mergeIntervals(l) {
		for _, o := range mergeIntervals(slices.Clone(off)) {
			if !o.To.After(i.From) || !o.From.Before(i.To) {
				continue
			}
			if o.From.After(i.From) {
				out = append(out, Interval{i.From, o.From})
			}
			i.From = o.To
			if !i.From.Before(i.To) {
				break
			}
		}
		if i.From.Before(i.To) {
			out = append(out, i)
		}
	}
	return out
}

// intersectIntervals is what is in each of two lists of intervals.
func intersectIntervals(a, b []Interval) (out []Interval) {
	for _, i := range a {
		for _, o := range b {
			x := Interval{i.From, i.To}
			if o.From.After(x.From) {
				x.From = o.From
			}
			if o.To.Before(x.To) {
				x.To = o.To
			}
			if x.From.Before(x.To) {
				out = append(out, x)
			}
		}
	}
	return mergeIntervals(out)
}
