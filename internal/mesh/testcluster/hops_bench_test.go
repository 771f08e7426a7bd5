package testcluster

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/testfleet"
)

// startConfigured starts a mesh of three members, with a sidecar and a server for each of some services, and configures it. It is closed
// at the end of the benchmark.
func startConfigured(b *testing.B, services ...string) *Cluster {
	b.Helper()
	dir := b.TempDir()
	if err := BuildPrograms(dir); err != nil {
		b.Fatal(err)
	}
	m, err := New(dir, 3, services...)
	if m != nil {
		b.Cleanup(m.Close)
	}
	if err != nil {
		b.Fatal(err)
	}
	call := ModifyCall(1, []string{"stock", "orders"}, RouteItem("read", "idempotent", "/read/", "stock", 1),
		RouteItem("send", "keyed", "/send/", "stock", 1))
	acknowledged := testfleet.Await(testTimeout, func() bool {
		status, _ := m.Members[0].Modify(call)
		return status == http.StatusOK
	})
	if !acknowledged || !m.AwaitReady(testTimeout) {
		b.Fatal("the mesh does not come up")
	}
	return m
}

// BenchmarkControlPlane measures the latency of changes at a hundred a second, open loop, two thirds of which are sent to followers, and
// the processor use of an idle sidecar and an idle member.
func BenchmarkControlPlane(b *testing.B) {
	m := startConfigured(b, "stock", "orders")
	b.Run("changes", func(b *testing.B) { benchmarkSteadyChanges(b, m) })
	b.Run("idle", func(b *testing.B) { benchmarkIdle(b, m) })
}

func benchmarkSteadyChanges(b *testing.B, m *Cluster) {
	const interval = 10 * time.Millisecond
	var mu sync.Mutex // guards took
	var took []time.Duration
	var all sync.WaitGroup
	began := time.Now()
	for n := range 100 * b.N {
		time.Sleep(time.Until(began.Add(time.Duration(n) * interval)))
		all.Go(func() {
			at := time.Now()
			name, version := fmt.Sprint("r", n%50), 2+b.N*1000+n
			status, text := m.Members[n%3].Modify(ModifyCall(version, nil, RouteItem(name, "idempotent", "/"+name+"/", "stock", version)))
			mu.Lock()
			defer mu.Unlock()
			if took = append(took, time.Since(at)); status != http.StatusOK {
				b.Error(status, text)
			}
		})
	}
	all.Wait()
	slices.Sort(took)
	b.ReportMetric(milliseconds(took[len(took)/2]), "p50-ms")
	b.ReportMetric(milliseconds(took[len(took)*99/100]), "p99-ms")
}

func benchmarkIdle(b *testing.B, m *Cluster) {
	sidecar, member := m.Sidecars[0].Process, m.Members[0].Process
	sidecarCPU, memberCPU, began := sidecar.CPUTime(), member.CPUTime(), time.Now()
	time.Sleep(time.Duration(b.N) * time.Second)
	seconds := time.Since(began).Seconds()
	b.ReportMetric(milliseconds(sidecar.CPUTime()-sidecarCPU)/seconds, "sidecar-ms/s")
	b.ReportMetric(milliseconds(member.CPUTime()-memberCPU)/seconds, "member-ms/s")
}

// hopClient sends the requests of BenchmarkHops.
type hopClient struct{ http.Client }

// send sends a request without a body and returns the status; 0: no answer.
func (c *hopClient) send(addr, method, path string, header map[string]string) (status int) {
	request, err := http.NewRequest(method, "http://"+addr+path, nil)
	if err != nil {
		return 0
	}
	request.Host = Host
	for name, value := range header {
		request.Header.Set(name, value)
	}
	response, err := c.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return 0
	}
	return response.StatusCode
}

// BenchmarkHops measures the processor time and memory of a request: through one node of the load balancer, and through the mesh, whose
// two sidecars (the caller's and the server's) and member are reported separately. Only figures of the same run are comparable.
func BenchmarkHops(b *testing.B) {
	m := startConfigured(b, "stock", "orders")
	m.Sidecars[0].App.SetServiceTime(0)
	plain := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.Write([]byte("ok")) }))
	defer plain.Close()
	node, err := startNode(m.Dir, plain.Listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	defer node.Kill()
	client := &hopClient{http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	outbound := m.Sidecars[1].Addr("Outbound")
	caller, server, member := m.Sidecars[1].Process, m.Sidecars[0].Process, m.Members[0].Process
	for _, x := range []struct {
		name string
		send func(n int) (status int)
		cost map[string]*testfleet.Process
	}{
		{"node", func(n int) int {
			id := fmt.Sprint("n", b.N, "-", n)
			return client.send(node.Addr, "GET", "/read/x", map[string]string{"X-Correlation-Id": id, "X-Time-Left": "3000m"})
		}, map[string]*testfleet.Process{"node": node}},
		{"mesh", func(n int) int {
			id := fmt.Sprint("m", b.N, "-", n)
			return client.send(outbound, "GET", "/read/x", map[string]string{"Attempt-Id": id, "Time-Budget": "3000"})
		}, map[string]*testfleet.Process{"caller": caller, "server": server}},
		{"mesh-keyed", func(n int) int {
			id := fmt.Sprint("k", b.N, "-", n)
			return client.send(outbound, "POST", "/send/x", map[string]string{"Attempt-Id": id, "Operation-Key": id, "Time-Budget": "3000"})
		}, map[string]*testfleet.Process{"caller": caller, "server": server, "member": member}},
	} {
		b.Run(x.name, func(b *testing.B) { benchmarkHop(b, x.send, x.cost) })
	}
}

// benchmarkHop sends requests by four clients and reports what each of some processes used for a request.
func benchmarkHop(b *testing.B, send func(n int) (status int), cost map[string]*testfleet.Process) {
	before := map[string]time.Duration{}
	for name, process := range cost {
		before[name] = process.CPUTime()
	}
	var all sync.WaitGroup
	var failed sync.Map // statuses
	work := make(chan int)
	for range 4 {
		all.Go(func() {
			for n := range work {
				if status := send(n); status != http.StatusOK {
					failed.Store(status, true)
				}
			}
		})
	}
	for n := range b.N {
		work <- n
	}
	close(work)
	all.Wait()
	failed.Range(func(status, _ any) bool { b.Errorf("answered %v", status); return true })
	for name, process := range cost {
		_, residentKB := process.Resources()
		b.ReportMetric(float64((process.CPUTime()-before[name]).Microseconds())/float64(b.N), name+"-us/op")
		b.ReportMetric(float64(residentKB)/1024, name+"-MB")
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

// startNode builds and starts the load balancer with one server.
func startNode(dir, server string) (*testfleet.Process, error) {
	path := filepath.Join(dir, "cranegrade")
	if out, err := exec.Command("go", "build", "-o", path, "cranegrade/cmd/cranegrade").CombinedOutput(); err != nil {
		return nil, fmt.Errorf("%w: %s", err, out)
	}
	file := filepath.Join(dir, "node.toml")
	if err := os.WriteFile(file, []byte(fmt.Sprintf(nodeFile, server)), 0o600); err != nil {
		return nil, err
	}
	return testfleet.Start(path, file)
}
