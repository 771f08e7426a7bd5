package main

import (
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

// zonesUsage is the help of the command, as part of the program's.
const zonesUsage = `  cranegrade zones -config FILE [-config FILE...] [-day YYYY-MM-DD] [-by pool,class,customer] [-format table|json|html]
                              what crossed zones, what the budgets still allow, and what each place takes:
                              of the running node, or else from the file that it keeps; of several nodes together (docs/zones.md);
                              default: all days, -by pool,class, -format table;
                              for example: cranegrade zones -config deploy/examples/zones.toml -by pool,customer
`

// zonesCommand prints the traffic between zones.
var zonesCommand = program.Command{Name: "zones", Usage: zonesUsage, Run: showZones}

// secondsPerDay is the length of a day of an account, which is one of Unix time.
const secondsPerDay = 86400

// openZoneStore opens the file that keeps a zone account.
func openZoneStore(path string) (node.ZoneStore, error) { return store.Open(path) }

// zonesOptions are the flags of the zones command.
type zonesOptions struct {
	configs []string       // files of the nodes
	day     string         // YYYY-MM-DD; empty for all days
	by      report.GroupBy // what rows are told apart by
	format  string         // table, json or html
}

// parseZonesFlags reads the command line. It reports false if that is wrong.
func parseZonesFlags(args []string) (o zonesOptions, ok bool) {
	flags := flag.NewFlagSet("cranegrade zones", flag.ContinueOnError)
	flags.SetOutput(io.Discard)
	flags.Func("config", "", func(path string) error {
		o.configs = append(o.configs, path)
		return nil
	})
	flags.StringVar(&o.day, "day", "", "")
	by := flags.String("by", "pool,class", "")
	flags.StringVar(&o.format, "format", "table", "")
	if err := flags.Parse(args); err != nil || len(o.configs) == 0 || flags.NArg() > 0 {
		return o, false
	}
	if _, err := time.Parse(time.DateOnly, o.day); o.day != "" && err != nil {
		return o, false
	}
	o.by, ok = parseBy(*by)
	return o, ok
}

// parseBy reads what rows are told apart by. It reports false if a word is unknown.
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

// showZones prints the zones of some nodes together. If some nodes can't be read, it prints the others and fails.
func showZones(args []string, stdout, stderr io.Writer) int {
	o, ok := parseZonesFlags(args)
	write := map[string]func(report.Report) error{
		"table": func(r report.Report) error { return r.WriteTable(stdout) },
		"json":  func(r report.Report) error { return r.WriteJSON(stdout) },
		"html":  func(r report.Report) error { return page.Write(stdout, r) },
	}[o.format]
	if !ok || write == nil {
		fmt.Fprint(stderr, "usage:\n"+zonesUsage)
		return program.ExitUsage
	}
	reports, err := readZones(o.configs)
	if len(reports) > 0 {
		merged := report.Merge(reports)
		merged.Rows = sumRows(merged.Rows, o.day, o.by)
		err = errors.Join(err, write(merged))
	}
	if err != nil {
		fmt.Fprintf(stderr, "cranegrade: %v\n", err)
		return program.ExitFailed
	}
	return program.ExitOK
}

// readZones returns the reports of the nodes that have these files, and an error that names those without one.
func readZones(configs []string) (reports []report.Report, err error) {
	for _, config := range configs {
		r, failed := zonesOf(config)
		if failed == nil {
			reports = append(reports, r)
		} else if len(configs) > 1 {
			failed = fmt.Errorf("left out: %s: %w", config, failed)
		}
		err = errors.Join(err, failed)
	}
	return reports, err
}

// zonesOf returns the report of the running node that has this file, or one from the file that the node keeps.
func zonesOf(config string) (report.Report, error) {
	plan, err := operator.Load(config)
	if err != nil {
		return report.Report{}, err
	}
	if plan.Zones == nil {
		return report.Report{}, fmt.Errorf("%s has no [zones]", config)
	}
	var inspectErr error
	if plan.Admin != "" {
		var r report.Report
		if r, inspectErr = inspectZones("http://" + plan.Admin + "/zones"); inspectErr == nil {
			return r, nil
		}
	}
	switch {
	case plan.Zones.State == "" && inspectErr != nil:
		return report.Report{}, fmt.Errorf("the node can't be asked, and keeps no file: %w", inspectErr)
	case plan.Zones.State == "":
		return report.Report{}, fmt.Errorf(
			"%s names neither an admin address to ask the node at nor a state file of [zones]", config)
	}
	return storedZones(plan, inspectErr)
}

// inspectZones returns the report of a running node.
func inspectZones(url string) (report.Report, error) {
	inspected, err := inspect(http.MethodGet, url)
	if err != nil {
		return report.Report{}, err
	}
	if inspected.statusCode != http.StatusOK {
		return report.Report{}, fmt.Errorf("asking the node: it answers %s", inspected.status)
	}
	return report.Parse(inspected.body)
}

// storedZones returns a report from the file that a node keeps. inspectErr says why the node could not be asked: if its file
// can't be opened either, both errors are returned.
func storedZones(plan operator.Plan, inspectErr error) (report.Report, error) {
	s, err := store.Open(plan.Zones.State)
	if err != nil {
		return report.Report{}, errors.Join(inspectErr, err)
	}
	state, _, err := s.Load()
	_ = s.Close() // nothing was written
	if err != nil {
		return report.Report{}, err
	}
	accounting := zone.NewAccounting(plan.Zones.Limits)
	accounting.Restore(state)
	now := time.Now()
	return report.Report{
		Node:    plan.Name,
		Home:    plan.Zones.Config.Home,
		At:      now,
		Budgets: report.Budgets(accounting.Remaining(time.Duration(now.UnixNano()))),
		Rows:    report.Rows(accounting.Rows(), "", report.GroupBy{Pool: true, Class: true, Customer: true}),
	}, nil
}

// sumRows returns the rows of a day, or of all days if it is empty, summed over what is not told apart.
func sumRows(rows []report.Row, day string, by report.GroupBy) []report.Row {
	var traffic []zone.Row
	for _, r := range rows {
		at, err := time.Parse(time.DateOnly, r.Day)
		if err != nil {
			continue
		}
		traffic = append(traffic, zone.Row{
			Key: zone.Key{
				Day:      at.Unix() / secondsPerDay,
				Pair:     zone.Pair{From: r.From, To: r.To},
				Pool:     r.Pool,
				Class:    r.Class,
				Customer: r.Customer,
			},
			Traffic: zone.Traffic{Requests: r.Requests, Out: r.Out, In: r.In},
		})
	}
	return report.Rows(traffic, day, by)
}
