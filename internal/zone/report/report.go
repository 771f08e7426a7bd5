// Package report formats a node's zone status: the state of localities, the remaining budgets, and the account. It writes a
// report as tables for a terminal or as JSON, and parses that JSON; package page writes it as HTML. The package must never
// read a clock, or do I/O except through the writer that it is given. The names in the JSON are part of the interface to
// users and tools.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"cranegrade/internal/zone"
)

// Report is a snapshot of a node's zone status.
type Report struct {
	Node       string                `json:"node"`
	Home       string                `json:"home"`
	At         time.Time             `json:"at"`
	Localities map[string][]Locality `json:"pools,omitempty"` // by pool
	Budgets    []Budget              `json:"budgets,omitempty"`
	Rows       []Row                 `json:"account"`
}

// Locality is the state of a locality as seen by one pool of a node.
type Locality struct {
	Zone      string  `json:"zone"`
	Priority  int     `json:"priority"`
	Servers   int     `json:"servers"`
	Capacity  float64 `json:"units"` // sum of the servers' sizes, reduced during their slow start
	Limit     float64 `json:"limit"` // on this node's calls in flight there
	InFlight  int     `json:"calls"`
	Unhealthy bool    `json:"sick,omitempty"`
}

// Budget is what a pair of zones may still send. A field is zone.Unlimited where there is no limit.
type Budget struct {
	From         string `json:"from"`
	To           string `json:"to"`
	RequestsHour int64  `json:"requests_hour"`
	RequestsDay  int64  `json:"requests_day"`
	BytesHour    int64  `json:"bytes_hour"`
	BytesDay     int64  `json:"bytes_day"`
}

// Row is a line of the account.
type Row struct {
	Day      string `json:"day"` // as time.DateOnly, UTC
	Pool     string `json:"pool,omitempty"`
	From     string `json:"from"`
	To       string `json:"to"`
	Class    string `json:"class,omitempty"`
	Customer string `json:"customer,omitempty"`
	Requests int64  `json:"requests"`
	Out      int64  `json:"bytes_out"`
	In       int64  `json:"bytes_in"`
}

// Localities converts the localities of a pool for a report.
func Localities(statuses []zone.LocalityStatus) []Locality {
	var localities []Locality
	for _, status := range statuses {
		localities = append(localities, Locality{
			Zone:      status.Locality.Zone,
			Priority:  status.Locality.Priority,
			Servers:   status.Servers,
			Capacity:  status.Capacity,
			Limit:     status.Limit,
			InFlight:  status.InFlight,
			Unhealthy: status.Unhealthy,
		})
	}
	return localities
}

// Budgets converts the remaining budgets for a report, ordered by zones.
func Budgets(remaining map[zone.Pair]zone.Remaining) []Budget {
	var budgets []Budget
	for pair, r := range remaining {
		budgets = append(budgets, Budget{
			From:         pair.From,
			To:           pair.To,
			RequestsHour: r.RequestsHour,
			RequestsDay:  r.RequestsDay,
			BytesHour:    r.BytesHour,
			BytesDay:     r.BytesDay,
		})
	}
	sortBudgets(budgets)
	return budgets
}

// sortBudgets orders budgets by the zones of their pairs.
func sortBudgets(budgets []Budget) {
	slices.SortFunc(budgets, func(a, b Budget) int { return strings.Compare(a.From+"\x00"+a.To, b.From+"\x00"+b.To) })
}

// GroupBy selects the columns by which rows are grouped, in addition to day and pair of zones.
type GroupBy struct{ Pool, Class, Customer bool }

// key returns a key with the columns that are not grouped by cleared.
func (g GroupBy) key(key zone.Key) zone.Key {
	if !g.Pool {
		key.Pool = ""
	}
	if !g.Class {
		key.Class = ""
	}
	if !g.Customer {
		key.Customer = ""
	}
	return key
}

