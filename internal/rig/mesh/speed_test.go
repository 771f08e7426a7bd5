package mesh

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hollyspur/internal/exchange/trunk"
	"hollyspur/internal/exchange/trunk/wire"
	"hollyspur/internal/rig"
)

// Variables that bound the benches of speed, in seconds.
const (
	speedEnv   = "SPEED_SECONDS"   // of each load of BenchmarkSpeed
	catchUpEnv = "CATCHUP_SECONDS" // that BenchmarkCatchUp waits at most
)

func secondsOf(env string, otherwise int) time.Duration {
	if n, err := strconv.Atoi(os.Getenv(env)); err == nil && n > 0 {
		otherwise = n
	}
	return time.Duration(otherwise) * time.Second
}

// BenchmarkSpeed is how many changes are acknowledged and how soon at 1, 100 and 1,000 a second (open loop, two of three at
// a register that does not lead), how many claims on keys one leader carries at most, with what of its processor, and the
// most memory that registers and lines have held by then.
func BenchmarkSpeed(b *testing.B) {
	m := begunWith(b, "stock", "orders")
	defer m.Close()
	load := secondsOf(speedEnv, 5)
	disk := watchDisk(b.TempDir())
	for _, rate := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint("changes-", rate), func(b *testing.B) { changesAt(b, m, rate, load) })
	}
	b.Run("claims", func(b *testing.B) { claimsMost(b, m, load) })
	b.Run("memory", func(b *testing.B) {
		b.ReportMetric(peakMB(m.Registers), "register-MB")
		b.ReportMetric(peakMB(m.Lines), "line-MB")
		disk.report(b)
		b.ReportMetric(0, "ns/op")
	})
}

// changedRoutes are changed in turn, so that two changes of one are never under way together.
const changedRoutes = 500

var changeVersion atomic.Int64

func changesAt(b *testing.B, m *Mesh, rate int, load time.Duration) {
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	failed := map[int]int{}
	count := rate * int(load/time.Second)
	leader := awaitLeader(b, m)
	cpu, began := leader.Process.CPU(), time.Now()
	for n := range count {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		all.Go(func() {
			v := int(changeVersion.Add(1)) + 1
			name := fmt.Sprint("r", v%changedRoutes)
			at := time.Now()
			status, _ := m.Registers[n%3].Operate(Modify(v, nil, Route(name, "idempotent", "/"+name+"/", "stock", v)))
			mu.Lock()
			defer mu.Unlock()
			if status != http.StatusOK {
				failed[status]++
				return
			}
			took = append(took, time.Since(at))
		})
	}
	all.Wait()
	spent := time.Since(began)
	for status, n := range failed {
		b.Logf("%d changes were answered %d", n, status)
	}
	reportSpans(b, took)
	b.ReportMetric(float64(len(took))/spent.Seconds(), "acked/s")
	b.ReportMetric(float64(count-len(took)), "not-acked")
	b.ReportMetric((leader.Process.CPU()-cpu).Seconds()/spent.Seconds(), "leader-cores")
}

func reportSpans(b *testing.B, took []time.Duration) {
	b.ReportMetric(0, "ns/op")
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	b.ReportMetric(milliseconds(took[len(took)/2]), "p50-ms")
	b.ReportMetric(milliseconds(took[len(took)*99/100]), "p99-ms")
}

// claimers ask at once, each for one key after another.
const claimers = 256

func claimsMost(b *testing.B, m *Mesh, load time.Duration) {
	leader := awaitLeader(b, m)
	ctx, cancel := context.WithTimeout(context.Background(), load)
	defer cancel()
	trunkTo, err := trunk.Call(ctx, leader.Process.Addr, "bench", nil)
	if err != nil {
		b.Fatal(err)
	}
	defer trunkTo.Close()
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	cpu, began := leader.Process.CPU(), time.Now()
	for g := range claimers {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				at := time.Now()
				if _, err := trunkTo.Ask(ctx, trunk.AskClaims, claimsOf(fmt.Sprint("c", g), n, 1)); err != nil {
					continue
				}
				mu.Lock()
				took = append(took, time.Since(at))
				mu.Unlock()
			}
		})
	}
	all.Wait()
	spent := time.Since(began)
	reportSpans(b, took)
	b.ReportMetric(float64(len(took))/spent.Seconds(), "claims/s")
	b.ReportMetric((leader.Process.CPU()-cpu).Seconds()/spent.Seconds(), "leader-cores")
}

// claimsOf words so many claims on keys of a name, as a sidecar does.
func claimsOf(name string, from, count int) []byte {
	t := &wire.ClaimsT{}
	for n := range count {
		key := fmt.Sprintf("%s-%08d", name, from+n)
		t.List = append(t.List, &wire.ClaimT{Key: key, Ticket: "a1b2c3d4e5f6" + key, Holder: "127.0.0.1:30000/a1b2c3d4e5f6", Window: time.Hour.Microseconds()})
	}
	return trunk.Bytes(t)
}

func leaderOf(m *Mesh) *Machine {
	for _, x := range m.Registers {
		if x.Process == nil {
			continue
		}
		if s, err := x.Status(); err == nil && s.Leads && s.Touch {
			return x
		}
	}
	return nil
}

// awaitLeader waits until a register leads and says so.
func awaitLeader(b *testing.B, m *Mesh) (leader *Machine) {
	if !rig.Await(recoverWithin, func() bool { leader = leaderOf(m); return leader != nil }) {
		b.Fatal("no leader")
	}
	return leader
}

// peakMB is the most memory that any of the machines' processes has held, in MB.
func peakMB(machines []*Machine) (most float64) {
	for _, x := range machines {
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", x.Process.Cmd.Process.Pid))
		for line := range strings.Lines(string(text)) {
			var kb int
			if n, _ := fmt.Sscanf(line, "VmHWM: %d kB", &kb); n == 1 {
				most = max(most, float64(kb)/1024)
			}
		}
	}
	return most
}

