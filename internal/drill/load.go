package drill

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"time"

	"cranegrade/internal/testfleet"
)

const (
	loadCallers = 128 // with one request open each, all the time
	loadServers = 4   // that answer at once
	loadRounds  = 5   // of each program, in turn
)

// loadRound is how a program did in one round.
type loadRound struct {
	rate          float64       // requests a second
	p50, p99      time.Duration // of the latencies
	cpuPerRequest time.Duration // of the program
}

// load measures the node on one core, as the platform runs it: closed-loop callers, servers that answer at once. With -vs another program is
// measured in turn with it, and the ratio of each pair is reported; machines are noisy, so only that ratio can be compared.
func load(ctx context.Context, env *environment) error {
	env.measuresOnly = true
	servers, closeServers, err := startLoadServers()
	if err != nil {
		return err
	}
	defer closeServers()
	programs := []string{env.program}
	if env.versus != "" {
		programs = append(programs, env.versus)
	}
	roundLength := env.length / time.Duration(loadRounds*len(programs))
	rounds := make([][]loadRound, len(programs))
	for range loadRounds {
		for i, program := range programs {
			round, err := env.runLoadRound(ctx, program, servers, roundLength)
			if err != nil {
				return err
			}
			rounds[i] = append(rounds[i], round)
		}
	}
	env.reportLoad("", rounds[0])
	if env.versus != "" {
		env.reportLoad("vs_", rounds[1])
		env.reportLoadRatios(rounds[0], rounds[1])
	}
	return nil
}

// reportLoad reports the medians of a program's rounds; the names of its figures begin with a prefix.
func (env *environment) reportLoad(prefix string, rounds []loadRound) {
	env.addFigure(prefix+"requests_per_s", median(rounds, func(r loadRound) float64 { return r.rate }), "median of 5 rounds")
	env.addFigure(prefix+"p50_ms", median(rounds, func(r loadRound) float64 { return r.p50.Seconds() * 1000 }), "")
	env.addFigure(prefix+"p99_ms", median(rounds, func(r loadRound) float64 { return r.p99.Seconds() * 1000 }), "")
	env.addFigure(prefix+"cpu_us", median(rounds, func(r loadRound) float64 { return float64(r.cpuPerRequest.Nanoseconds()) / 1000 }),
		"of the program, a request")
}

// loadRatio compares the two programs in one pair of rounds.
type loadRatio struct{ rate, cpu float64 }

func (env *environment) reportLoadRatios(own, other []loadRound) {
	ratios := make([]loadRatio, len(own))
	for i := range ratios {
		ratios[i] = loadRatio{
			rate: own[i].rate / other[i].rate, cpu: float64(own[i].cpuPerRequest) / float64(other[i].cpuPerRequest),
		}
	}
	env.addFigure("rate_ratio", median(ratios, func(r loadRatio) float64 { return r.rate }),
		"against the other program, median of the pairs")
	env.addFigure("cpu_ratio", median(ratios, func(r loadRatio) float64 { return r.cpu }), "")
}

// median is the median of a value of each item; the upper one of two.
func median[T any](items []T, value func(T) float64) float64 {
	var values []float64
	for _, item := range items {
		values = append(values, value(item))
	}
	slices.Sort(values)
	return values[len(values)/2]
}

// startLoadServers starts servers that answer every request at once, and returns their addresses.
func startLoadServers() (addrs []string, closeAll func(), err error) {
	var listeners []net.Listener
	closeAll = func() {
		for _, l := range listeners {
			l.Close()
		}
	}
	for range loadServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			closeAll()
			return nil, nil, err
		}
		listeners = append(listeners, l)
		go answerAll(l)
		addrs = append(addrs, l.Addr().String())
	}
	return addrs, closeAll, nil
}

// runLoadRound runs a program by the platform's configuration and loads it for a length, after a quarter of that to warm up.
func (env *environment) runLoadRound(ctx context.Context, program string, servers []string, length time.Duration) (loadRound, error) {
	p, err := env.startWithPlatformConfig(program, servers)
	if err != nil {
		return loadRound{}, err
	}
	defer p.Kill()
	env.node = p
	ctx, cancel := context.WithTimeout(ctx, length+length/4)
	defer cancel()
	warmAt := time.Now().Add(length / 4)
	latencies, errs := make([][]time.Duration, loadCallers), make([]error, loadCallers)
	var calling sync.WaitGroup
	for i := range loadCallers {
		calling.Go(func() { latencies[i], errs[i] = callInLoop(ctx, p.Addr, strconv.Itoa(i), warmAt) })
	}
	time.Sleep(time.Until(warmAt))
	cpuBefore := p.CPUTime()
	calling.Wait()
	cpu := p.CPUTime() - cpuBefore
	all := slices.Concat(latencies...)
	slices.Sort(all)
	if err := cmp.Or(errs...); err != nil {
		return loadRound{}, fmt.Errorf("a caller of %s got something else than an answer: %w", program, err)
	}
	if len(all) == 0 {
		return loadRound{}, fmt.Errorf("%s answered no request", program)
	}
	return loadRound{
		rate: float64(len(all)) / length.Seconds(), p50: testfleet.Quantile(all, 0.5), p99: testfleet.Quantile(all, 0.99),
		cpuPerRequest: cpu / time.Duration(len(all)),
	}, nil
}

// startWithPlatformConfig starts a program the way the platform does.
func (env *environment) startWithPlatformConfig(program string, servers []string) (*testfleet.Process, error) {
	text, err := platformConfig(servers)
	if err != nil {
		return nil, err
	}
	config := filepath.Join(env.dir, "load.json")
	if err := os.WriteFile(config, text, configMode); err != nil {
		return nil, err
	}
	cmd := exec.Command(program)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	return testfleet.StartCommand(cmd, config)
}

// platformConfig is the platform's configuration of a node with these servers.
func platformConfig(servers []string) ([]byte, error) {
	var targets []map[string]any
	for i, addr := range servers {
		targets = append(targets, map[string]any{
			"uid": fmt.Sprint("s", i), "endpoint": addr, "az": "a", "state": "SERVING", "capacity_hint": 1,
		})
	}
	lane := map[string]any{"name": "read", "effect": "read_like", "target-ms": 2000, "deadline-ms": 5000, "worth": 1}
	return json.Marshal(map[string]any{
		"name": "n0", "listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1f",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known":  map[string]any{"rev": 1, "all": true, "targets": targets},
		"settings": map[string]any{
			"lanes":  []any{lane},
			"limits": map[string]any{"max-attempts": 3, "conn-idle-ms": 30000}, "tick-ms": 1, "tier": 1, "registry-mode": "on_request",
		},
	})
}
