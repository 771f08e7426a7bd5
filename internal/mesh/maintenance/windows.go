package maintenance

import (
	"slices"
	"time"
)

// Interval is a half-open interval: To is not part of it.
type Interval struct {
	From time.Time `json:"From"`
	To   time.Time `json:"To"`
}

// Contains reports whether other is completely within the interval.
func (i Interval) Contains(other Interval) bool {
	return !other.From.Before(i.From) && !other.To.After(i.To)
}

func (i Interval) overlaps(other Interval) bool {
	return i.From.Before(other.To) && other.From.Before(i.To)
}

func (i Interval) isEmpty() bool { return !i.From.Before(i.To) }

// Windows returns the approved and the barred intervals that overlap a span, each in order. Adjacent intervals are
// merged. The contract must be valid; with an unknown time zone there are no intervals.
func (c Contract) Windows(span Interval) (approved, barred []Interval) {
	zone, err := time.LoadLocation(c.TimeZone)
	if err != nil {
		return nil, nil
	}
	approved = append(c.weeklyIntervals(span, zone), c.dateIntervals(zone)...)
	barred = withinSpan(c.barredIntervals(zone), span)
	return withinSpan(subtractIntervals(approved, barred), span), barred
}

// weeklyIntervals returns the weekly windows around a span. It begins a day before the span, so that an interval that
// began on the day before and continues past midnight is returned whole after merging.
func (c Contract) weeklyIntervals(span Interval, zone *time.Location) (intervals []Interval) {
	first := span.From.In(zone)
	for n := -1; ; n++ {
		day := time.Date(first.Year(), first.Month(), first.Day()+n, 0, 0, 0, 0, zone)
		if day.After(span.To) {
			return intervals
		}
		for _, window := range c.Weekly {
			if !slices.ContainsFunc(window.Days, func(name string) bool { return weekdayByName[name] == day.Weekday() }) {
				continue
			}
			from, _ := parseTimeOfDay(window.From)
			to, _ := parseTimeOfDay(window.To)
			intervals = append(intervals, Interval{minuteOfDay(day, from, zone), minuteOfDay(day, to, zone)})
		}
	}
}

func (c Contract) dateIntervals(zone *time.Location) (intervals []Interval) {
	for _, window := range c.Dates {
		from, _ := time.ParseInLocation(minuteLayout, window.From, zone)
		to, _ := time.ParseInLocation(minuteLayout, window.To, zone)
		intervals = append(intervals, Interval{from, to})
	}
	return intervals
}

func (c Contract) barredIntervals(zone *time.Location) (intervals []Interval) {
	for _, days := range c.Barred {
		from, _ := time.ParseInLocation(dayLayout, days.From, zone)
		to, _ := time.ParseInLocation(dayLayout, days.To, zone)
		intervals = append(intervals, Interval{from, minuteOfDay(to, minutesPerDay, zone)})
	}
	return intervals
}

// minuteOfDay returns the time at which local clocks show the given minute of a day. That differs from midnight plus
// the minutes on a day on which the clocks change.
func minuteOfDay(day time.Time, minute int, zone *time.Location) time.Time {
	return time.Date(day.Year(), day.Month(), day.Day(), 0, minute, 0, 0, zone)
}

// withinSpan sorts and merges intervals, and returns those that overlap a span.
func withinSpan(intervals []Interval, span Interval) []Interval {
	return slices.DeleteFunc(mergeIntervals(intervals), func(i Interval) bool { return !i.To.After(span.From) || !i.From.Before(span.To) })
}

// mergeIntervals sorts intervals, in place, and merges those that touch or overlap. It drops empty ones.
func mergeIntervals(intervals []Interval) (merged []Interval) {
	slices.SortFunc(intervals, func(a, b Interval) int { return a.From.Compare(b.From) })
	for _, i := range intervals {
		if i.isEmpty() {
			continue
		}
		if n := len(merged); n > 0 && !i.From.After(merged[n-1].To) {
			merged[n-1].To = laterOf(merged[n-1].To, i.To)
			continue
		}
		merged = append(merged, i)
	}
	return merged
}

// subtractIntervals returns the parts of intervals that are not in any of the others.
func subtractIntervals(intervals, others []Interval) (rest []Interval) {
	others = mergeIntervals(slices.Clone(others))
	for _, i := range mergeIntervals(intervals) {
		for _, other := range others {
			if !i.overlaps(other) {
				continue
			}
			if other.From.After(i.From) {
				rest = append(rest, Interval{i.From, other.From})
			}
			i.From = other.To
			if i.isEmpty() {
				break
			}
		}
		if !i.isEmpty() {
			rest = append(rest, i)
		}
	}
	return rest
}

// intersectIntervals returns the parts that are in both of two lists of intervals.
func intersectIntervals(a, b []Interval) (common []Interval) {
	for _, i := range a {
		for _, other := range b {
			overlap := Interval{laterOf(i.From, other.From), earlierOf(other.To, i.To)}
			if !overlap.isEmpty() {
				common = append(common, overlap)
			}
		}
	}
	return mergeIntervals(common)
}
