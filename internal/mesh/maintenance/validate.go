package maintenance

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"cranegrade/internal/mesh/validation"
)

// Validate returns the first fault of a contract, or nil if there is none. The result does not depend on the current date.
func (c Contract) Validate() *validation.Fault {
	if fault := validation.Check(c); fault != nil {
		return fault
	}
	zone, err := time.LoadLocation(c.TimeZone)
	if err != nil || c.TimeZone == "Local" {
		return faultf("TimeZone", "is %q; wanted: a name of the IANA's database", c.TimeZone)
	}
	if len(c.Weekly)+len(c.Dates) == 0 {
		return faultf("Weekly", "is empty, and so is Dates: nothing would ever be approved")
	}
	if fault := c.validateWeekly(zone); fault != nil {
		return fault
	}
	if fault := c.validateDates(zone); fault != nil {
		return fault
	}
	return c.validateBarred(zone)
}

// faultf returns a fault of a field with a formatted text.
func faultf(field, format string, args ...any) *validation.Fault {
	return &validation.Fault{Field: field, Text: fmt.Sprintf(format, args...)}
}

// weekdayHours is a weekly window on one of its days, in minutes since midnight.
type weekdayHours struct {
	day      time.Weekday
	from, to int
	index    int // of the window in Contract.Weekly
}

func (c Contract) validateWeekly(zone *time.Location) *validation.Fault {
	var hours []weekdayHours
	for i, window := range c.Weekly {
		from, to, fault := window.minutes(fmt.Sprintf("Weekly[%d]", i))
		if fault != nil {
			return fault
		}
		for _, day := range window.Days {
			hours = append(hours, weekdayHours{weekdayByName[day], from, to, i})
		}
	}
	slices.SortStableFunc(hours, func(a, b weekdayHours) int {
		return cmp.Or(cmp.Compare(a.day, b.day), cmp.Compare(a.from, b.from))
	})
	if fault := validateNoOverlap(hours); fault != nil {
		return fault
	}
	return validateClockChanges(hours, zone)
}

// minutes parses both ends of a window, in minutes since midnight. field is the window's path in the contract.
func (w WeeklyWindow) minutes(field string) (from, to int, fault *validation.Fault) {
	from, validFrom := parseTimeOfDay(w.From)
	to, validTo := parseTimeOfDay(w.To)
	switch {
	case !validFrom || from == minutesPerDay:
		fault = faultf(field+".From", "is %q; wanted: a time of day, as 22:00", w.From)
	case !validTo:
		fault = faultf(field+".To", "is %q; wanted: a time of day, as 23:30, or 24:00", w.To)
	case from == to:
		fault = faultf(field+".To", "is the same as From: the window is empty")
	case from > to:
		fault = faultf(field+".To", "is before From: hours over midnight are written as two windows, "+
			"one to 24:00 and one of the next day from 00:00")
	}
	return from, to, fault
}

// validateNoOverlap returns a fault if hours overlap. They must be sorted by day and start.
func validateNoOverlap(hours []weekdayHours) *validation.Fault {
	for i := 1; i < len(hours); i++ {
		a, b := hours[i-1], hours[i]
		if a.day == b.day && b.from < a.to {
			return faultf(fmt.Sprintf("Weekly[%d]", max(a.index, b.index)), "overlaps Weekly[%d] on %s", min(a.index, b.index), a.day)
		}
	}
	return nil
}

// Validation considers the clock changes of these years, whatever the current year, so that a valid contract stays valid.
var (
	clockChangesFrom  = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	clockChangesUntil = time.Date(2037, 1, 1, 0, 0, 0, 0, time.UTC)
)

// validateClockChanges returns a fault if a weekly window begins or ends in an hour that a clock change skips or repeats.
func validateClockChanges(hours []weekdayHours, zone *time.Location) *validation.Fault {
	for _, change := range clockChanges(zone, clockChangesFrom, clockChangesUntil) {
		day := change.In(zone)
		for _, h := range hours {
			if day.Weekday() != h.day {
				continue
			}
			for _, edge := range []struct {
				field  string
				minute int
			}{{"From", h.from}, {"To", h.to}} {
				if problem := localTimeFault(zone, day.Year(), day.Month(), day.Day(), edge.minute); problem != "" {
					return faultf(fmt.Sprintf("Weekly[%d].%s", h.index, edge.field), "%s on %s, when the clocks change", problem, day.Format(dayLayout))
				}
			}
		}
	}
	return nil
}

