package drill

import (
	"context"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/fake"
	"cranegrade/internal/testfleet"
)

// ban is a time for which a server is taken out by hand, by the records' clock.
type ban struct {
	server   string
	from, to time.Duration // from the yes to the call back; to 0: it lasts
}

// isOut names a server that is out now: that one, or "" for any; "" if none is.
func (r *environment) isOut(server string) string {
	r.bansMu.Lock()
	defer r.bansMu.Unlock()
	for _, b := range r.bans {
		if b.to == 0 && (server == "" || b.server == server) {
			return b.server
		}
	}
	return ""
}

// banned judges the bans: nothing may begin at a server from the grace after the yes until the call back.
func (r *environment) banned(v fake.History) (late int) {
	r.bansMu.Lock()
	defer r.bansMu.Unlock()
	for _, b := range r.bans {
		for _, a := range v.Arrivals {
			if a.Server == b.server && a.FirstByteAt > b.from+250*time.Millisecond+r.slack && (b.to == 0 || a.FirstByteAt < b.to) {
				late++
				r.failf("%s got %s %v after it was taken out", b.server, a.ID, a.FirstByteAt-b.from)
			}
		}
	}
	return late
}

// call makes an operator's call at a program, and wants a yes within the second.
func (r *environment) call(p *testfleet.Process, verb admin.Verb, id string) {
	addr, err := operatorsOf(p)
	if err != nil {
		r.failf("%v", err)
		return
	}
	began := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	yes, text, err := admin.Send(ctx, addr, admin.Command{Verb: verb, ID: id})
	took := time.Since(began)
	if err != nil || !yes || took > time.Second+10*r.slack {
		r.failf("%s %s: %v %q after %v, %v", verb, id, yes, text, took, err)
	}
	r.bansMu.Lock()
	defer r.bansMu.Unlock()
	r.calls++
	switch now := r.records.Now(); verb {
	case admin.SetDown:
		r.bans = append(r.bans, ban{server: id, from: now})
	case admin.SetUp:
		for i := range r.bans {
			if r.bans[i].server == id && r.bans[i].to == 0 {
				r.bans[i].to = now - took // what is sent from the call on is no breach
			}
		}
	}
}

// operators is the address where a program takes operators' calls.
func operatorsOf(p *testfleet.Process) (addr string, err error) {
	if testfleet.Await(10*time.Second, func() bool {
		_, after, is := strings.Cut(p.Tail(), "operators call on ")
		addr, _, _ = strings.Cut(after, "\n")
		return is
	}) {
		return addr, nil
	}
	return "", errors.New("the program takes no operators' calls")
}

// upgrade starts the program again beside itself, and ends the old one once the new one says yes.
func (r *environment) upgrade(file string) error {
	path := filepath.Join(r.dir, fmt.Sprintf("node-%d.toml", time.Now().UnixNano()))
	if err := os.WriteFile(path, []byte(file), 0o600); err != nil {
		return err
	}
	next, err := testfleet.Start(r.program, path)
	if err != nil {
		return err
	}
	old := r.node
	addr, err := operatorsOf(next)
	if err != nil {
		return err
	}
	if !testfleet.Await(6*time.Second, func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		yes, _, err := admin.Send(ctx, addr, admin.Command{Verb: admin.Check})
		return yes && err == nil
	}) {
		return errors.New("the new process does not say yes")
	}
	r.node = next
	began := time.Now()
	old.Stop()
	if code := old.Cmd.ProcessState.ExitCode(); code != 0 {
		r.failf("the process before ended with %d:\n%s", code, old.Tail())
	}
	r.bansMu.Lock()
	r.handoverTimes = append(r.handoverTimes, time.Since(began))
	r.bansMu.Unlock()
	return nil
}

