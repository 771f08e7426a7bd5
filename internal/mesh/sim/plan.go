package sim

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// FaultKind is the kind of a fault. Its values are used in plan files.
type FaultKind string

// Kinds of faults. Target and Peers name processes, or roles and groups that are resolved when the fault begins. Unless said otherwise
// a fault ends after Duration.
const (
	FaultCut          FaultKind = "cut"       // no message passes between Target and Peers
	FaultCutInbound   FaultKind = "cut-in"    // no message reaches Target from Peers
	FaultCutOutbound  FaultKind = "cut-out"   // no message from Target reaches Peers
	FaultReset        FaultKind = "reset"     // all connections of Target are reset
	FaultKill         FaultKind = "kill"      // the process ends, and starts again after Duration
	FaultPowerLoss    FaultKind = "power"     // the machine loses power, and starts again after Duration
	FaultPowerLossAll FaultKind = "power-all" // the same, for all machines of replicas
	FaultWipe         FaultKind = "wipe"      // the disk is lost, and the process starts again after Duration
	FaultReplace      FaultKind = "replace"   // the machine is lost for good; after Duration another one takes its place, at another address
	FaultLeave        FaultKind = "leave"     // the process shuts down by itself; after Duration another machine takes its place
	FaultSpare        FaultKind = "spare"     // one more machine starts; it takes the place of the next that leaves
	FaultFreeze       FaultKind = "freeze"    // the process stops; its clock goes on
	FaultSuspend      FaultKind = "suspend"   // the machine stops, and its clock
	FaultDiskStall    FaultKind = "stall"     // the disk does not finish any write
	FaultDiskFull     FaultKind = "full"      // the disk has no space
	FaultSlowNetwork  FaultKind = "slow"      // every message takes Count more milliseconds
	FaultDisorder     FaultKind = "disorder"  // Count percent of the consensus messages are lost, repeated or late
	FaultChangeBurst  FaultKind = "orders"    // Target, an operator, sends Count changes as fast as they are accepted
)

// kinds is all kinds of faults that a plan may name.
var kinds = []FaultKind{
	FaultCut,
	FaultCutInbound,
	FaultCutOutbound,
	FaultReset,
	FaultKill,
	FaultPowerLoss,
	FaultPowerLossAll,
	FaultWipe,
	FaultReplace,
	FaultLeave,
	FaultSpare,
	FaultFreeze,
	FaultSuspend,
	FaultDiskStall,
	FaultDiskFull,
	FaultSlowNetwork,
	FaultDisorder,
	FaultChangeBurst,
}

// Roles that a Target may name.
const (
	RoleLeader   = "leader"
	RoleFollower = "follower" // the first running replica that does not lead
	RoleLast     = "last"     // the last such
	RoleJoiner   = "joiner"   // a replica that does not vote; RoleLast if there is none
)

// Groups that Peers may name.
const (
	PeersAll      = "all"
	PeersReplicas = "replicas"
	PeersClients  = "clients"
)

// Fault is one fault of a plan.
type Fault struct {
	At       time.Duration
	Kind     FaultKind
	Target   string
	Peers    string // empty means PeersAll
	Duration time.Duration
	Count    int
	Force    bool // the loss of a disk does not wait until the deployment tolerates it
}

// Plan is the faults of a run, in any order.
type Plan []Fault

// end returns the time at which all faults have ended.
func (p Plan) end() (end time.Duration) {
	for _, f := range p {
		end = max(end, f.At+f.Duration)
	}
	return end
}

// String returns the fault as ParsePlan reads it.
func (f Fault) String() string {
	parts := []string{"at=" + f.At.String(), "kind=" + string(f.Kind)}
	if f.Target != "" {
		parts = append(parts, "target="+f.Target)
	}
	if f.Peers != "" {
		parts = append(parts, "peers="+f.Peers)
	}
	if f.Duration > 0 {
		parts = append(parts, "for="+f.Duration.String())
	}
	if f.Count > 0 {
		parts = append(parts, "count="+strconv.Itoa(f.Count))
	}
	if f.Force {
		parts = append(parts, "force=true")
	}
	return strings.Join(parts, " ")
}