// Rows converts the rows of an account for a report: those of one day, formatted as time.DateOnly, or of all days if day is
// "". Rows of the same group are added up.
func Rows(rows []zone.Row, day string, groupBy GroupBy) []Row {
	if day != "" {
		rows = slices.DeleteFunc(slices.Clone(rows), func(r zone.Row) bool { return formatDay(r.Day) != day })
	}
	var result []Row
	for _, r := range zone.Aggregate(rows, groupBy.key) {
		result = append(result, Row{
			Day:      formatDay(r.Day),
			Pool:     r.Pool,
			From:     r.Pair.From,
			To:       r.Pair.To,
			Class:    r.Class,
			Customer: r.Customer,
			Requests: r.Requests,
			Out:      r.Out,
			In:       r.In,
		})
	}
	return result
}

// secondsPerDay is the length of a day of the account. Unix time has no leap seconds.
const secondsPerDay = 24 * 60 * 60

// formatDay formats a day, in days since 1970-01-01 UTC, as time.DateOnly.
func formatDay(day int64) string { return time.Unix(day*secondsPerDay, 0).UTC().Format(time.DateOnly) }

// WriteJSON writes the report as JSON.
func (r Report) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(r)
}

// Parse decodes a report from the output of WriteJSON.
func Parse(text []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, fmt.Errorf("reading a report of zones: %w", err)
	}
	return r, nil
}

// Merge combines the reports of several nodes into one: budgets are added up, rows are concatenated, pools are named
// NODE/POOL, and the time is the earliest one. A single report is returned unchanged.
func Merge(reports []Report) Report {
	if len(reports) == 1 {
		return reports[0]
	}
	merged := Report{Localities: map[string][]Locality{}}
	budgets := map[zone.Pair]Budget{}
	var nodes, homes []string
	for _, r := range reports {
		nodes = append(nodes, r.Node)
		if !slices.Contains(homes, r.Home) {
			homes = append(homes, r.Home)
		}
		if merged.At.IsZero() || r.At.Before(merged.At) {
			merged.At = r.At
		}
		for pool, localities := range r.Localities {
			merged.Localities[r.Node+"/"+pool] = localities
		}
		for _, budget := range r.Budgets {
			pair := zone.Pair{From: budget.From, To: budget.To}
			if sum, found := budgets[pair]; found {
				budget = addBudgets(sum, budget)
			}
			budgets[pair] = budget
		}
		merged.Rows = append(merged.Rows, r.Rows...)
	}
	merged.Node = strings.Join(nodes, ", ")
	merged.Home = strings.Join(homes, ", ")
	merged.Budgets = slices.AppendSeq(merged.Budgets, maps.Values(budgets))
	sortBudgets(merged.Budgets)
	return merged
}

// addBudgets adds up the remaining budgets of two nodes for one pair.
func addBudgets(a, b Budget) Budget {
	return Budget{
		From:         a.From,
		To:           a.To,
		RequestsHour: addRemaining(a.RequestsHour, b.RequestsHour),
		RequestsDay:  addRemaining(a.RequestsDay, b.RequestsDay),
		BytesHour:    addRemaining(a.BytesHour, b.BytesHour),
		BytesDay:     addRemaining(a.BytesDay, b.BytesDay),
	}
}

// addRemaining adds the remaining amounts of two nodes. The sum is unlimited if either of them is.
func addRemaining(a, b int64) int64 {
	if a < 0 || b < 0 {
		return zone.Unlimited
	}
	return a + b
}

// CrossZoneShare returns the share of requests that crossed zones, among those whose zones are both known. It returns 0 if
// there are none.
func (r Report) CrossZoneShare() float64 {
	var all, crossed int64
	for _, row := range r.Rows {
		if row.From == "" || row.To == "" {
			continue
		}
		all += row.Requests
		if row.From != row.To {
			crossed += row.Requests
		}
	}
	if all == 0 {
		return 0
	}
	return float64(crossed) / float64(all)
}

// FormatRemaining formats a remaining amount, or a dash if there is no limit.
func FormatRemaining(n int64) string {
	if n < 0 {
		return "-"
	}
	return strconv.FormatInt(n, 10)
}
