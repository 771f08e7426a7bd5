package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"

	"cranegrade/internal/zone"
)

// WriteTable writes the report as tables for a terminal.
func (r Report) WriteTable(w io.Writer) error {
	fmt.Fprintf(w, "node %s, home zone %s; %.1f%% of requests crossed zones\n", r.Node, zone.DisplayName(r.Home), 100*r.CrossZoneShare())
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	r.writeLocalities(table)
	r.writeBudgets(table)
	r.writeRows(table)
	return table.Flush()
}

// writeLocalities writes one line for each locality of each pool.
func (r Report) writeLocalities(w io.Writer) {
	if len(r.Localities) == 0 {
		return
	}
	fmt.Fprint(w, "\npool\tzone\tpriority\tservers\tunits\tlimit\tcalls\t\t\n")
	for _, pool := range slices.Sorted(maps.Keys(r.Localities)) {
		for _, l := range r.Localities[pool] {
			health := ""
			if l.Unhealthy {
				health = "sick"
			}
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%.1f\t%.1f\t%d\t%s\t\n",
				pool, zone.DisplayName(l.Zone), l.Priority, l.Servers, l.Capacity, l.Limit, l.InFlight, health)
		}
	}
}

// writeBudgets writes one line for each budget.
func (r Report) writeBudgets(w io.Writer) {
	if len(r.Budgets) == 0 {
		return
	}
	fmt.Fprint(w, "\nleft from\tto\trequests, hour\trequests, day\tbytes, hour\tbytes, day\t\n")
	for _, b := range r.Budgets {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t\n",
			zone.DisplayName(b.From),
			zone.DisplayName(b.To),
			FormatRemaining(b.RequestsHour),
			FormatRemaining(b.RequestsDay),
			FormatRemaining(b.BytesHour),
			FormatRemaining(b.BytesDay))
	}
}

// writeRows writes one line for each row of the account.
func (r Report) writeRows(w io.Writer) {
	fmt.Fprint(w, "\nday\tpool\tfrom\tto\tclass\tcustomer\trequests\tbytes out\tbytes in\t\n")
	for _, row := range r.Rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%d\t%d\t\n", row.Day, row.Pool, zone.DisplayName(row.From), zone.DisplayName(row.To),
			row.Class, row.Customer, row.Requests, row.Out, row.In)
	}
}