func (c Contract) validateDates(zone *time.Location) *validation.Fault {
	var intervals []Interval
	for i, window := range c.Dates {
		field := fmt.Sprintf("Dates[%d]", i)
		interval, fault := window.interval(field, zone)
		if fault != nil {
			return fault
		}
		for n, other := range intervals {
			if interval.overlaps(other) {
				return faultf(field, "overlaps Dates[%d]", n)
			}
		}
		intervals = append(intervals, interval)
	}
	return nil
}

// interval parses both ends of a window. field is the window's path in the contract.
func (w DateWindow) interval(field string, zone *time.Location) (i Interval, fault *validation.Fault) {
	if i.From, fault = parseMinute(field+".From", w.From, zone); fault != nil {
		return i, fault
	}
	if i.To, fault = parseMinute(field+".To", w.To, zone); fault != nil {
		return i, fault
	}
	if !i.From.Before(i.To) {
		return i, faultf(field+".To", "is not after From: the window is empty")
	}
	return i, nil
}

// parseMinute parses a date and local time to the minute. No clock change may skip or repeat it.
func parseMinute(field, text string, zone *time.Location) (time.Time, *validation.Fault) {
	t, err := time.ParseInLocation(minuteLayout, text, zone)
	if err != nil {
		return t, faultf(field, "is %q; wanted: a minute, as 2026-12-31 22:00", text)
	}
	problem := localTimeFault(zone, t.Year(), t.Month(), t.Day(), t.Hour()*60+t.Minute())
	if t.Format(minuteLayout) != text { // time.ParseInLocation moved it out of the hour that a clock change skips
		problem = text[len(dayLayout)+1:] + " does not exist"
	}
	if problem != "" {
		return t, faultf(field, "%s %s", text[:len(dayLayout)], problem)
	}
	return t, nil
}

func (c Contract) validateBarred(zone *time.Location) *validation.Fault {
	for i, days := range c.Barred {
		field := fmt.Sprintf("Barred[%d]", i)
		from, err := time.ParseInLocation(dayLayout, days.From, zone)
		if err != nil {
			return faultf(field+".From", "is %q; wanted: a day, as 2026-12-31", days.From)
		}
		to, err := time.ParseInLocation(dayLayout, days.To, zone)
		if err != nil {
			return faultf(field+".To", "is %q; wanted: a day, as 2026-12-31", days.To)
		}
		if to.Before(from) {
			return faultf(field+".To", "is before From: no day is barred")
		}
	}
	return nil
}

// clockShifts are the amounts by which clocks are assumed to change when looking for a repeated local time.
var clockShifts = []time.Duration{-2 * time.Hour, -time.Hour, -30 * time.Minute, 30 * time.Minute, time.Hour, 2 * time.Hour}

// localTimeFault returns a text if a clock change skips or repeats a local minute, and otherwise "". Minute 24*60 is
// the first minute of the next day.
func localTimeFault(zone *time.Location, year int, month time.Month, day, minute int) string {
	t := time.Date(year, month, day, 0, minute, 0, 0, zone)
	want := time.Date(year, month, day, 0, minute, 0, 0, time.UTC)
	if t.Format(minuteLayout) != want.Format(minuteLayout) {
		return want.Format(timeOfDayLayout) + " does not exist"
	}
	for _, shift := range clockShifts {
		if t.Add(shift).Format(minuteLayout) == t.Format(minuteLayout) {
			return want.Format(timeOfDayLayout) + " comes twice"
		}
	}
	return ""
}

// clockChanges returns times on the days on which the clocks of a zone change. It returns two times per change, half
// a day apart, with the change between them, so that one of them is on the day of the change.
func clockChanges(zone *time.Location, from, to time.Time) (changes []time.Time) {
	const step = 12 * time.Hour
	_, lastOffset := from.In(zone).Zone()
	for t := from; t.Before(to); t = t.Add(step) {
		if _, offset := t.In(zone).Zone(); offset != lastOffset {
			lastOffset = offset
			changes = append(changes, t, t.Add(-step))
		}
	}
	return changes
}
