package testcluster

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

	"cranegrade/internal/mesh/transport"
	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
	"cranegrade/internal/testfleet"
)

// Environment variables with the durations of the benchmarks, in seconds.
const (
	speedSecondsEnv   = "SPEED_SECONDS"   // of each load of BenchmarkSpeed
	catchUpSecondsEnv = "CATCHUP_SECONDS" // that BenchmarkCatchUp waits at most
)

func secondsOf(env string, otherwise int) time.Duration {
	if n, err := strconv.Atoi(os.Getenv(env)); err == nil && n > 0 {
		otherwise = n
	}
	return time.Duration(otherwise) * time.Second
}

// BenchmarkSpeed measures the number and latency of acknowledged changes at 1, 100 and 1,000 a second (open loop, two thirds sent to
// followers), the highest rate of lease requests of one leader with its processor use, and the peak memory of members and sidecars.
func BenchmarkSpeed(b *testing.B) {
	m := startConfigured(b, "stock", "orders")
	load := secondsOf(speedSecondsEnv, 5)
	disk := startDiskProbe(b.TempDir())
	for _, rate := range []int{1, 100, 1000} {
		b.Run(fmt.Sprint("changes-", rate), func(b *testing.B) { benchmarkChanges(b, m, rate, load) })
	}
	b.Run("claims", func(b *testing.B) { benchmarkClaims(b, m, load) })
	b.Run("memory", func(b *testing.B) {
		b.ReportMetric(peakMB(m.Members), "member-MB")
		b.ReportMetric(peakMB(m.Sidecars), "sidecar-MB")
		disk.report(b)
		b.ReportMetric(0, "ns/op")
	})
}

// changedRoutes is the number of routes that are changed in turn, so that no route has two changes in flight.
const changedRoutes = 500

var changeVersion atomic.Int64

