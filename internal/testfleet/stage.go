package testfleet

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
)

// The classes of all drills. Their windows and deadlines are short, so that short drills reach them.
var (
	ReadClass     = fake.Class{Name: "read", Effect: fake.Safe, Deadline: 2 * time.Second}
	AlertClass    = fake.Class{Name: "alert-send", Effect: fake.Keyed, Scope: fake.ScopeAll, Window: 10 * time.Second, Deadline: 3 * time.Second}
	CampaignClass = fake.Class{Name: "campaign-send", Effect: fake.Keyed, Scope: fake.ScopeCell, Window: 10 * time.Second, Deadline: 3 * time.Second}
	OrderClass    = fake.Class{Name: "order", Effect: fake.Unsafe, Deadline: 3 * time.Second}
	Classes       = []fake.Class{ReadClass, AlertClass, CampaignClass, OrderClass}
	SlowStart     = fake.SlowStart{InitialShare: 0.33, Duration: 4 * time.Second, OverloadFactor: 4, OverloadWindow: 1500 * time.Millisecond}
	// Usual is a server that serves 400 requests a second.
	DefaultServer = fake.ServerConfig{Concurrency: 4, QueueLimit: 16, ServiceTime: 10 * time.Millisecond, QueueSlowdown: 0.02, SlowStart: SlowStart, Zone: "a"}
)

// InCell is the same in a cell.
func InCell(s fake.ServerConfig, cell int) fake.ServerConfig {
	s.Cell = cell
	return s
}

// PoolText is a pool of the operator's file, but for where its list comes from.
func PoolConfig(name, source string, more ...string) string {
	var b strings.Builder
	fmt.Fprintf(&b, "\n[[pools]]\nname = %q\n%s\nattempts = 4\n", name, source)
	for _, m := range more {
		fmt.Fprintln(&b, m)
	}
	fmt.Fprintf(&b, "connections = { idle = \"2s\", connect_within = \"250ms\" }\n")
	fmt.Fprintf(&b, "cold = { from = %v, warm_after = %q, fall_multiple = %v, fall_for = %q }\n", SlowStart.InitialShare, SlowStart.Duration, SlowStart.OverloadFactor, SlowStart.OverloadWindow)
	for _, c := range Classes {
		effect := map[fake.Effect]string{fake.Safe: "safe", fake.Keyed: "keyed", fake.Unsafe: "unsafe"}[c.Effect]
		fmt.Fprintf(&b, "[[pools.classes]]\nname = %q\neffect = %q\naim = \"500ms\"\ndeadline = %q\nlate_share = 0.5\n", c.Name, effect, c.Deadline)
		if c.Effect == fake.Keyed {
			fmt.Fprintf(&b, "scope = %q\nwindow = %q\n", map[fake.Scope]string{fake.ScopeAll: "all", fake.ScopeCell: "cell"}[c.Scope], c.Window)
		}
	}
	return b.String()
}

// Times are the sorted times to the answers of a stream's requests that were sent within a span.
func Latencies(l []fake.Exchange, keep func(fake.Exchange) bool) (t []time.Duration) {
	for _, x := range l {
		if keep(x) && x.Status == 200 {
			t = append(t, x.AnsweredAt-x.SentAt)
		}
	}
	slices.Sort(t)
	return t
}

func Quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// StreamTable tells what became of each stream.
func StreamTable(v fake.History) string {
	type row struct{ n, served, refused, failed int }
	rows := map[string]*row{}
	for _, x := range v.Exchanges {
		w := rows[x.Stream]
		if w == nil {
			w = &row{}
			rows[x.Stream] = w
		}
		w.n++
		switch x.Status {
		case 200:
			w.served++
		case 429, 503:
			w.refused++
		default:
			w.failed++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "stream\trequests\tserved\trefused\tfailed\tp50 ms\tp99 ms")
	for _, n := range slices.Sorted(maps.Keys(rows)) {
		w := rows[n]
		l := Latencies(v.Exchanges, func(x fake.Exchange) bool { return x.Stream == n })
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f\t%.1f\n", n, w.n, w.served, w.refused, w.failed,
			Quantile(l, 0.5).Seconds()*1000, Quantile(l, 0.99).Seconds()*1000)
	}
	t.Flush()
	return b.String()
}

// ServerTable tells what each server got.
func ServerTable(v fake.History) string {
	type row struct{ n, ran, repeats, away int }
	rows := map[string]*row{}
	for _, a := range v.Arrivals {
		w := rows[a.Server]
		if w == nil {
			w = &row{}
			rows[a.Server] = w
		}
		w.n++
		if a.Ran {
			w.ran++
		}
		if a.Duplicate {
			w.repeats++
		}
		if a.Unprocessed {
			w.away++
		}
	}
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "server\tattempts\tran\trepeats dropped\tturned away")
	for _, n := range slices.Sorted(maps.Keys(rows)) {
		w := rows[n]
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\n", n, w.n, w.ran, w.repeats, w.away)
	}
	t.Flush()
	return b.String()
}
