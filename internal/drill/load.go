package drill

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"cranegrade/internal/testfleet"
)

const (
	loadCallers = 128 // with one request out each, all the time
	loadServers = 4   // that answer at once
	loadRounds  = 5   // of each program, in turn
)

// round is what a program did in one run.
type round struct {
	rate     float64       // requests a second
	p50, p99 time.Duration // of the answers
	cpu      time.Duration // of the program, a request
}

// load measures the node on one core, as the platform runs it: closed-loop callers, servers that answer
// at once. With -vs another program is measured in turn with it, and the ratio of each pair is told;
// machines are noisy, so only that ratio can be compared.
func load(ctx context.Context, r *environment) error {
	r.unjudged = true
	var servers []string
	for range loadServers {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		defer l.Close()
		go answerAll(l)
		servers = append(servers, l.Addr().String())
	}
	programs := []string{r.program}
	if r.vs != "" {
		programs = append(programs, r.vs)
	}
	each := r.length / time.Duration(loadRounds*len(programs))
	rounds := make([][]round, len(programs))
	for range loadRounds {
		for i, path := range programs {
			got, err := r.loadOnce(ctx, path, servers, each)
			if err != nil {
				return err
			}
			rounds[i] = append(rounds[i], got)
		}
	}
	for i, name := range []string{"", "vs_"}[:len(programs)] {
		r.addFigure(name+"requests_per_s", median(rounds[i], func(x round) float64 { return x.rate }), "median of 5 rounds")
		r.addFigure(name+"p50_ms", median(rounds[i], func(x round) float64 { return x.p50.Seconds() * 1000 }), "")
		r.addFigure(name+"p99_ms", median(rounds[i], func(x round) float64 { return x.p99.Seconds() * 1000 }), "")
		r.addFigure(name+"cpu_us", median(rounds[i], func(x round) float64 { return float64(x.cpu.Nanoseconds()) / 1000 }), "of the program, a request")
	}
	if r.vs != "" {
		ratios := make([]round, loadRounds)
		for i := range ratios {
			ratios[i] = round{rate: rounds[0][i].rate / rounds[1][i].rate}
		}
		r.addFigure("rate_ratio", median(ratios, func(x round) float64 { return x.rate }), "against the other program, median of the pairs")
		cpu := make([]round, loadRounds)
		for i := range cpu {
			cpu[i] = round{rate: float64(rounds[0][i].cpu) / float64(rounds[1][i].cpu)}
		}
		r.addFigure("cpu_ratio", median(cpu, func(x round) float64 { return x.rate }), "")
	}
	return nil
}

func median(l []round, of func(round) float64) float64 {
	var v []float64
	for _, x := range l {
		v = append(v, of(x))
	}
	slices.Sort(v)
	return v[len(v)/2]
}

// answerAll answers every request of every connection at once.
func answerAll(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r := bufio.NewReader(c)
			for {
				for {
					line, err := r.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) <= 2 {
						break
					}
				}
				if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"); err != nil {
					return
				}
			}
		}()
	}
}

// loadOnce runs a program by the platform's configuration and loads it for a while.
func (r *environment) loadOnce(ctx context.Context, path string, servers []string, length time.Duration) (round, error) {
	text, err := loadConfig(servers)
	if err != nil {
		return round{}, err
	}
	config := filepath.Join(r.dir, "load.json")
	if err := os.WriteFile(config, text, 0o600); err != nil {
		return round{}, err
	}
	cmd := exec.Command(path)
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	p, err := testfleet.StartCommand(cmd, config)
	if err != nil {
		return round{}, err
	}
	defer p.Stop()
	r.node = p
	ctx, cancel := context.WithTimeout(ctx, length+length/4)
	defer cancel()
	var all sync.WaitGroup
	var failed atomic.Int64
	warm := time.Now().Add(length / 4)
	times := make([][]time.Duration, loadCallers)
	for i := range loadCallers {
		all.Go(func() {
			var err error
			if times[i], err = callInLoop(ctx, p.Addr, strconv.Itoa(i), warm); err != nil {
				failed.Add(1)
			}
		})
	}
	time.Sleep(time.Until(warm))
	before := p.CPUTime()
	all.Wait()
	used := p.CPUTime() - before
	sorted := slices.Concat(times...)
	slices.Sort(sorted)
	if n := failed.Load(); n > 0 || len(sorted) == 0 {
		return round{}, fmt.Errorf("%d of %d callers got something else than an answer", n, loadCallers)
	}
	n := time.Duration(len(sorted))
	return round{rate: float64(n) / length.Seconds(), p50: quantile(sorted, 0.5), p99: quantile(sorted, 0.99), cpu: used / n}, nil
}

// loadConfig is the platform's configuration of a node with these servers.
func loadConfig(servers []string) ([]byte, error) {
	type target map[string]any
	var targets []target
	for i, s := range servers {
		targets = append(targets, target{"uid": fmt.Sprint("s", i), "endpoint": s, "az": "a", "state": "SERVING", "capacity_hint": 1})
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

// errNotServed is what a caller got that was not answered with 200.
var errNotServed = errors.New("the answer is not 200")

// callInLoop sends one request after the other on one connection until ctx ends, and returns the times of those that
// began after warm. name makes the requests' identifiers the caller's own.
func callInLoop(ctx context.Context, addr, name string, warm time.Time) (times []time.Duration, err error) {
	c, err := net.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	defer c.Close()
	answers := bufio.NewReader(c)
	for n := 0; ctx.Err() == nil; n++ {
		id := name + "-" + strconv.Itoa(n)
		start := time.Now()
		io.WriteString(c, "GET /read/"+id+" HTTP/1.1\r\nHost: a\r\nX-Correlation-Id: "+id+"\r\nX-Time-Left: 5000m\r\n\r\n")
		resp, err := http.ReadResponse(answers, nil)
		if err != nil {
			return times, err
		}
		if resp.StatusCode != 200 {
			return times, errNotServed
		}
		io.Copy(io.Discard, resp.Body)
		if start.After(warm) {
			times = append(times, time.Since(start))
		}
	}
	return times, nil
}
