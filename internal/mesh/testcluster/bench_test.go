package testcluster

import (
	"bytes"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/rig"
)

// startConfigured is a mesh of three registers and two lines that has its configuration.
func startConfigured(b *testing.B) (m *Cluster, dir string) {
	m = startConfiguredWith(b, "stock", "orders")
	return m, m.Dir
}

// startConfiguredWith is a mesh of three registers that has its configuration, with a line and a server for each service named.
func startConfiguredWith(b *testing.B, services ...string) *Cluster {
	dir := b.TempDir()
	if err := BuildPrograms(dir); err != nil {
		b.Fatal(err)
	}
	m, err := New(dir, 3, services...)
	if err != nil {
		b.Fatal(err)
	}
	config := ModifyCall(1, []string{"stock", "orders"}, RouteItem("read", "idempotent", "/read/", "stock", 1), RouteItem("send", "keyed", "/send/", "stock", 1))
	if !rig.Await(20*time.Second, func() bool { s, _ := m.Members[0].Modify(config); return s == 200 }) || !m.AwaitReady(20*time.Second) {
		m.Close()
		b.Fatal("the mesh does not come up")
	}
	return m
}

// BenchmarkControlPlane is how soon a change is acknowledged where a hundred come a second, open loop, at a register that does not
// lead for two of three; and what a line and a register use of a processor while nothing is asked of them.
func BenchmarkControlPlane(b *testing.B) {
	m, _ := startConfigured(b)
	defer m.Close()
	b.Run("changes", func(b *testing.B) {
		var mu sync.Mutex
		var took []time.Duration
		var all sync.WaitGroup
		began := time.Now()
		for n := range 100 * b.N {
			time.Sleep(time.Until(began.Add(time.Duration(n) * 10 * time.Millisecond)))
			all.Go(func() {
				at := time.Now()
				status, text := m.Members[n%3].Modify(ModifyCall(2+b.N*1000+n, nil, RouteItem(fmt.Sprint("r", n%50), "idempotent", fmt.Sprintf("/r%d/", n%50), "stock", 2+b.N*1000+n)))
				mu.Lock()
				defer mu.Unlock()
				if took = append(took, time.Since(at)); status != 200 {
					b.Error(status, text)
				}
			})
		}
		all.Wait()
		slices.Sort(took)
		b.ReportMetric(float64(took[len(took)/2].Microseconds())/1000, "p50-ms")
		b.ReportMetric(float64(took[len(took)*99/100].Microseconds())/1000, "p99-ms")
	})
	b.Run("idle", func(b *testing.B) {
		line, register := m.Sidecars[0].Process, m.Members[0].Process
		l, r, began := line.CPU(), register.CPU(), time.Now()
		time.Sleep(time.Duration(b.N) * time.Second)
		s := time.Since(began).Seconds()
		b.ReportMetric(float64((line.CPU()-l).Microseconds())/1000/s, "line-ms/s")
		b.ReportMetric(float64((register.CPU()-r).Microseconds())/1000/s, "register-ms/s")
	})
}

// BenchmarkHops is what a request costs in processor time and memory: through one node of the present program, and through
// the mesh, whose two lines (the caller's and the server's) and register are counted apart. Compare those of one run.
func BenchmarkHops(b *testing.B) {
	m, dir := startConfigured(b)
	defer m.Close()
	m.Sidecars[0].App.SetServiceTime(0)
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }))
	defer plain.Close()
	node, err := startNode(dir, plain.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer node.Kill()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	ask := func(addr, method, path string, head map[string]string) int {
		r, _ := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(nil))
		r.Host = Host
		for k, v := range head {
			r.Header.Set(k, v)
		}
		resp, err := client.Do(r)
		if err != nil {
			return 0
		}
		defer resp.Body.Close()
		var into bytes.Buffer
		into.ReadFrom(resp.Body)
		return resp.StatusCode
	}
	caller, beside, core := m.Sidecars[1].Process, m.Sidecars[0].Process, m.Members[0].Process
	for _, x := range []struct {
		name string
		do   func(n int) int
		cost map[string]*rig.Process
	}{
		{"node", func(n int) int {
			id := fmt.Sprint("n", b.N, "-", n)
			return ask(node.Addr, "GET", "/read/x", map[string]string{"X-Correlation-Id": id, "X-Time-Left": "3000m"})
		}, map[string]*rig.Process{"node": node}},
		{"mesh", func(n int) int {
			return ask(m.Sidecars[1].Addr("Outbound"), "GET", "/read/x", map[string]string{"Attempt-Id": fmt.Sprint("m", b.N, "-", n), "Time-Budget": "3000"})
		}, map[string]*rig.Process{"caller": caller, "beside": beside}},
		{"mesh-keyed", func(n int) int {
			id := fmt.Sprint("k", b.N, "-", n)
			return ask(m.Sidecars[1].Addr("Outbound"), "POST", "/send/x", map[string]string{"Attempt-Id": id, "Operation-Key": id, "Time-Budget": "3000"})
		}, map[string]*rig.Process{"caller": caller, "beside": beside, "register": core}},
	} {
		b.Run(x.name, func(b *testing.B) {
			before := map[string]time.Duration{}
			for name, p := range x.cost {
				before[name] = p.CPU()
			}
			var all sync.WaitGroup
			work := make(chan int)
			var failed sync.Map
			for range 4 {
				all.Go(func() {
					for n := range work {
						if s := x.do(n); s != 200 {
							failed.Store(s, true)
						}
					}
				})
			}
			for n := range b.N {
				work <- n
			}
			close(work)
			all.Wait()
			failed.Range(func(s, _ any) bool { b.Errorf("answered %v", s); return true })
			for name, p := range x.cost {
				_, kb := p.Resources()
				b.ReportMetric(float64((p.CPU()-before[name]).Microseconds())/float64(b.N), name+"-us/op")
				b.ReportMetric(float64(kb)/1024, name+"-MB")
			}
		})
	}
}

const nodeFile = `name = "bench"
listen = ["127.0.0.1:0"]
[limits]
memory_mb = 192
descriptors = 1024
[[pools]]
name = "stock"
  [[pools.classes]]
  name = "read"
  effect = "safe"
  aim = "1s"
  deadline = "3s"
  [[pools.servers]]
  address = %q
[[routes]]
pool = "stock"
class = "read"
`

// startNode starts the present program with one server.
func startNode(dir, server string) (*rig.Process, error) {
	path := filepath.Join(dir, "cranegrade")
	if out, err := exec.Command("go", "build", "-o", path, "cranegrade/cmd/cranegrade").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	file := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(nodeFile, server)), 0o600); err != nil {
		return nil, err
	}
	return rig.Start(path, file)
}
