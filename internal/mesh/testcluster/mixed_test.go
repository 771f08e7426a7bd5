package testcluster

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

const (
	// previousBinEnv is the environment variable with a folder of the previous build's programs.
	previousBinEnv = "MESH_PREVIOUS_BIN"
	// previousCommit is the last release, which is built if the variable is not set.
	previousCommit = "3e770af0"
)

// TestMixedVersions replaces the processes of a mesh one by one under keyed and plain traffic, first from the previous build to this one
// and then back, so that both builds interoperate in every mixture. After each replacement all processes have the acknowledged
// configuration, a change is acknowledged and becomes active at each sidecar, and repeated keys get the same answers as before. No request
// is lost and no key runs twice.
func TestMixedVersions(t *testing.T) {
	t.Parallel()
	previous := previousPrograms(t)
	for _, test := range []struct {
		name         string
		membersFirst bool
	}{
		{"members first", true},
		{"sidecars first", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			runParallel(t)
			m := startPrograms(t, previous, "stock", "stock", "orders", "orders")
			r := newRollingReplacement(m)
			stop := r.startTraffic()
			machines := m.machines()
			if !test.membersFirst {
				machines = slices.Concat(m.Sidecars, m.Members)
			}
			for _, x := range machines {
				r.replace(t, x, programsDir)
			}
			for _, x := range machines {
				r.replace(t, x, previous)
			}
			stop()
			t.Logf("%d requests; by status: plain %v, keyed %v, repeated %v",
				r.plain.count()+r.keyed.count()+r.repeated.count(), r.plain.byStatus, r.keyed.byStatus, r.repeated.byStatus)
			r.assertNothingLost(t)
			m.assertNoViolations(t)
		})
	}
}

// previousPrograms returns a folder with the previous build's programs. If the environment does not name a
// folder it builds them from the repository's history, and skips the test if that does not have the commit.
func previousPrograms(t *testing.T) string {
	t.Helper()
	built := os.Getenv(previousBinEnv)
	if built == "" {
		built = buildPrevious(t)
	}
	for _, name := range ProgramNames {
		_, err := os.Stat(filepath.Join(built, name))
		assert.NilError(t, err, "%s is to hold the program %s", built, name)
	}
	return built
}

// buildPrevious builds the programs of previousCommit.
func buildPrevious(t *testing.T) string {
	t.Helper()
	root, err := exec.Command("git", "rev-parse", "--show-toplevel").Output()
	if err != nil {
		t.Skipf("the build before is not known: %s is not set, and there is no history: %v", previousBinEnv, err)
	}
	git := func(args ...string) *exec.Cmd {
		return exec.Command("git", append([]string{"-C", strings.TrimSpace(string(root))}, args...)...)
	}
	if err := git("cat-file", "-e", previousCommit+"^{commit}").Run(); err != nil {
		t.Skipf("the build before is not known: %s is not set, and the history does not hold commit %s", previousBinEnv, previousCommit)
	}
	source, bin := t.TempDir(), t.TempDir()
	archive := filepath.Join(source, "source.tar")
	run := func(cmd *exec.Cmd) {
		out, err := cmd.CombinedOutput()
		assert.NilError(t, err, "%v: %s", cmd.Args, out)
	}
	run(git("archive", "--format=tar", "--output="+archive, previousCommit, "go.mod", "go.sum", "balancer", "cmd", "internal"))
	run(exec.Command("tar", "-xf", archive, "-C", source))
	build := exec.Command("go", "build", "-o", bin+"/")
	for _, name := range ProgramNames {
		build.Args = append(build.Args, "./cmd/"+name)
	}
	build.Dir = source
	run(build)
	return bin
}

// rollingReplacement replaces the programs of a mesh one machine after the other under traffic.
type rollingReplacement struct {
	cluster *Cluster
	away    []atomic.Bool // by sidecar: its callers go elsewhere, for it is about to end
	version int           // of the latest change
	seq     atomic.Int64  // of requests
	// restarts counts the begins and ends of a sidecar's restarts, by the instance of the server beside it. It is odd during one.
	restarts map[string]*atomic.Int64

	plain, keyed, repeated outcomes

	keptKey string
	kept    Response
}

func newRollingReplacement(m *Cluster) *rollingReplacement {
	r := &rollingReplacement{cluster: m, away: make([]atomic.Bool, len(m.Sidecars)), restarts: map[string]*atomic.Int64{}, version: 1}
	for _, x := range m.Sidecars {
		r.restarts[x.App.Instance] = &atomic.Int64{}
	}
	return r
}

// restartCounts returns the present values of restarts.
func (r *rollingReplacement) restartCounts() map[string]int64 {
	counts := map[string]int64{}
	for instance, count := range r.restarts {
		counts[instance] = count.Load()
	}
	return counts
}

// mayBeLost reports whether the stored copy of a response may be lost: the sidecar beside the server that gave it, which stores it in
// memory, was being restarted when restarts had some values, or has been since.
func (r *rollingReplacement) mayBeLost(response Response, before map[string]int64) bool {
	for instance, count := range r.restarts {
		if strings.Contains(response.Body, " "+instance+" ") {
			return before[instance]%2 == 1 || count.Load() != before[instance]
		}
	}
	return false
}

// outcomes counts the outcomes of requests, and records the requests that were lost.
type outcomes struct {
	mu       sync.Mutex // guards below
	byStatus map[int]int
	lost     []string
}

