// Package report words what a node holds of zones: as a table and as JSON; package page makes a page of it. It is pure.
package report

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/zone"
)

// Report is what a node holds of zones.
type Report struct {
	Node    string            `json:"node"`
	Home    string            `json:"home"`
	At      time.Time         `json:"at"`
	Pools   map[string][]Area `json:"pools,omitempty"`
	Budgets []Budget          `json:"budgets,omitempty"`
	Rows    []Row             `json:"account"`
}

// Area is a place as a pool sees it now.
type Area struct {
	Zone     string  `json:"zone"`
	Priority int     `json:"priority"`
	Servers  int     `json:"servers"`
	Units    float64 `json:"units"` // of servers, cold ones by their share
	Limit    float64 `json:"limit"` // own calls that it gets at a time
	Calls    int     `json:"calls"`
	Sick     bool    `json:"sick,omitempty"`
}

// Budget is what a pair may still send; -1: no limit.
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
	Day      string `json:"day"` // UTC
	Pool     string `json:"pool,omitempty"`
	From     string `json:"from"`
	To       string `json:"to"`
	Class    string `json:"class,omitempty"`
	Customer string `json:"customer,omitempty"`
	Requests int64  `json:"requests"`
	Out      int64  `json:"bytes_out"`
	In       int64  `json:"bytes_in"`
}

// Areas words a pool's places.
func Areas(l []zone.View) (out []Area) {
	for _, v := range l {
		out = append(out, Area{v.Place.Zone, v.Place.Priority, v.Servers, v.Units, v.Limit, v.Out, v.Sick})
	}
	return out
}

// Budgets words what pairs may still send, in order.
func Budgets(m map[zone.Pair][2][2]int64) (out []Budget) {
	for p, x := range m {
		out = append(out, Budget{p.From, p.To, x[0][0], x[0][1], x[1][0], x[1][1]})
	}
	sortBudgets(out)
	return out
}

func sortBudgets(l []Budget) {
	slices.SortFunc(l, func(x, y Budget) int { return strings.Compare(x.From+"\x00"+x.To, y.From+"\x00"+y.To) })
}

// By says what rows are told apart by, beside day and pair of zones.
type By struct{ Pool, Class, Customer bool }

// Rows words an account's rows of a day, or of all days if it is "", summed over what by leaves out.
func Rows(rows []zone.Row, day string, by By) (out []Row) {
	if day != "" {
		rows = slices.DeleteFunc(slices.Clone(rows), func(r zone.Row) bool { return date(r.Day) != day })
	}
	for _, r := range zone.Sum(rows, func(k zone.Key) zone.Key {
		if !by.Pool {
			k.Pool = ""
		}
		if !by.Class {
			k.Class = ""
		}
		if !by.Customer {
			k.Customer = ""
		}
		return k
	}) {
		out = append(out, Row{date(r.Day), r.Pool, r.Pair.From, r.Pair.To, r.Class, r.Customer, r.Requests, r.Out, r.In})
	}
	return out
}

func date(day int64) string { return time.Unix(day*86400, 0).UTC().Format(time.DateOnly) }

// JSON writes a report as JSON.
func (r Report) JSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(r)
}

// Read reads a report as JSON has it.
func Read(text []byte) (Report, error) {
	var r Report
	if err := json.Unmarshal(text, &r); err != nil {
		return Report{}, fmt.Errorf("reading a report of zones: %w", err)
	}
	return r, nil
}

// Merge is one report of several nodes: budgets and rows added up, the places of each node's pools by NODE/POOL, and
// the earliest time, since which any of them may have gone on.
func Merge(l []Report) Report {
	if len(l) == 1 {
		return l[0]
	}
	out := Report{Pools: map[string][]Area{}}
	budgets := map[[2]string]Budget{}
	plus := func(x, y int64) int64 {
		if x < 0 || y < 0 {
			return -1 // one without a limit: there is none in all
		}
		return x + y
	}
	var nodes, homes []string
	for _, r := range l {
		nodes = append(nodes, r.Node)
		if !slices.Contains(homes, r.Home) {
			homes = append(homes, r.Home)
		}
		if out.At.IsZero() || r.At.Before(out.At) {
			out.At = r.At
		}
		for name, areas := range r.Pools {
			out.Pools[r.Node+"/"+name] = areas
		}
		for _, b := range r.Budgets {
			if was, is := budgets[[2]string{b.From, b.To}]; is {
				b = Budget{
					b.From, b.To, plus(was.RequestsHour, b.RequestsHour), plus(was.RequestsDay, b.RequestsDay),
					plus(was.BytesHour, b.BytesHour), plus(was.BytesDay, b.BytesDay),
				}
			}
			budgets[[2]string{b.From, b.To}] = b
		}
		out.Rows = append(out.Rows, r.Rows...)
	}
	out.Node, out.Home = strings.Join(nodes, ", "), strings.Join(homes, ", ")
	for _, b := range budgets {
		out.Budgets = append(out.Budgets, b)
	}
	sortBudgets(out.Budgets)
	return out
}

// Across is the share of requests that crossed zones, of those whose zones are known; 0 of none.
func (r Report) Across() float64 {
	var all, across int64
	for _, x := range r.Rows {
		if x.From == "" || x.To == "" {
			continue
		}
		all += x.Requests
		if x.From != x.To {
			across += x.Requests
		}
	}
	if all == 0 {
		return 0
	}
	return float64(across) / float64(all)
}

// Table writes a report for a terminal.
func (r Report) Table(w io.Writer) error {
	fmt.Fprintf(w, "node %s, home zone %s; %.1f%% of requests crossed zones\n", r.Node, Name(r.Home), 100*r.Across())
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	pools := make([]string, 0, len(r.Pools))
	for p := range r.Pools {
		pools = append(pools, p)
	}
	slices.Sort(pools)
	if len(pools) > 0 {
		fmt.Fprint(t, "\npool\tzone\tpriority\tservers\tunits\tlimit\tcalls\t\t\n")
	}
	for _, p := range pools {
		for _, a := range r.Pools[p] {
			sick := ""
			if a.Sick {
				sick = "sick"
			}
			fmt.Fprintf(t, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%d\t%s\t\n", p, Name(a.Zone), a.Priority, a.Servers, a.Units, a.Limit, a.Calls, sick)
		}
	}
	if len(r.Budgets) > 0 {
		fmt.Fprint(t, "\nleft from\tto\trequests, hour\trequests, day\tbytes, hour\tbytes, day\t\n")
	}
	for _, b := range r.Budgets {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t\n", Name(b.From), Name(b.To), Left(b.RequestsHour), Left(b.RequestsDay), Left(b.BytesHour), Left(b.BytesDay))
	}
	fmt.Fprint(t, "\nday\tpool\tfrom\tto\tclass\tcustomer\trequests\tbytes out\tbytes in\t\n")
	for _, x := range r.Rows {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n", x.Day, x.Pool, Name(x.From), Name(x.To), x.Class, x.Customer, x.Requests, x.Out, x.In)
	}
	return t.Flush()
}

// Name is how a zone is called.
func Name(zone string) string {
	if zone == "" {
		return "(unknown)"
	}
	return zone
}

// Left words what is left of a limit.
func Left(n int64) string {
	if n < 0 {
		return "-"
	}
	return fmt.Sprint(n)
}
