package drill

import (
	"context"
	"fmt"
	"math"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"cranegrade/internal/fake"
)

const (
	upperHost  = "upper.example.org"
	lowerHost  = "lower.example.org"
	overServer = 4 // servers of a tier
	overAim    = 500 * time.Millisecond
	overLoad   = 0.8 // of the lower tier's capacity, outside the trigger
)

// overloadShape is what happens to two tiers, between two shares of the drill.
type overloadShape struct {
	from, to float64
	trigger  func(ctx context.Context, s *overloaded)
}

// overloaded is the two tiers of one play.
type overloaded struct {
	r            *environment
	upper, lower *serverGroup
	end          time.Duration // of the play
	span         time.Duration // of the trigger
}

// capacity is what the lower tier can do, in requests a second.
func (s *overloaded) capacity() float64 {
	c := s.lower.servers[0].Config()
	return float64(c.Concurrency) / c.ServiceTime.Seconds() * float64(len(s.lower.servers))
}

var overClasses = []struct {
	class fake.Class
	share float64
}{{readClass, 0.6}, {sendClass, 0.25}, {orderClass, 0.15}}

// steadily is the classes' streams at one rate in all.
func steadily(rate float64, length time.Duration) (l []fake.Stream) {
	for _, c := range overClasses {
		l = append(l, fake.Stream{Name: "up-" + c.class.Name, Host: upperHost, Class: c.class, Rate: rate * c.share, Duration: length, MaxOpen: 2000, BodyBytes: 100})
	}
	return l
}

var overloadShapes = map[string]overloadShape{
	// Servers that are for a while as slow as brings them to 1.3 times their capacity.
	"overload": {from: 0.25, to: 0.45, trigger: func(ctx context.Context, s *overloaded) {
		for _, x := range s.lower.servers {
			x.SetSlowdown(1.3 / overLoad)
		}
		pause(ctx, s.span)
		for _, x := range s.lower.servers {
			x.SetSlowdown(1)
		}
	}},
	// The upper tier's servers start anew one after the other: told to drain, gone, back cold.
	"overload-restart": {from: 0.25, to: 0.6, trigger: func(ctx context.Context, s *overloaded) {
		each := s.span / time.Duration(len(s.upper.servers))
		for _, x := range s.upper.servers {
			s.upper.list(x, "DRAINING")
			pause(ctx, each/2)
			x.Crash()
			if x.Restart() == nil {
				s.upper.list(x, "SERVING")
			}
			pause(ctx, each/2)
		}
	}},
	// Ten times the capacity comes at the very start, for half a second.
	"overload-start": {from: 0, to: 0.05, trigger: func(ctx context.Context, s *overloaded) {
		s.r.callers.Run(ctx, steadily(10*s.capacity(), 500*time.Millisecond)...)
	}},
	// What comes creeps to twice the capacity, in steps, and back.
	"overload-creep": {from: 0.2, to: 0.6, trigger: func(ctx context.Context, s *overloaded) {
		const steps = 8
		for i := range steps {
			up := 1 - math.Abs(float64(i)-(steps-1)/2.0)/((steps-1)/2.0)
			s.r.callers.Run(ctx, steadily(max(1, up*(2-overLoad)*s.capacity()), s.span/steps)...)
		}
	}},
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// overloadRow is what a play came to.
type overloadRow struct {
	name                  string
	before, during, after float64
	back                  time.Duration // until goodput was back for good; under 0: not at all
	vain                  float64       // share of the servers' work that was for nobody
	worst                 float64       // goodput of the class that was served worst
}

// overload plays a shape on two tiers that both call through the program, and for comparison through a
// balancer with a fixed limit and one with none.
func overload(name string) func(context.Context, *environment) error {
	shape := overloadShapes[name]
	return func(ctx context.Context, r *environment) error {
		rows := []overloadRow{}
		row, err := r.playOverload(ctx, shape)
		if err != nil {
			return err
		}
		rows = append(rows, row)
		if r.length >= 8*time.Second && r.violation == "" {
			for _, ref := range []struct {
				name  string
				limit int
			}{{"static", 20}, {"none", 0}} {
				row, err := r.referOverload(ctx, shape, ref.name, ref.limit)
				if err != nil {
					return err
				}
				rows = append(rows, row)
			}
		}
		p := rows[0]
		r.addFigure("goodput_before", p.before, "share answered within the aim before the trigger")
		r.addFigure("goodput_during", p.during, "while it lasts")
		r.addFigure("goodput_after", p.after, "and after it")
		r.addFigure("back_after_s", p.back.Seconds(), "until goodput is back at 0.95 of that before, for good; under 0: never")
		r.addFigure("vain_work", p.vain, "share of the servers' work that was for nobody")
		r.addFigure("worst_class", p.worst, "goodput of the class served worst")
		var b strings.Builder
		t := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "policy\tbefore\tduring\tafter\tback after s\tvain work\tworst class")
		for _, x := range rows {
			fmt.Fprintf(t, "%s\t%.3f\t%.3f\t%.3f\t%.1f\t%.3f\t%.3f\n", x.name, x.before, x.during, x.after, x.back.Seconds(), x.vain, x.worst)
		}
		t.Flush()
		r.tables = append(r.tables, b.String())
		return nil
	}
}

