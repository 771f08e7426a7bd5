package testfleet

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
)

// Latencies returns the sorted times from sending to the response, of the successful exchanges that keep selects.
func Latencies(exchanges []fake.Exchange, keep func(fake.Exchange) bool) (latencies []time.Duration) {
	for _, x := range exchanges {
		if keep(x) && x.Status == http.StatusOK {
			latencies = append(latencies, x.AnsweredAt-x.SentAt)
		}
	}
	slices.Sort(latencies)
	return latencies
}

// Quantile returns a quantile, from 0 to 1, of sorted durations; 0 if there are none.
func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// streamCounts is a row of StreamTable.
type streamCounts struct{ requests, served, rejected, failed int }

// StreamTable returns a table of the outcomes and latencies of each stream.
func StreamTable(h fake.History) string {
	rows := map[string]*streamCounts{}
	for _, x := range h.Exchanges {
		row := rows[x.Stream]
		if row == nil {
			row = &streamCounts{}
			rows[x.Stream] = row
		}
		row.requests++
		switch x.Status {
		case http.StatusOK:
			row.served++
		case http.StatusTooManyRequests, http.StatusServiceUnavailable:
			row.rejected++
		default:
			row.failed++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "stream\trequests\tserved\trefused\tfailed\tp50 ms\tp99 ms")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		row := rows[name]
		latencies := Latencies(h.Exchanges, func(x fake.Exchange) bool { return x.Stream == name })
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", name, row.requests, row.served, row.rejected, row.failed,
			Quantile(latencies, 0.5).Seconds()*1000, Quantile(latencies, 0.99).Seconds()*1000)
	}
	_ = t.Flush() // into a builder
	return b.String()
}

// serverCounts is a row of ServerTable.
type serverCounts struct{ attempts, ran, duplicates, rejected int }

// ServerTable returns a table of what each server received.
func ServerTable(h fake.History) string {
	rows := map[string]*serverCounts{}
	for _, a := range h.Arrivals {
		row := rows[a.Server]
		if row == nil {
			row = &serverCounts{}
			rows[a.Server] = row
		}
		row.attempts++
		if a.Ran {
			row.ran++
		}
		if a.Duplicate {
			row.duplicates++
		}
		if a.Unprocessed {
			row.rejected++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tattempts\tran\trepeats dropped\tturned away")
	for _, name := range slices.Sorted(maps.Keys(rows)) {
		row := rows[name]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", name, row.attempts, row.ran, row.duplicates, row.rejected)
	}
	_ = t.Flush() // into a builder
	return b.String()
}
