package scale

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Limits of an experiment.
const (
	largestSize     = 13_000
	mostRegisters   = 9
	mostRealLines   = 60
	largestMemory   = 64 // GiB
	mostExperiment  = 1 << 20
	addressesPerNet = 250 // sidecars with addresses in one /24 of loopback
)

// Experiment is what a run measures.
type Experiment struct {
	Name string `toml:"name" json:"name"`
	// Sizes are numbers of sidecars, each measured by itself.
	Sizes []int `toml:"sizes" json:"sizes"`
	// Full is how many sidecars are hollow sidecars with their whole control side; the others only announce themselves and read
	// what they are told. One number for each size, or one for all; 0: all are full.
	Full []int `toml:"full" json:"full"`
	// Seeds choose which servers restart and where services stand; each size is measured once for each.
	Seeds []uint64 `toml:"seeds" json:"seeds"`
	// RepeatTo is the largest size that is measured with each seed; larger ones are measured with the first only. 0: no size is.
	RepeatTo int `toml:"repeat_to" json:"repeat_to"`
	// Phases are those that the sizes are measured in; idle comes first. Varied services and routes are measured in idle and
	// changes, the comparison in all but heartbeats.
	Phases    []string `toml:"phases" json:"phases"`
	Registers int      `toml:"registers" json:"registers"`
	// Services and Routes are numbers of each in the configuration.
	Services int `toml:"services" json:"services"`
	Routes   int `toml:"routes" json:"routes"`
	// VarySize is the size at which VaryServices and VaryRoutes are measured, one at a time; 0: they are not.
	VarySize     int   `toml:"vary_size" json:"vary_size"`
	VaryServices []int `toml:"vary_services" json:"vary_services"`
	VaryRoutes   []int `toml:"vary_routes" json:"vary_routes"`
	// Compare is how many real sidecars are measured against as many hollow ones; 0: none are.
	Compare int `toml:"compare" json:"compare"`
	// PhaseS is how long each phase is measured, in seconds; SettleS how long the mesh rests after its start.
	PhaseS  float64 `toml:"phase_s" json:"phase_s"`
	SettleS float64 `toml:"settle_s" json:"settle_s"`
	// HeartbeatS is the period of the servers' heartbeats, in seconds.
	HeartbeatS      float64 `toml:"heartbeat_s" json:"heartbeat_s"`
	ChangesPerS     float64 `toml:"changes_per_s" json:"changes_per_s"`
	ClaimsPerS      float64 `toml:"claims_per_s" json:"claims_per_s"`
	RestartsPerS    float64 `toml:"restarts_per_s" json:"restarts_per_s"`
	HeartbeatFactor float64 `toml:"heartbeat_factor" json:"heartbeat_factor"` // by which heartbeats are quicker in the phase that measures them
	// MemoryGiB is what all processes of a run may hold together; beyond it the run stops and keeps what it has measured.
	MemoryGiB float64 `toml:"memory_gib" json:"memory_gib"`
	// KeepBound has phases that the machine limited count in fits all the same: for trials on a machine that does other work.
	KeepBound bool `toml:"keep_bound" json:"keep_bound"`
	// Note is said with each result, for instance that other work ran on the machine.
	Note string `toml:"note" json:"note"`
}

// Fault is a mistake in an experiment file.
type Fault struct {
	File  string
	Line  int    // from 1; 0: the file as a whole
	Field string // empty: none in particular
	Text  string
}

// Error words the fault as FILE:LINE: FIELD: TEXT.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += fmt.Sprintf(":%d", f.Line)
	}
	if f.Field != "" {
		at += ": " + f.Field
	}
	return at + ": " + f.Text
}

// Faults are all mistakes of a file, by line.
type Faults []Fault

// Error words the faults, one a line.
func (l Faults) Error() string {
	texts := make([]string, len(l))
	for i, f := range l {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "\n")
}

// DefaultExperiment is what holds where a file names nothing else.
func DefaultExperiment() Experiment {
	return Experiment{
		Full: []int{30}, Seeds: []uint64{1}, RepeatTo: largestSize, Registers: 3,
		Phases:   []string{PhaseIdle, PhaseChanges, PhaseClaims, PhaseRestarts, PhaseHeartbeats},
		Services: 3, Routes: 6, PhaseS: 5, SettleS: 2, HeartbeatS: 0.3,
		ChangesPerS: 5, ClaimsPerS: 200, RestartsPerS: 2, HeartbeatFactor: 4, MemoryGiB: 15,
	}
}

// LoadExperiment reads an experiment file.
func LoadExperiment(path string) (Experiment, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Experiment{}, err
	}
	return ParseExperiment(path, text)
}

// ParseExperiment reads an experiment. The error is Faults, with every mistake that could be found.
func ParseExperiment(name string, text []byte) (Experiment, error) {
	if len(text) > mostExperiment {
		return Experiment{}, Faults{{File: name, Text: fmt.Sprintf("the file is longer than %d bytes", mostExperiment)}}
	}
	lines := fieldLines(text)
	x, faults := decode(name, text)
	for _, p := range x.problems() {
		if !slices.ContainsFunc(faults, func(f Fault) bool { return f.Field == p.field || f.Field == "" }) {
			faults = append(faults, Fault{name, lines[p.field], p.field, p.text})
		}
	}
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Line < faults[j].Line })
	if len(faults) > 0 {
		return Experiment{}, faults
	}
	return x, nil
}

