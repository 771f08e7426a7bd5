package drill

import (
	"context"
	"fmt"
	"math"
	"net/http"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	latencyTarget       = 500 * time.Millisecond // within which a response counts as goodput
	baseLoad            = 0.8                    // of the lower tier's capacity, outside the trigger
	recoveredShare      = 0.95                   // of the goodput before the trigger, that counts as recovered
	recoveryStep        = 100 * time.Millisecond
	minReferenceLength  = 8 * time.Second // of a drill that also plays the references
	triggerOverload     = 1.3             // of the lower tier's capacity, while its servers are slow
	startOverload       = 10              // of the lower tier's capacity, at the start
	startOverloadLength = 500 * time.Millisecond
	creepSteps          = 8
	creepOverload       = 2 // of the lower tier's capacity, at the peak of the creep
	staticLimit         = 20
)

// overloadShape is a trigger of overload, and when it happens, by shares of the drill's length.
type overloadShape struct {
	from, to float64
	trigger  func(ctx context.Context, t *tiers)
}

var overloadShapes = map[string]overloadShape{
	"overload":         {from: 0.25, to: 0.45, trigger: slowLowerTier},
	"overload-restart": {from: 0.25, to: 0.6, trigger: restartUpperTier},
	"overload-start":   {from: 0, to: 0.05, trigger: floodAtStart},
	"overload-creep":   {from: 0.2, to: 0.6, trigger: creepToOverload},
}

// slowLowerTier makes the lower tier's servers so slow for a while that the load is 1.3 times their capacity.
func slowLowerTier(ctx context.Context, t *tiers) {
	setSlowdown(t.lower.servers, triggerOverload/baseLoad)
	pause(ctx, t.triggerLength)
	setSlowdown(t.lower.servers, 1)
}

// restartUpperTier restarts the upper tier's servers one after the other: they drain, crash, and come back in slow start.
func restartUpperTier(ctx context.Context, t *tiers) {
	each := t.triggerLength / time.Duration(len(t.upper.servers))
	for _, s := range t.upper.servers {
		t.upper.setState(s, fake.ListDraining)
		pause(ctx, each/2)
		t.upper.restart(s)
		pause(ctx, each/2)
	}
}

// floodAtStart sends ten times the capacity at the very start, for half a second.
func floodAtStart(ctx context.Context, t *tiers) {
	t.env.callers.Run(ctx, upperStreams(startOverload*t.capacity(), startOverloadLength)...)
}

// creepToOverload lets the load creep to twice the capacity, in steps, and back.
func creepToOverload(ctx context.Context, t *tiers) {
	const middle = (creepSteps - 1) / 2.0
	for i := range creepSteps {
		height := 1 - math.Abs(float64(i)-middle)/middle // 0 at both ends
		rate := max(1, height*(creepOverload-baseLoad)*t.capacity())
		t.env.callers.Run(ctx, upperStreams(rate, t.triggerLength/creepSteps)...)
	}
}

// overloadResult is how a policy did.
type overloadResult struct {
	policy                string
	before, during, after float64       // goodput, relative to the trigger
	recovery              time.Duration // after the trigger, until goodput had recovered for good; below 0: never
	wastedWork            float64       // share of the servers' work that was for callers who had left
	worstClass            float64       // goodput of the class that was served worst
}

// overload plays a shape on two tiers that both call through the program, and for comparison through a balancer with a fixed limit and one
// without any.
func overload(name string) func(context.Context, *environment) error {
	shape := overloadShapes[name]
	return func(ctx context.Context, env *environment) error {
		result, err := env.overloadProgram(ctx, shape)
		if err != nil {
			return err
		}
		results := []overloadResult{result}
		if env.length >= minReferenceLength && env.violation == "" {
			for _, reference := range []struct {
				name  string
				limit int
			}{{"static", staticLimit}, {"none", 0}} {
				result, err := env.overloadReference(ctx, shape, reference.name, reference.limit)
				if err != nil {
					return err
				}
				results = append(results, result)
			}
		}
		env.reportOverload(results)
		return nil
	}
}

// reportOverload reports the program's result, which is the first one, and the table of all.
func (env *environment) reportOverload(results []overloadResult) {
	p := results[0]
	env.addFigure("goodput_before", p.before, "share answered within the latency target before the trigger")
	env.addFigure("goodput_during", p.during, "while it lasts")
	env.addFigure("goodput_after", p.after, "and after it")
	env.addFigure("back_after_s", p.recovery.Seconds(), "until goodput is back at 0.95 of that before, for good; below 0: never")
	env.addFigure("vain_work", p.wastedWork, "share of the servers' work that was for nobody")
	env.addFigure("worst_class", p.worstClass, "goodput of the class served worst")
	var b strings.Builder
	t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "policy\tbefore\tduring\tafter\tback after s\tvain work\tworst class")
	for _, r := range results {
		fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.3f\t%.3f\n",
			r.policy, r.before, r.during, r.after, r.recovery.Seconds(), r.wastedWork, r.worstClass)
	}
	_ = t.Flush() // into a builder
	env.tables = append(env.tables, b.String())
}

