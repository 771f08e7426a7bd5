package drill

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

const (
	commandTimeout = 10 * time.Second       // of an operators' command
	commandLimit   = time.Second            // within which it must be answered
	downGrace      = 250 * time.Millisecond // after the answer, in which a server that is set down may still be sent to
	readyTimeout   = 6 * time.Second        // until an upgraded process is ready
)

// downtime is a time in which a server is set down by operators, by the recorder's clock.
type downtime struct {
	server   string
	from, to time.Duration // from the answer to the command until the command that sets it up again; to is 0 while it lasts
}

// operationsLog is what operators did in a drill. Its methods may be called from any goroutine.
type operationsLog struct {
	mu            sync.Mutex // guards the fields below
	downtimes     []downtime
	commands      int
	handoverTimes []time.Duration // how long each process that was succeeded took to end
}

// anyDown reports whether a server is down now.
func (l *operationsLog) anyDown() bool {
	return l.hasDown(func(downtime) bool { return true })
}

// isDown reports whether this server is down now.
func (l *operationsLog) isDown(server string) bool {
	return l.hasDown(func(d downtime) bool { return d.server == server })
}

func (l *operationsLog) hasDown(selects func(downtime) bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, d := range l.downtimes {
		if d.to == 0 && selects(d) {
			return true
		}
	}
	return false
}

// addCommand records a command that was answered at a time.
func (l *operationsLog) addCommand(verb admin.Verb, server string, sentAt, answeredAt time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands++
	switch verb {
	case admin.SetDown:
		l.downtimes = append(l.downtimes, downtime{server: server, from: answeredAt})
	case admin.SetUp:
		for i := range l.downtimes {
			if d := &l.downtimes[i]; d.server == server && d.to == 0 {
				d.to = sentAt // what is sent from the command on is no violation
			}
		}
	default: // the other commands take no server down
	}
}

func (l *operationsLog) addHandover(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.handoverTimes = append(l.handoverTimes, took)
}

// sendCommand sends an operators' command to the program, and wants it accepted within the second.
func (env *environment) sendCommand(ctx context.Context, p *testfleet.Process, verb admin.Verb, server string) {
	addr, err := p.OperatorAddr()
	if err != nil {
		env.failf("%v", err)
		return
	}
	start := time.Now()
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), commandTimeout)
	defer cancel()
	accepted, text, err := admin.Send(ctx, addr, admin.Command{Verb: verb, ID: server})
	took := time.Since(start)
	if err != nil || !accepted || took > commandLimit+10*env.slack {
		env.failf("%s %s: %v %q after %v, %v", verb, server, accepted, text, took, err)
	}
	now := env.recorder.Now()
	env.operations.addCommand(verb, server, now-took, now)
}

