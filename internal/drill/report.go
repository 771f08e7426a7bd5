package drill

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"cranegrade/internal/audit"
	"cranegrade/internal/testfleet"
)

// figure is one of a drill's own results.
type figure struct {
	name    string // its key in JSON
	value   any
	meaning string // with the unit, as far as the name does not say it
}

// addFigure adds a figure. Durations become milliseconds; floating-point values are rounded to three decimals.
func (env *environment) addFigure(name string, value any, meaning string) {
	if d, ok := value.(time.Duration); ok {
		value = float64(d.Microseconds()) / 1000
	}
	if f, ok := value.(float64); ok {
		value = float64(int64(f*1000+0.5)) / 1000
	}
	env.figures = append(env.figures, figure{name, value, meaning})
}

// failf adds a failure of the drill's own expectations.
func (env *environment) failf(format string, args ...any) {
	env.failures = append(env.failures, fmt.Sprintf(format, args...))
}

// addTrafficTables adds the tables of streams and servers.
func (env *environment) addTrafficTables() {
	h := env.recorder.History()
	env.tables = append(env.tables, testfleet.StreamTable(h), testfleet.ServerTable(h))
}

// addStreamTable adds the table of streams.
func (env *environment) addStreamTable() {
	env.tables = append(env.tables, testfleet.StreamTable(env.recorder.History()))
}

// writeReport prints the result of the audit, the drill's figures and what is wrong.
func writeReport(w io.Writer, name string, r audit.Result, env *environment) error {
	if env.json {
		return writeJSONReport(w, name, r, env)
	}
	writeTextReport(w, r, env)
	return nil
}

func writeJSONReport(w io.Writer, name string, r audit.Result, env *environment) error {
	text, err := json.Marshal(r)
	if err != nil {
		return err
	}
	object := map[string]any{}
	if err := json.Unmarshal(text, &object); err != nil {
		return err
	}
	object["drill"], object["seed"] = name, env.seed
	if env.schedule != "" {
		object["schedule"] = json.RawMessage(env.schedule)
	}
	for _, f := range env.figures {
		object[f.name] = f.value
	}
	if wrong := slices.Concat(r.Violations, env.failures); len(wrong) > 0 {
		object["wrong"] = wrong
	}
	return json.NewEncoder(w).Encode(object)
}

func writeTextReport(w io.Writer, r audit.Result, env *environment) {
	if !env.measuresOnly {
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
		fmt.Fprintln(t, "requests\tserved\trefused\tfailed\tlost\ttwice\tdrain_late\tcold_over\t")
		fmt.Fprintf(t, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t\n",
			r.Requests, r.Served, r.Rejected, r.Failed, r.Lost, r.Duplicates, r.LateDrains, r.SlowStartOverloads)
		_ = t.Flush() // on a terminal
	}
	if len(env.figures) > 0 {
		fmt.Fprintln(w)
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		for _, f := range env.figures {
			fmt.Fprintf(t, "%s\t%v\t%s\n", f.name, f.value, f.meaning)
		}
		_ = t.Flush() // on a terminal
	}
	for _, table := range env.tables {
		fmt.Fprintf(w, "\n%s", table)
	}
	fmt.Fprintln(w)
	for _, d := range r.Violations {
		fmt.Fprintln(w, "broken:", d)
	}
	for _, f := range env.failures {
		fmt.Fprintln(w, "wrong:", f)
	}
	if r.Passed() && len(env.failures) == 0 && !env.measuresOnly {
		fmt.Fprintln(w, "all four rules kept")
	}
}