func (o *outcomes) add(what string, response Response, accepted ...int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byStatus == nil {
		o.byStatus = map[int]int{}
	}
	o.byStatus[response.Status]++
	for _, s := range accepted {
		if response.Status == s {
			return
		}
	}
	o.lost = append(o.lost, fmt.Sprintf("%s: answered %d %.200s", what, response.Status, response.Body))
}

func (o *outcomes) count() (n int) {
	for _, c := range o.byStatus {
		n += c
	}
	return n
}

// startTraffic sends plain and keyed requests through every sidecar that is not about to end. Each key is repeated through another
// sidecar.
func (r *rollingReplacement) startTraffic() (stop func()) {
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range r.cluster.Sidecars {
		all.Go(func() {
			for {
				select {
				case <-done:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if !r.away[i].Load() {
					r.sendThrough(i)
				}
			}
		})
	}
	return func() { close(done); all.Wait() }
}

// sendThrough sends a plain request and a keyed one through a sidecar, and the key once more through the next running one. The repetition
// is answered with 502 only if the sidecar that stored the response was restarted meanwhile.
func (r *rollingReplacement) sendThrough(i int) {
	x, n := r.cluster.Sidecars[i], r.seq.Add(1)
	r.plain.add(x.Name, x.Send("GET", fmt.Sprint("/read/", n), "", nil), http.StatusOK)
	key := fmt.Sprint("mixed-", n)
	before := r.restartCounts()
	first := x.Send("POST", "/send/x", key, []byte("body"))
	r.keyed.add(x.Name+" "+key, first, http.StatusOK, http.StatusServiceUnavailable)
	other := r.cluster.Sidecars[(i+1)%len(r.cluster.Sidecars)]
	if r.away[(i+1)%len(r.cluster.Sidecars)].Load() {
		other = x
	}
	again := other.Send("POST", "/send/x", key, []byte("body"))
	accepted := []int{http.StatusOK, http.StatusServiceUnavailable, http.StatusConflict}
	if r.mayBeLost(first, before) {
		accepted = append(accepted, http.StatusBadGateway)
	}
	r.repeated.add(other.Name+" "+key+" again", again, accepted...)
	if first.Status == http.StatusOK && again.Status == http.StatusOK && (first.Body != again.Body || first.Seal != again.Seal) {
		r.cluster.Recorder.recordViolation("CHANGED: %s is answered %q first and %q then", key, first.Body, again.Body)
	}
}

func (r *rollingReplacement) assertNothingLost(t *testing.T) {
	t.Helper()
	for _, o := range []*outcomes{&r.plain, &r.keyed, &r.repeated} {
		assert.Assert(t, len(o.lost) == 0, "%d lost: %v", len(o.lost), o.lost[:min(5, len(o.lost))])
		assert.Assert(t, o.byStatus[http.StatusOK] > 0)
	}
}

// replace ends a machine's program by SIGTERM, starts the program from another folder in its place, and checks the mesh.
func (r *rollingReplacement) replace(t *testing.T, x *Machine, programs string) {
	t.Helper()
	m := r.cluster
	r.keep(t, x)
	for i, sidecar := range m.Sidecars {
		if sidecar == x {
			r.away[i].Store(true)
			defer r.away[i].Store(false)
		}
	}
	if x.App != nil {
		r.restarts[x.App.Instance].Add(1)
	}
	x.Process.Stop()
	assert.Assert(t, !x.Process.Crashed())
	x.UsePrograms(programs)
	assert.NilError(t, x.Start())
	if x.App != nil {
		r.restarts[x.App.Instance].Add(1)
	}
	assert.Assert(t, m.awaitSettled(testTimeout) != nil, "the mesh does not settle")
	assert.Assert(t, m.AwaitReady(testTimeout), "the sidecars are not ready")
	for _, y := range m.Members {
		y.awaitConfigHas(t, fmt.Sprintf(`"/mixed-%d/"`, r.version))
	}
	for _, y := range m.Sidecars {
		again := y.awaitServed(t, "POST", "/send/x", r.keptKey)
		assert.Assert(t, again.Body == r.kept.Body && again.Seal == r.kept.Seal, "%s has %v, first %v", y.Name, again, r.kept)
	}
}

// keep makes a change, waits until it is active at each sidecar, and sends a keyed request. Both must survive the replacement of next. The
// sidecar beside a server stores its responses in memory, so the key must run at another one.
func (r *rollingReplacement) keep(t *testing.T, next *Machine) {
	t.Helper()
	m := r.cluster
	r.version++
	path := fmt.Sprintf("/mixed-%d/", r.version)
	m.applyRoutes(t, r.version, RouteItem("mixed", "idempotent", path, "stock", r.version))
	for _, x := range m.Sidecars {
		x.awaitServed(t, "GET", path, "")
	}
	assert.Assert(t, testfleet.Await(testTimeout, func() bool {
		r.keptKey = fmt.Sprint("kept-", r.version, "-", r.seq.Add(1))
		r.kept = m.Sidecars[r.version%len(m.Sidecars)].awaitServed(t, "POST", "/send/x", r.keptKey)
		return next.App == nil || !strings.Contains(r.kept.Body, " "+next.App.Instance+" ")
	}), "no key runs but beside %s", next.Name)
}