// operators plays a day of operators: a server is taken out, restarted while it is out and called back cold, over an
// upgrade; clients are sent away and come back; two upgrades more.
func operators(ctx context.Context, r *environment) error {
	g, err := r.group("app", "app.example.org", inCell(usual, 0), inCell(usual, 0), inCell(usual, 1), inCell(usual, 1))
	if err != nil {
		return err
	}
	state := filepath.Join(r.dir, "state")
	if err := os.Mkdir(state, 0o700); err != nil {
		return err
	}
	file := func(listen string) string {
		return fmt.Sprintf("listen = [%q]\noperator = \"127.0.0.1:0\"\nstate = %q\ndefault = \"app\"\n%s", listen, state, poolText("app", g.registryText()))
	}
	if err := r.start(file("127.0.0.1:0")); err != nil {
		return err
	}
	if err := r.settle(g); err != nil {
		return err
	}
	var faults sync.WaitGroup
	r.scheduleOperators(ctx, &faults, g, file(r.node.Addr))
	if err := r.play(ctx, &faults,
		fake.Stream{Host: g.host, Class: readClass, Rate: 150},
		fake.Stream{Host: g.host, Class: sendClass, Rate: 60, BodyBytes: 200},
		fake.Stream{Host: g.host, Class: cellClass, Rate: 30, BodyBytes: 60_000},
		fake.Stream{Host: g.host, Class: orderClass, Rate: 30, BodyBytes: 500}); err != nil {
		return err
	}
	r.judgeOperators(r.records.History())
	return nil
}

// scheduleOperators plans the day's calls and upgrades; file is the one that each upgraded process starts with.
func (r *environment) scheduleOperators(ctx context.Context, faults *sync.WaitGroup, g *serverGroup, file string) {
	var upgrading sync.Mutex // r.node changes under it
	upgrade := func() {
		upgrading.Lock()
		defer upgrading.Unlock()
		if err := r.upgrade(file); err != nil {
			r.failf("upgrade: %v", err)
		}
	}
	call := func(verb admin.Verb, id string) {
		upgrading.Lock()
		defer upgrading.Unlock()
		r.call(r.node, verb, id)
	}
	out := g.servers[0]
	r.at(ctx, faults, 0.08, func() { call(admin.SetDown, out.ID()) })
	if r.violation != "" {
		return // the violation alone
	}
	r.at(ctx, faults, 0.2, upgrade)
	r.at(ctx, faults, 0.3, func() {
		out.Crash()
		time.Sleep(300 * time.Millisecond)
		if err := out.Restart(); err == nil {
			g.registry.Set(out, "SERVING") // it still may not be used
		}
	})
	r.at(ctx, faults, 0.45, func() { call(admin.SetUp, out.ID()) })
	r.at(ctx, faults, 0.5, func() { call(admin.DrainOn, "") })
	r.at(ctx, faults, 0.55, upgrade)
	r.at(ctx, faults, 0.65, func() { call(admin.DrainOff, "") })
	r.at(ctx, faults, 0.75, upgrade)
}

// judgeOperators judges the bans and reports the day's figures.
func (r *environment) judgeOperators(v fake.History) {
	late := r.banned(v)
	back := 0
	r.bansMu.Lock()
	for _, a := range v.Arrivals {
		for _, b := range r.bans {
			if a.Server == b.server && b.to > 0 && a.FirstByteAt >= b.to {
				back++
			}
		}
	}
	r.addFigure("calls", r.calls, "of operators, each answered yes within the second")
	r.addFigure("after_ban", late, "requests that began at a server while it was taken out")
	r.addFigure("after_call_back", back, "requests at the server that was called back")
	for _, t := range r.handoverTimes {
		r.addFigure("gave_way_ms", t, "from SIGTERM until the process before had ended")
	}
	r.bansMu.Unlock()
	if r.violation == "" && back == 0 {
		r.failf("the server that was called back got nothing")
	}
	crossed := 0
	for _, x := range v.Exchanges {
		if x.Resent {
			crossed++
		}
	}
	r.addFigure("crossed", crossed, "requests that crossed the close of a kept connection, and were sent once more")
	r.tables = append(r.tables, streamTable(v), serverTable(v))
}