// decode reads all fields that can be read; faults are syntax errors, fields that are not known and values of a wrong type. The
// library's decoder ends at the first value of a wrong type, so each field is decoded by itself.
func decode(name string, text []byte) (x Experiment, faults Faults) {
	x = DefaultExperiment()
	tree := map[string]any{}
	if err := toml.Unmarshal(text, &tree); err != nil {
		return x, Faults{faultOf(name, err)}
	}
	lines, known := fieldLines(text), fieldNames()
	for field, value := range tree {
		if !slices.Contains(known, field) {
			faults = append(faults, Fault{name, lines[field], field, "is not known"})
			continue
		}
		next := x
		one, err := toml.Marshal(map[string]any{field: value})
		if err == nil {
			err = toml.Unmarshal(one, &next)
		}
		if err != nil {
			faults = append(faults, Fault{name, lines[field], field, faultOf(name, err).Text})
			continue
		}
		x = next
	}
	return x, faults
}

func faultOf(name string, err error) Fault {
	f := Fault{File: name, Text: strings.TrimPrefix(err.Error(), "toml: ")}
	var d *toml.DecodeError
	if errors.As(err, &d) {
		f.Line, _ = d.Position()
		f.Field = strings.Join(d.Key(), ".")
	}
	return f
}

func fieldNames() (l []string) {
	t := reflect.TypeFor[Experiment]()
	for i := range t.NumField() {
		l = append(l, t.Field(i).Tag.Get("toml"))
	}
	return l
}

// fieldLines is the line of each field at the top of a document.
func fieldLines(text []byte) map[string]int {
	lines := map[string]int{}
	p := unstable.Parser{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		if e.Kind != unstable.KeyValue && e.Kind != unstable.Table && e.Kind != unstable.ArrayTable {
			continue
		}
		key := e.Key()
		if !key.Next() {
			continue
		}
		n := key.Node()
		name := string(n.Data)
		if _, is := lines[name]; !is {
			lines[name] = 1 + bytes.Count(text[:n.Raw.Offset], []byte("\n"))
		}
	}
	return lines
}

type problem struct{ field, text string }

// problems are values that have the right type and can't be.
func (x Experiment) problems() (l []problem) {
	add := func(field, format string, args ...any) { l = append(l, problem{field, fmt.Sprintf(format, args...)}) }
	between := func(field string, v, least, most float64) {
		if math.IsNaN(v) || v < least || v > most {
			add(field, "is %v; wanted: %v to %v", v, least, most)
		}
	}
	if x.Name == "" || strings.ContainsAny(x.Name, `/\ `) {
		add("name", "is %q; wanted: a word, which the results' file is named by", x.Name)
	}
	if len(x.Sizes) == 0 {
		add("sizes", "is missing or empty")
	}
	for _, n := range x.Sizes {
		between("sizes", float64(n), 1, largestSize)
	}
	if len(x.Seeds) == 0 {
		add("seeds", "is empty")
	}
	for _, n := range x.Full {
		between("full", float64(n), 0, largestSize)
	}
	if len(x.Full) != 1 && len(x.Full) != len(x.Sizes) {
		add("full", "holds %d numbers; wanted: one, or one for each of the %d sizes", len(x.Full), len(x.Sizes))
	}
	between("repeat_to", float64(x.RepeatTo), 0, largestSize)
	if len(x.Phases) == 0 || x.Phases[0] != PhaseIdle {
		add("phases", "does not begin with %q, which the others are compared with", PhaseIdle)
	}
	for _, p := range x.Phases {
		if !slices.Contains(DefaultExperiment().Phases, p) {
			add("phases", "holds %q; wanted: %s", p, strings.Join(DefaultExperiment().Phases, ", "))
		}
	}
	between("registers", float64(x.Registers), 1, mostRegisters)
	between("services", float64(x.Services), 1, 2100)
	between("routes", float64(x.Routes), 1, 16_000)
	between("vary_size", float64(x.VarySize), 0, largestSize)
	for _, n := range x.VaryServices {
		between("vary_services", float64(n), 1, 2100)
	}
	for _, n := range x.VaryRoutes {
		between("vary_routes", float64(n), 1, 16_000)
	}
	if x.VarySize == 0 && len(x.VaryServices)+len(x.VaryRoutes) > 0 {
		add("vary_size", "is 0 or missing; vary_services and vary_routes need it")
	}
	between("compare", float64(x.Compare), 0, mostRealLines)
	between("phase_s", x.PhaseS, 0.5, 600)
	between("settle_s", x.SettleS, 0, 600)
	between("heartbeat_s", x.HeartbeatS, 0.1, 60)
	between("changes_per_s", x.ChangesPerS, 0, 1000)
	between("claims_per_s", x.ClaimsPerS, 0, 100_000)
	between("restarts_per_s", x.RestartsPerS, 0, 1000)
	between("heartbeat_factor", x.HeartbeatFactor, 1, 100)
	between("memory_gib", x.MemoryGiB, 0.1, largestMemory)
	return l
}

// fullAt is the number of full sidecars at the ith size.
func (x Experiment) fullAt(i int) int { return x.Full[min(i, len(x.Full)-1)] }

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