func benchmarkChanges(b *testing.B, m *Cluster, rate int, load time.Duration) {
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	failed := map[int]int{}
	count := rate * int(load/time.Second)
	leader := awaitLeader(b, m)
	cpu, began := leader.Process.CPUTime(), time.Now()
	for n := range count {
		time.Sleep(time.Until(began.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		all.Go(func() {
			v := int(changeVersion.Add(1)) + 1
			name := fmt.Sprint("r", v%changedRoutes)
			at := time.Now()
			status, _ := m.Members[n%3].Modify(ModifyCall(v, nil, RouteItem(name, "idempotent", "/"+name+"/", "stock", v)))
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
	reportDurations(b, took)
	b.ReportMetric(float64(len(took))/spent.Seconds(), "acked/s")
	b.ReportMetric(float64(count-len(took)), "not-acked")
	b.ReportMetric((leader.Process.CPUTime()-cpu).Seconds()/spent.Seconds(), "leader-cores")
}

func reportDurations(b *testing.B, took []time.Duration) {
	b.ReportMetric(0, "ns/op")
	if len(took) == 0 {
		return
	}
	slices.Sort(took)
	b.ReportMetric(milliseconds(took[len(took)/2]), "p50-ms")
	b.ReportMetric(milliseconds(took[len(took)*99/100]), "p99-ms")
}

// claimClients is the number of concurrent clients, each of which requests the leases of one key after another.
const claimClients = 256

func benchmarkClaims(b *testing.B, m *Cluster, load time.Duration) {
	leader := awaitLeader(b, m)
	ctx, cancel := context.WithTimeout(context.Background(), load)
	defer cancel()
	trunkTo, err := transport.DialClient(ctx, leader.Process.Addr, "bench", nil)
	if err != nil {
		b.Fatal(err)
	}
	defer trunkTo.Close()
	var mu sync.Mutex
	var took []time.Duration
	var all sync.WaitGroup
	cpu, began := leader.Process.CPUTime(), time.Now()
	for g := range claimClients {
		all.Go(func() {
			for n := 0; ctx.Err() == nil; n++ {
				at := time.Now()
				if _, err := trunkTo.Call(ctx, codec.CallLeaseKeys, claimsBody(fmt.Sprint("c", g), n, 1)); err != nil {
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
	reportDurations(b, took)
	b.ReportMetric(float64(len(took))/spent.Seconds(), "claims/s")
	b.ReportMetric((leader.Process.CPUTime()-cpu).Seconds()/spent.Seconds(), "leader-cores")
}

// claimsBody encodes a number of lease requests for keys with a common prefix, as a sidecar does.
func claimsBody(name string, from, count int) []byte {
	t := &wire.KeyLeaseRequestsT{}
	for n := range count {
		key := fmt.Sprintf("%s-%08d", name, from+n)
		t.List = append(t.List, &wire.KeyLeaseRequestT{
			Key: key, Token: "a1b2c3d4e5f6" + key,
			Holder: "127.0.0.1:30000/a1b2c3d4e5f6", WindowUs: time.Hour.Microseconds(),
		})
	}
	return codec.EncodeTable(t)
}

func leaderOf(m *Cluster) *Machine {
	for _, x := range m.Members {
		if x.Process == nil {
			continue
		}
		if s, err := x.Status(); err == nil && s.IsLeader && s.QuorumContact {
			return x
		}
	}
	return nil
}

// awaitLeader waits until a member reports that it leads.
func awaitLeader(b *testing.B, m *Cluster) (leader *Machine) {
	if !testfleet.Await(recoverTimeout, func() bool { leader = leaderOf(m); return leader != nil }) {
		b.Fatal("no leader")
	}
	return leader
}

// peakMB returns the highest peak memory of the machines' processes, in MB.
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

// State, link and background traffic of BenchmarkCatchUp.
const (
	catchUpItems   = 10_000
	catchUpKeys    = 200_000
	catchUpRate    = 2_000_000 / 8 // bytes a second
	catchUpClaims  = 50 * time.Millisecond
	catchUpChanges = 100 * time.Millisecond
	itemsPerCall   = 500
	keysPerCall    = 1000
	loadTimeout    = 90 * time.Second
)

// BenchmarkCatchUp measures how long a member that lost its disk takes to receive 10,000 items and 200,000 keys over a link of 2 Mbit/s
// from each of the others, during 20 lease requests and 10 changes a second, and how many of these failed.
func BenchmarkCatchUp(b *testing.B) {
	dir := b.TempDir()
	if err := BuildPrograms(dir); err != nil {
		b.Fatal(err)
	}
	m, relay, err := NewRelayed(dir, 3, 1, "stock")
	if err != nil {
		b.Fatal(err)
	}
	defer m.Close()
	if err := fillState(m); err != nil {
		b.Fatal(err)
	}
	leader := awaitLeader(b, m)
	var away *Machine
	var ways []testfleet.Direction
	for _, x := range m.Members {
		if x != leader && away == nil {
			away = x
		}
	}
	away.Kill()
	if err := away.WipeDisk(); err != nil {
		b.Fatal(err)
	}
	for _, x := range m.Members {
		if x != away {
			ways = append(ways, x.PathTo(away), away.PathTo(x))
		}
	}
	relay.Set(testfleet.Link{Rate: catchUpRate}, ways...)
	passed := func() (n int64) {
		for _, w := range ways {
			n += relay.BytesForwarded(w)
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
	claims, changes := startBackgroundCalls(m, leader, stop)
	applied := uint64(0)
	caughtUp := testfleet.Await(secondsOf(catchUpSecondsEnv, 100), func() bool {
		time.Sleep(50 * time.Millisecond)
		s, err := away.Status()
		if err == nil {
			applied = max(applied, s.AppliedIndex)
		}
		return err == nil && applied >= target.AppliedIndex && s.QuorumContact
	})
	spent := time.Since(began)
	close(stop)
	b.ReportMetric(0, "ns/op")
	b.ReportMetric(map[bool]float64{true: 1}[caughtUp], "caught-up")
	b.ReportMetric(spent.Seconds(), "s")
	b.ReportMetric(min(1, float64(applied)/float64(target.AppliedIndex)), "applied-share")
	b.ReportMetric(float64(passed()-before)/1e6, "MB-over-the-link")
	b.ReportMetric(peakMB(m.Members), "member-MB")
	claims.report(b, "claim")
	changes.report(b, "change")
}

// fillState commits the items and the keys.
func fillState(m *Cluster) error {
	for from := 0; from < catchUpItems; from += itemsPerCall {
		var routes []map[string]any
		for n := range itemsPerCall {
			name := fmt.Sprint("item", from+n)
			routes = append(routes, RouteItem(name, "idempotent", "/"+name+"/", "stock", 1))
		}
		body := ModifyCall(1, []string{"stock"}, routes...)
		if !testfleet.Await(loadTimeout, func() bool { s, _ := m.Members[from/itemsPerCall%3].Modify(body); return s == http.StatusOK }) {
			return errors.New("the items are not acknowledged")
		}
	}
	leader := leaderOf(m)
	if leader == nil {
		return errors.New("no leader")
	}
	ctx, cancel := context.WithTimeout(context.Background(), loadTimeout)
	defer cancel()
	c, err := transport.DialClient(ctx, leader.Process.Addr, "bench", nil)
	if err != nil {
		return err
	}
	defer c.Close()
	for from := 0; from < catchUpKeys; from += keysPerCall {
		if _, err := c.Call(ctx, codec.CallLeaseKeys, claimsBody("key", from, keysPerCall)); err != nil {
			return err
		}
	}
	return nil
}

// backgroundCalls is background traffic of a benchmark: the latency of each call, and the number that failed.
type backgroundCalls struct {
	mu     sync.Mutex // guards below
	took   []time.Duration
	failed int
}

func (x *backgroundCalls) report(b *testing.B, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	slices.Sort(x.took)
	if n := len(x.took); n > 0 {
		b.ReportMetric(milliseconds(x.took[n/2]), name+"-p50-ms")
		b.ReportMetric(milliseconds(x.took[n*99/100]), name+"-p99-ms")
	}
	b.ReportMetric(float64(x.failed), name+"-failed")
}

func (x *backgroundCalls) every(pause time.Duration, stop <-chan struct{}, call func(n int) bool) {
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

// startBackgroundCalls sends lease requests and changes to the leader until stop.
func startBackgroundCalls(m *Cluster, leader *Machine, stop <-chan struct{}) (claims, changes *backgroundCalls) {
	claims, changes = &backgroundCalls{}, &backgroundCalls{}
	go claims.every(catchUpClaims, stop, func(n int) bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_, err := transport.CallOnce(ctx, leader.Process.Addr, "bench", codec.CallLeaseKeys, claimsBody("beside", n, 1))
		return err == nil
	})
	go changes.every(catchUpChanges, stop, func(n int) bool {
		status, _ := leader.Modify(ModifyCall(2+n, nil, RouteItem("beside", "idempotent", "/beside/", "stock", 2+n)))
		return status == http.StatusOK
	})
	return claims, changes
}