// tiers starts two tiers of stubborn servers; the upper ones call the lower host at an address that is told
// later.
func (r *environment) tiers(prefix string) (s *overloaded, at func(addr string), err error) {
	var through *fake.Callers
	var mu sync.Mutex
	next := func(class string, left time.Duration) bool {
		mu.Lock()
		c := through
		mu.Unlock()
		if left <= 0 {
			return false
		}
		of := r.records.Classes[class]
		of.Deadline = left
		return c.Do(fake.Stream{Name: "down", Host: lowerHost, Class: of, BodyBytes: 100}).Status == 200
	}
	cfg := fake.ServerConfig{Concurrency: 4, QueueLimit: 300, ServiceTime: 60 * time.Millisecond, SlowStart: cold, Zone: "a", IgnoreDisconnects: true, QueueSlowdown: 0.02}
	up := cfg
	up.Concurrency, up.ServiceTime, up.CallDownstream = 40, 20*time.Millisecond, next
	s = &overloaded{r: r}
	many := func(c fake.ServerConfig) (l []fake.ServerConfig) {
		for range overServer {
			l = append(l, c)
		}
		return l
	}
	if s.upper, err = r.group(prefix+"upper", upperHost, many(up)...); err != nil {
		return nil, nil, err
	}
	if s.lower, err = r.group(prefix+"lower", lowerHost, many(cfg)...); err != nil {
		return nil, nil, err
	}
	return s, func(addr string) {
		mu.Lock()
		defer mu.Unlock()
		through = fake.NewCallers(r.records, addr, r.seed+1000, 2*time.Second+r.slack)
	}, nil
}

func (r *environment) playOverload(ctx context.Context, shape overloadShape) (overloadRow, error) {
	s, at, err := r.tiers("")
	if err != nil {
		return overloadRow{}, err
	}
	file := "listen = [\"127.0.0.1:0\"]\n" + poolText("upper", s.upper.registryText()) +
		strings.Replace(poolText("lower", s.lower.registryText()), "attempts = 4", "attempts = 4\ntier = 1", 1) +
		fmt.Sprintf("\n[[routes]]\nhost = %q\npool = \"upper\"\n\n[[routes]]\nhost = %q\npool = \"lower\"\n", upperHost, lowerHost)
	if err := r.start(file); err != nil {
		return overloadRow{}, err
	}
	at(r.node.Addr)
	if err := r.settle(s.upper, s.lower); err != nil {
		return overloadRow{}, err
	}
	return r.judgeOverload(ctx, s, shape, "program")
}

// referOverload plays a shape through a reference. What that breaks is not the program's, so its records
// are its own.
func (r *environment) referOverload(ctx context.Context, shape overloadShape, name string, limit int) (overloadRow, error) {
	own := &environment{options: r.options, rng: r.rng, records: fake.NewRecorder(allClasses...), keys: fake.NewKeyStore(), err: r.err}
	defer own.close()
	s, at, err := own.tiers(name + "-")
	if err != nil {
		return overloadRow{}, err
	}
	hosts := map[string][]string{}
	for _, g := range own.groups {
		for _, x := range g.servers {
			hosts[g.host] = append(hosts[g.host], x.Addr())
		}
	}
	b, err := fake.NewBalancer(limit, hosts, r.seed)
	if err != nil {
		return overloadRow{}, err
	}
	defer b.Close()
	at(b.Addr())
	own.callers = fake.NewCallers(own.records, b.Addr(), r.seed, 2*time.Second)
	return own.judgeOverload(ctx, s, shape, name)
}

// goodput is the share of a stream's requests sent within a span that were answered within the aim; of all
// streams whose names begin so.
func goodput(v fake.History, stream string, from, to time.Duration) float64 {
	n, ok := 0, 0
	for _, x := range v.Exchanges {
		if !strings.HasPrefix(x.Stream, stream) || x.SentAt < from || x.SentAt >= to {
			continue
		}
		n++
		if x.Status == 200 && x.AnsweredAt-x.SentAt <= overAim {
			ok++
		}
	}
	return float64(ok) / max(1, float64(n))
}

// judgeOverload plays a shape and reads from the callers' records what became of it.
func (r *environment) judgeOverload(ctx context.Context, s *overloaded, shape overloadShape, name string) (overloadRow, error) {
	share := func(x float64) time.Duration { return time.Duration(x * float64(r.length)) }
	s.span = share(shape.to) - share(shape.from)
	start := r.records.Now()
	from, to := start+share(shape.from), start+share(shape.to)
	var faults sync.WaitGroup
	if r.violation == "" {
		r.at(ctx, &faults, shape.from, func() { shape.trigger(ctx, s) })
	}
	if err := r.play(ctx, &faults, steadily(overLoad*s.capacity(), r.length)...); err != nil {
		return overloadRow{}, err
	}
	end := start + r.length
	v := r.records.History()
	good := func(from, to time.Duration, stream string) float64 { return goodput(v, stream, from, to) }
	row := overloadRow{name: name, before: good(start, from, "up-"), during: good(from, to, "up-"), after: good(to, end, "up-"), worst: 1}
	if from == start {
		row.before = good(end-share(0.25), end, "up-")
	}
	const step = 100 * time.Millisecond
	span := max(step, min(time.Second, (end-to)/4))
	row.back = -time.Second
	if good(end-span, end, "up-") >= 0.95*row.before {
		row.back = 0
		for at := to; at+span <= end; at += step {
			if good(at, at+span, "up-") < 0.95*row.before {
				row.back = at + step - to
			}
		}
	}
	for _, c := range overClasses {
		row.worst = min(row.worst, good(start, end, "up-"+c.class.Name))
	}
	var all, vain time.Duration
	for _, g := range []*serverGroup{s.upper, s.lower} {
		for _, x := range g.servers {
			a, b := x.WorkDone()
			all, vain = all+a, vain+b
		}
	}
	row.vain = vain.Seconds() / max(0.001, all.Seconds())
	return row, nil
}
