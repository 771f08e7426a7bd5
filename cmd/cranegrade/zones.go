package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"cranegrade/internal/node"
	"cranegrade/internal/operator"
	"cranegrade/internal/program"
	"cranegrade/internal/zone"
	"cranegrade/internal/zone/page"
	"cranegrade/internal/zone/report"
	"cranegrade/internal/zone/store"
)

const zonesUsage = `  cranegrade zones -config FILE [-config FILE...] [-day YYYY-MM-DD] [-by pool,class,customer] [-format table|json|html]
                              what crossed zones, what the budgets still allow, and what each place takes:
                              of the running node, or else from the file that it keeps; of several nodes together (docs/zones.md)
`

var zonesCommand = program.Command{Name: "zones", Usage: zonesUsage, Run: showZones}

// openZoneStore opens the file that keeps the account.
func openZoneStore(path string) (node.ZoneStore, error) { return store.Open(path) }

func showZones(args []string, stdout, stderr io.Writer) int {
	flags := flag.NewFlagSet("cranegrade zones", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	var configs []string
	flags.Func("config", "", func(s string) error { configs = append(configs, s); return nil })
	day, by, format := flags.String("day", "", ""), flags.String("by", "pool,class", ""), flags.String("format", "table", "")
	err := flags.Parse(args)
	apart, known := parseBy(*by)
	if _, bad := time.Parse(time.DateOnly, *day); err != nil || len(configs) == 0 || flags.NArg() > 0 || !known || *day != "" && bad != nil {
		fmt.Fprint(stderr, "usage:\n"+zonesUsage)
		return 2
	}
	write := map[string]func(report.Report) error{
		"table": func(r report.Report) error { return r.WriteTable(stdout) },
		"json":  func(r report.Report) error { return r.WriteJSON(stdout) },
		"html":  func(r report.Report) error { return page.Write(stdout, r) },
	}[*format]
	if write == nil {
		fmt.Fprint(stderr, "usage:\n"+zonesUsage)
		return 2
	}
	var l []report.Report
	for _, config := range configs {
		r, bad := zonesOf(config)
		if bad == nil {
			l = append(l, r)
		} else if len(configs) > 1 {
			bad = fmt.Errorf("left out: %s: %w", config, bad)
		}
		err = errors.Join(err, bad)
	}
	if len(l) > 0 {
		r := report.Merge(l)
		r.Rows = summed(r.Rows, *day, apart)
		err = errors.Join(err, write(r))
	}
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return 1
	}
	return 0
}

// parseBy reads what rows are told apart by.
func parseBy(s string) (by report.GroupBy, ok bool) {
	for _, word := range strings.Split(s, ",") {
		switch word {
		case "":
		case "pool":
			by.Pool = true
		case "class":
			by.Class = true
		case "customer":
			by.Customer = true
		default:
			return by, false
		}
	}
	return by, true
}

// zonesOf asks the running node, and reads the file that it keeps if there is none.
func zonesOf(config string) (report.Report, error) {
	plan, err := operator.Load(config)
	if err != nil {
		return report.Report{}, err
	}
	if plan.Zones == nil {
		return report.Report{}, fmt.Errorf("%s has no [zones]", config)
	}
	var asked error
	if plan.Admin != "" {
		var r report.Report
		if r, asked = askZones("http://" + plan.Admin + "/zones"); asked == nil {
			return r, nil
		}
	}
	if plan.Zones.State == "" {
		if asked != nil {
			return report.Report{}, fmt.Errorf("the node can't be asked, and keeps no file: %w", asked)
		}
		return report.Report{}, fmt.Errorf("%s names neither an admin address to ask the node at nor a state file of [zones]", config)
	}
	s, err := store.Open(plan.Zones.State)
	if err != nil {
		return report.Report{}, errors.Join(asked, err)
	}
	defer s.Close()
	state, _, err := s.Load()
	if err != nil {
		return report.Report{}, err
	}
	book := zone.NewAccounting(plan.Zones.Limits)
	book.Restore(state)
	now := time.Now()
	return report.Report{
		Node: plan.Name, Home: plan.Zones.Config.Home, At: now, Budgets: report.Budgets(book.Remaining(time.Duration(now.UnixNano()))),
		Rows: report.Rows(book.Rows(), "", report.GroupBy{Pool: true, Class: true, Customer: true}),
	}, nil
}

// maxReport is the most bytes of a node's answer.
const maxReport = 64 << 20

func askZones(url string) (report.Report, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return report.Report{}, err
	}
	resp, err := http.DefaultClient.Do(q)
	if err != nil {
		return report.Report{}, fmt.Errorf("asking the node: %w", err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return report.Report{}, fmt.Errorf("asking the node: it answers %s", resp.Status)
	}
	text, err := io.ReadAll(io.LimitReader(resp.Body, maxReport))
	if err != nil {
		return report.Report{}, fmt.Errorf("asking the node: %w", err)
	}
	return report.Parse(text)
}

// summed are the rows of a day, added up over what is not told apart.
func summed(rows []report.Row, day string, by report.GroupBy) []report.Row {
	var l []zone.Row
	for _, r := range rows {
		at, err := time.Parse(time.DateOnly, r.Day)
		if err != nil {
			continue
		}
		l = append(l, zone.Row{
			Key:     zone.Key{Day: at.Unix() / 86400, Pair: zone.Pair{From: r.From, To: r.To}, Pool: r.Pool, Class: r.Class, Customer: r.Customer},
			Traffic: zone.Traffic{Requests: r.Requests, Out: r.Out, In: r.In},
		})
	}
	return report.Rows(l, day, by)
}