// upgrade starts a successor beside the program, and ends the old process once the successor is ready.
func (env *environment) upgrade(ctx context.Context, config string) error {
	path := filepath.Join(env.dir, fmt.Sprintf("node-%d.toml", time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(config), configMode); err != nil {
		return err
	}
	successor, err := testfleet.Start(env.program, path)
	if err != nil {
		return err
	}
	if err := successor.AwaitReady(context.WithoutCancel(ctx), readyTimeout); err != nil {
		return err
	}
	old := env.node
	env.node = successor
	start := time.Now()
	old.Stop()
	if code := old.Cmd.ProcessState.ExitCode(); code != 0 {
		env.failf("the process before ended with %d:\n%s", code, old.Tail())
	}
	env.operations.addHandover(time.Since(start))
	return nil
}

// operators plays a day of operators: a server is set down, restarted while it is down and set up again in slow start, over an upgrade;
// clients are drained and come back; two more upgrades.
func operators(ctx context.Context, env *environment) error {
	g, err := env.startGroup("app", "app.example.org", serversInCells(0, 0, 1, 1)...)
	if err != nil {
		return err
	}
	state := filepath.Join(env.dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		return err
	}
	config := func(listen string) string {
		return fmt.Sprintf("listen = [%q]\noperator = \"127.0.0.1:0\"\nstate = %q\ndefault = \"app\"\n%s",
			listen, state, testfleet.PoolConfig("app", g.registryLine()))
	}
	if err := env.startProgram(config("127.0.0.1:0")); err != nil {
		return err
	}
	if err := env.awaitWatches(g); err != nil {
		return err
	}
	var faults sync.WaitGroup
	env.scheduleOperations(ctx, &faults, g, config(env.node.Addr))
	if err := env.runTraffic(ctx, &faults,
		fake.Stream{Host: g.host, Class: testfleet.ReadClass, Rate: 150},
		fake.Stream{Host: g.host, Class: testfleet.AlertClass, Rate: 60, BodyBytes: 200},
		fake.Stream{Host: g.host, Class: testfleet.CampaignClass, Rate: 30, BodyBytes: 60_000},
		fake.Stream{Host: g.host, Class: testfleet.OrderClass, Rate: 30, BodyBytes: 500}); err != nil {
		return err
	}
	env.judgeOperations(env.recorder.History())
	return nil
}

// scheduleOperations plans the day's commands and upgrades; config is the file that each upgraded process starts with.
func (env *environment) scheduleOperations(ctx context.Context, faults *sync.WaitGroup, g *serverGroup, config string) {
	var operating sync.Mutex // one operation at a time; guards env.node and env.failures
	upgrade := func() {
		operating.Lock()
		defer operating.Unlock()
		if err := env.upgrade(ctx, config); err != nil {
			env.failf("upgrade: %v", err)
		}
	}
	send := func(verb admin.Verb, server string) func() {
		return func() {
			operating.Lock()
			defer operating.Unlock()
			env.sendCommand(ctx, env.node, verb, server)
		}
	}
	s := g.servers[0]
	env.atShare(ctx, faults, 0.08, send(admin.SetDown, s.ID()))
	if env.violation != "" {
		return // the violation alone
	}
	env.atShare(ctx, faults, 0.2, upgrade)
	env.atShare(ctx, faults, 0.3, func() { g.crashForAWhile(s) }) // it still must not be used
	env.atShare(ctx, faults, 0.45, send(admin.SetUp, s.ID()))
	env.atShare(ctx, faults, 0.5, send(admin.DrainOn, ""))
	env.atShare(ctx, faults, 0.55, upgrade)
	env.atShare(ctx, faults, 0.65, send(admin.DrainOff, ""))
	env.atShare(ctx, faults, 0.75, upgrade)
}

// judgeOperations judges the downtimes and reports the day's figures.
func (env *environment) judgeOperations(h fake.History) {
	env.operations.mu.Lock()
	defer env.operations.mu.Unlock()
	late := env.judgeDowntimes(h)
	back := 0
	for _, a := range h.Arrivals {
		for _, d := range env.operations.downtimes {
			if a.Server == d.server && d.to > 0 && a.FirstByteAt >= d.to {
				back++
			}
		}
	}
	env.addFigure("calls", env.operations.commands, "of operators, each accepted within the second")
	env.addFigure("after_ban", late, "requests that began at a server while it was set down")
	env.addFigure("after_call_back", back, "requests at the server that was set up again")
	for _, t := range env.operations.handoverTimes {
		env.addFigure("gave_way_ms", t, "from SIGTERM until the process before had ended")
	}
	if env.violation == "" && back == 0 {
		env.failf("the server that was set up again got nothing")
	}
	resent := 0
	for _, x := range h.Exchanges {
		if x.Resent {
			resent++
		}
	}
	env.addFigure("crossed", resent, "requests that were resent, because their kept connection had been closed meanwhile")
	env.addTrafficTables()
}

// judgeDowntimes counts the requests that began at a server while it was set down. The caller holds the log's lock.
func (env *environment) judgeDowntimes(h fake.History) (late int) {
	for _, d := range env.operations.downtimes {
		for _, a := range h.Arrivals {
			isLate := a.FirstByteAt > d.from+downGrace+env.slack && (d.to == 0 || a.FirstByteAt < d.to)
			if a.Server == d.server && isLate {
				late++
				env.failf("%s got %s %v after it was set down", d.server, a.ID, a.FirstByteAt-d.from)
			}
		}
	}
	return late
}