// What BenchmarkCatchUp has a member catch up with, over which link, beside which traffic.
const (
	catchUpItems   = 10_000
	catchUpKeys    = 200_000
	catchUpRate    = 2_000_000 / 8 // bytes a second
	catchUpClaims  = 50 * time.Millisecond
	catchUpChanges = 100 * time.Millisecond
	itemsAtOnce    = 500
	keysAtOnce     = 1000
	loadWithin     = 90 * time.Second
)

// BenchmarkCatchUp is how long a member whose disk was lost takes to hold 10,000 items and 200,000 keys over a link of
// 2 Mbit/s from each of the others, while 20 claims and 10 changes a second go on; and how many of these were not answered.
func BenchmarkCatchUp(b *testing.B) {
	dir := b.TempDir()
	if err := Build(dir); err != nil {
		b.Fatal(err)
	}
	m, relay, err := NewRelayed(dir, 3, 1, "stock")
	if err != nil {
		b.Fatal(err)
	}
	defer m.Close()
	if err := fill(m); err != nil {
		b.Fatal(err)
	}
	leader := awaitLeader(b, m)
	var away *Machine
	var ways []rig.Way
	for _, x := range m.Registers {
		if x != leader && away == nil {
			away = x
		}
	}
	away.Kill()
	if err := away.Wipe(); err != nil {
		b.Fatal(err)
	}
	for _, x := range m.Registers {
		if x != away {
			ways = append(ways, x.Way(away), away.Way(x))
		}
	}
	relay.Set(rig.Link{Rate: catchUpRate}, ways...)
	passed := func() (n int64) {
		for _, w := range ways {
			n += relay.Passed(w)
		}
		return n
	}
	target, err := leader.Status()
	if err != nil {
		b.Fatal(err)
	}
	before, began := passed(), time.Now()
	if err := away.Start(); err != nil {
		b.Fatal(err)
	}
	stop := make(chan struct{})
	claims, changes := beside(m, leader, stop)
	applied := uint64(0)
	caughtUp := rig.Await(secondsOf(catchUpEnv, 100), func() bool {
		time.Sleep(50 * time.Millisecond)
		s, err := away.Status()
		if err == nil {
			applied = max(applied, s.Applied)
		}
		return err == nil && applied >= target.Applied && s.Touch
	})
	spent := time.Since(began)
	close(stop)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(map[bool]float64{true: 1}[caughtUp], "caught-up")
	b.ReportMetric(spent.Seconds(), "s")
	b.ReportMetric(min(1, float64(applied)/float64(target.Applied)), "applied-share")
	b.ReportMetric(float64(passed()-before)/1e6, "MB-over-the-link")
	b.ReportMetric(peakMB(m.Registers), "register-MB")
	claims.report(b, "claim")
	changes.report(b, "change")
}

// fill has the items and the keys agreed on.
func fill(m *Mesh) error {
	for from := 0; from < catchUpItems; from += itemsAtOnce {
		var routes []map[string]any
		for n := range itemsAtOnce {
			name := fmt.Sprint("item", from+n)
			routes = append(routes, Route(name, "idempotent", "/"+name+"/", "stock", 1))
		}
		body := Modify(1, []string{"stock"}, routes...)
		if !rig.Await(loadWithin, func() bool { s, _ := m.Registers[from/itemsAtOnce%3].Operate(body); return s == http.StatusOK }) {
			return errors.New("the items are not acknowledged")
		}
	}
	leader := leaderOf(m)
	if leader == nil {
		return errors.New("no leader")
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadWithin)
	defer cancel()
	c, err := trunk.Call(ctx, leader.Process.Addr, "bench", nil)
	if err != nil {
		return err
	}
	defer c.Close()
	for from := 0; from < catchUpKeys; from += keysAtOnce {
		if _, err := c.Ask(ctx, trunk.AskClaims, claimsOf("key", from, keysAtOnce)); err != nil {
			return err
		}
	}
	return nil
}

// besides is traffic beside a bench: how long each call took, and how many had no good answer.
type besides struct {
	mu     sync.Mutex // guards below
	took   []time.Duration
	failed int
}

func (x *besides) report(b *testing.B, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slices.Sort(x.took)
	if n := len(x.took); n > 0 {
		b.ReportMetric(milliseconds(x.took[n/2]), name+"-p50-ms")
		b.ReportMetric(milliseconds(x.took[n*99/100]), name+"-p99-ms")
	}
	b.ReportMetric(float64(x.failed), name+"-failed")
}

func (x *besides) every(pause time.Duration, stop <-chan struct{}, call func(n int) bool) {
	tick := time.NewTicker(pause)
	defer tick.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		case <-tick.C:
		}
		go func() {
			began := time.Now()
			ok := call(n)
			x.mu.Lock()
			defer x.mu.Unlock()
			if !ok {
				x.failed++
				return
			}
			x.took = append(x.took, time.Since(began))
		}()
	}
}

// beside has claims and changes go on at the leader until stop.
func beside(m *Mesh, leader *Machine, stop <-chan struct{}) (claims, changes *besides) {
	claims, changes = &besides{}, &besides{}
	go claims.every(catchUpClaims, stop, func(n int) bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := trunk.AskOne(ctx, leader.Process.Addr, "bench", trunk.AskClaims, claimsOf("beside", n, 1))
		return err == nil
	})
	go changes.every(catchUpChanges, stop, func(n int) bool {
		status, _ := leader.Operate(Modify(2+n, nil, Route("beside", "idempotent", "/beside/", "stock", 2+n)))
		return status == http.StatusOK
	})
	return claims, changes
}