// String returns the plan as ParsePlan reads it, a fault per line, ordered by time.
func (p Plan) String() string {
	sorted := slices.Clone(p)
	slices.SortStableFunc(sorted, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	var text strings.Builder
	for _, f := range sorted {
		text.WriteString(f.String() + "\n")
	}
	return text.String()
}

// ParseSchedule reads a plan and the options of its run: a line that begins with "run " has them as fields name=value (seed, replicas,
// compact, disk). seeded reports whether the seed is among them.
func ParseSchedule(text string) (o Options, seeded bool, err error) {
	var plan []string
	for _, line := range strings.Split(text, "\n") {
		fields, is := strings.CutPrefix(line, "run ")
		if !is {
			plan = append(plan, line)
			continue
		}
		plan = append(plan, "") // so that errors name the right line
		for _, field := range strings.Fields(fields) {
			if err := o.parseField(field); err != nil {
				return o, false, err
			}
			seeded = seeded || strings.HasPrefix(field, "seed=")
		}
	}
	o.Plan, err = ParsePlan(strings.Join(plan, "\n"))
	return o, seeded, err
}

// parseField reads one option of a run.
func (o *Options) parseField(field string) (err error) {
	name, value, _ := strings.Cut(field, "=")
	switch name {
	case "seed":
		o.Seed, err = strconv.ParseUint(value, 10, 64)
	case "replicas":
		o.Replicas, err = strconv.Atoi(value)
	case "compact":
		o.CompactAt, err = strconv.Atoi(value)
	case "disk":
		o.Disk = DiskKind(value)
	default:
		err = errors.Errorf("%q is no option", field)
	}
	return err
}

// Schedule returns a run as ParseSchedule reads it.
func (o Options) Schedule() string {
	run := fmt.Sprintf("run seed=%d", o.Seed)
	if o.Replicas > 0 {
		run += fmt.Sprintf(" replicas=%d", o.Replicas)
	}
	if o.CompactAt > 0 {
		run += fmt.Sprintf(" compact=%d", o.CompactAt)
	}
	if o.Disk != MemoryDisk {
		run += " disk=" + string(o.Disk)
	}
	return run + "\n" + o.Plan.String()
}

// ParsePlan reads a plan: a fault per line, as fields name=value. A comment begins with #.
func ParsePlan(text string) (p Plan, err error) {
	for number, line := range strings.Split(text, "\n") {
		line, _, _ = strings.Cut(line, "#")
		fields := strings.Fields(line)
		if len(fields) == 0 {
			continue
		}
		f, err := parseFault(fields)
		if err != nil {
			return nil, errors.Annotatef(err, "line %d", number+1)
		}
		p = append(p, f)
	}
	return p, nil
}

// parseFault reads the fields of one fault.
func parseFault(fields []string) (f Fault, err error) {
	for _, field := range fields {
		name, value, is := strings.Cut(field, "=")
		if !is {
			return f, errors.Errorf("%q is no name=value", field)
		}
		switch name {
		case "at":
			f.At, err = time.ParseDuration(value)
		case "for":
			f.Duration, err = time.ParseDuration(value)
		case "count":
			f.Count, err = strconv.Atoi(value)
		case "force":
			f.Force, err = strconv.ParseBool(value)
		case "kind":
			f.Kind = FaultKind(value)
		case "target":
			f.Target = value
		case "peers":
			f.Peers = value
		default:
			err = errors.Errorf("%q is no field", name)
		}
		if err != nil {
			return f, err
		}
	}
	if !slices.Contains(kinds, f.Kind) {
		return f, fmt.Errorf("%q is no kind of fault", f.Kind)
	}
	if f.At < 0 || f.Duration < 0 || f.Count < 0 {
		return f, errors.New("a time or count below zero")
	}
	return f, nil
}