// overloadProgram plays a shape through the program.
func (env *environment) overloadProgram(ctx context.Context, shape overloadShape) (overloadResult, error) {
	t, err := env.startTiers("")
	if err != nil {
		return overloadResult{}, err
	}
	lower := strings.Replace(testfleet.PoolConfig("lower", t.lower.registryLine()), "attempts = 4", "attempts = 4\ntier = 1", 1)
	config := "listen = [\"127.0.0.1:0\"]\n" + testfleet.PoolConfig("upper", t.upper.registryLine()) + lower +
		route(upperHost, "upper") + route(lowerHost, "lower")
	if err := env.startProgram(config); err != nil {
		return overloadResult{}, err
	}
	t.callLowerThrough(env.node.Addr)
	if err := env.awaitWatches(t.upper, t.lower); err != nil {
		return overloadResult{}, err
	}
	return env.playOverload(ctx, t, shape, "program")
}

// overloadReference plays a shape through a reference balancer. Its violations are not the program's, so it has an environment and records of
// its own.
func (env *environment) overloadReference(ctx context.Context, shape overloadShape, name string, limit int) (overloadResult, error) {
	own := &environment{
		options: env.options, rng: env.rng, recorder: fake.NewRecorder(testfleet.Classes...), keyStore: fake.NewKeyStore(), stderr: env.stderr,
	}
	defer own.close()
	t, err := own.startTiers(name + "-")
	if err != nil {
		return overloadResult{}, err
	}
	hosts := map[string][]string{}
	for _, g := range own.groups {
		for _, s := range g.servers {
			hosts[g.host] = append(hosts[g.host], s.Addr())
		}
	}
	balancer, err := fake.NewBalancer(limit, hosts, env.seed)
	if err != nil {
		return overloadResult{}, err
	}
	defer balancer.Close()
	t.callLowerThrough(balancer.Addr())
	own.callers = fake.NewCallers(own.recorder, balancer.Addr(), env.seed, answerGrace)
	return own.playOverload(ctx, t, shape, name)
}

// playOverload plays a shape and reads the result from the callers' records.
func (env *environment) playOverload(ctx context.Context, t *tiers, shape overloadShape, policy string) (overloadResult, error) {
	t.triggerLength = env.share(shape.to) - env.share(shape.from)
	start := env.recorder.Now()
	from, to, end := start+env.share(shape.from), start+env.share(shape.to), start+env.length
	var faults sync.WaitGroup
	if env.violation == "" {
		env.atShare(ctx, &faults, shape.from, func() { shape.trigger(ctx, t) })
	}
	if err := env.runTraffic(ctx, &faults, upperStreams(baseLoad*t.capacity(), env.length)...); err != nil {
		return overloadResult{}, err
	}
	h := env.recorder.History()
	result := overloadResult{
		policy: policy, before: goodput(h, upperPrefix, start, from), during: goodput(h, upperPrefix, from, to),
		after: goodput(h, upperPrefix, to, end), worstClass: 1, wastedWork: t.wastedWork(),
	}
	if from == start { // nothing comes before the trigger, so the end is what it is compared with
		result.before = goodput(h, upperPrefix, end-env.share(0.25), end)
	}
	result.recovery = recoveryTime(h, to, end, recoveredShare*result.before)
	for _, c := range upperClasses {
		result.worstClass = min(result.worstClass, goodput(h, upperPrefix+c.class.Name, start, end))
	}
	return result, nil
}

// recoveryTime returns how long after a trigger the goodput over a short span last was below a threshold; below 0 if it still is at the end.
func recoveryTime(h fake.History, triggerEnd, end time.Duration, threshold float64) time.Duration {
	span := max(recoveryStep, min(time.Second, (end-triggerEnd)/4))
	if goodput(h, upperPrefix, end-span, end) < threshold {
		return -time.Second
	}
	recovery := time.Duration(0)
	for at := triggerEnd; at+span <= end; at += recoveryStep {
		if goodput(h, upperPrefix, at, at+span) < threshold {
			recovery = at + recoveryStep - triggerEnd
		}
	}
	return recovery
}

// goodput is the share of the requests, sent within a time, that were answered within the latency target. It counts all streams whose names
// begin with a prefix.
func goodput(h fake.History, streamPrefix string, from, to time.Duration) float64 {
	total, good := 0, 0
	for _, x := range h.Exchanges {
		if !strings.HasPrefix(x.Stream, streamPrefix) || x.SentAt < from || x.SentAt >= to {
			continue
		}
		total++
		if x.Status == http.StatusOK && x.AnsweredAt-x.SentAt <= latencyTarget {
			good++
		}
	}
	return float64(good) / max(1, float64(total))
}
