package testcluster

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testfleet"
)

// A soak plays real processes under traffic on connections that callers keep until the process closes them, while signals, restarts, new instances of
// servers and changes of the configuration come in series that overlap, from a seed. Then it audits what callers and servers saw, and that the processes
// come to rest. By hand, for instance:
//
//	SOAK_SEEDS=1-50 SOAK_SECONDS=15 SOAK_PARALLEL=4 go test ./internal/mesh/testcluster -run '^TestSoak$' -v -timeout 60m

const (
	soakRecoveryTime = 15 * time.Second // RecoveryS: until the mesh serves again after all faults
	soakRestTime     = 20 * time.Second // until idle connections are closed; longer than any idle time-out between the processes
	soakGracePeriod  = 3 * time.Second  // GraceS of baseSettings
	soakShutdownTime = soakGracePeriod + time.Second
	soakStartTries   = 50
)

// soakMachine is a machine whose process several goroutines signal, and one at a time restarts.
type soakMachine struct {
	*Machine
	restarting sync.Mutex // held while the process is ended and started, and while a server is started, which reads the settings
	replacing  sync.Mutex // held while the server is replaced
	running    atomic.Pointer[testfleet.Process]
	startedAt  atomic.Int64 // Unix time in ns at which its process was started again; 0: never
	app        atomic.Pointer[FakeApp]
}

// soak is one seed that is played.
type soak struct {
	*Cluster
	t        *testing.T
	seed     uint64
	members  []*soakMachine
	sidecars []*soakMachine
	audit    soakAudit
	version  atomic.Int64 // highest of the route "move" that was sent
	acked    atomic.Int64 // and that was acknowledged

	stopping atomic.Bool // callers are to end
	callers  sync.WaitGroup
	actions  sync.WaitGroup
}

func TestSoak(t *testing.T) {
	options := soakOptionsFromEnv(t)
	slots := make(chan struct{}, options.parallel)
	for seed := options.firstSeed; seed <= options.lastSeed; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			playSoak(t, seed, options)
		})
	}
}

// playSoak plays one seed.
func playSoak(t *testing.T, seed uint64, options soakOptions) {
	t.Helper()
	var services []string
	for n := range options.sidecars {
		services = append(services, []string{"stock", "orders"}[n%2])
	}
	m, err := New(linkPrograms(t, programsDir), options.members, services...)
	closeAfter(t, m)
	assert.NilError(t, err)
	s := &soak{Cluster: m, t: t, seed: seed, audit: soakAudit{planned: isPlannedSoak(seed), began: time.Now()}}
	s.version.Store(1)
	s.acked.Store(1)
	s.applyInitialRoutes(t, RouteItem("move", "idempotent", "/move/", "stock", 1), RouteItem("once", "non_idempotent", "/once/", "orders", 1))
	for _, x := range m.Members {
		s.members = append(s.members, newSoakMachine(x))
	}
	for _, x := range m.Sidecars {
		s.sidecars = append(s.sidecars, newSoakMachine(x))
		x.awaitServed(t, "POST", "/send/x", "warm-"+x.Name)
	}
	s.startCallers()
	events := planSoak(seed, options.duration)
	departures := planDepartures(seed, options.duration)
	s.actions.Go(func() { s.play(departures) })
	s.play(events)
	s.actions.Wait()
	s.stopping.Store(true)
	s.callers.Wait()
	s.checkRecovery()
	s.checkConfiguration()
	s.checkRequests()
	s.checkRest()
	t.Logf("seed %d: %d events, %v", seed, len(events), &s.audit)
	if t.Failed() {
		t.Logf("plan: %v, departures: %v", events, departures)
		t.Logf("began at %d: %v", s.audit.began.UnixMilli(), s.audit.describeProcesses())
	}
}

func newSoakMachine(x *Machine) *soakMachine {
	machine := &soakMachine{Machine: x}
	machine.running.Store(x.Process)
	machine.app.Store(x.App)
	return machine
}

// play performs the events, each on a goroutine of its own. It returns after the start of the last one.
func (s *soak) play(events []soakEvent) {
	began := time.Now()
	for _, event := range events {
		time.Sleep(event.at - time.Since(began))
		s.actions.Go(func() { s.perform(event) })
	}
}

func (s *soak) perform(event soakEvent) {
	sidecar := s.sidecars[event.target%len(s.sidecars)]
	member := s.members[event.target%len(s.members)]
	switch event.action {
	case terminateSidecar:
		s.terminate(sidecar)
	case reloadSidecar:
		signalSoak(sidecar, syscall.SIGHUP)
	case changeRoute:
		s.changeRoute(event)
	case drainServer:
		s.drainServer(sidecar)
	case terminateMember:
		s.terminate(member)
	case reloadMember:
		signalSoak(member, syscall.SIGHUP)
	case killSidecar:
		s.kill(sidecar)
	case pauseSidecar:
		pauseSoak(sidecar, event.pause)
	case killMember:
		s.kill(member)
	case pauseMember:
		pauseSoak(member, event.pause)
	case killAllMembers:
		for _, x := range s.members {
			s.actions.Go(func() { s.kill(x) })
		}
	case crashServer:
		s.replaceServer(sidecar, func(app *FakeApp) { app.Crash() })
	case departServer:
		s.departServer(sidecar, event)
	}
}

// signalSoak sends a signal to whatever process runs there now, also while that shuts down.
func signalSoak(x *soakMachine, signal syscall.Signal) {
	_ = x.running.Load().Cmd.Process.Signal(signal) // fails only where the process has ended
}

func pauseSoak(x *soakMachine, pause time.Duration) {
	process := x.running.Load()
	process.Pause()
	time.Sleep(pause)
	process.Resume()
}

// terminate sends SIGTERM, waits for the process's end, which must come within the grace period, and starts the next one. A SIGTERM to a process that
// already shuts down is only sent.
func (s *soak) terminate(x *soakMachine) {
	if !x.restarting.TryLock() {
		signalSoak(x, syscall.SIGTERM)
		return
	}
	defer x.restarting.Unlock()
	process := x.running.Load()
	process.MarkStopping()
	s.audit.noteProcess(soakTerminated, x.Name)
	signalSoak(x, syscall.SIGTERM)
	defer s.audit.noteProcess("start", x.Name)
	select {
	case <-process.Exited:
		s.audit.noteProcess("end", x.Name)
	case <-time.After(soakShutdownTime):
		if s.audit.planned {
			s.audit.violation("%s does not end within %v of SIGTERM", x.Name, soakShutdownTime)
		}
		process.Kill()
	}
	s.startAgain(x)
}

// kill sends SIGKILL, also to a process that shuts down or has just been started.
func (s *soak) kill(x *soakMachine) {
	process := x.running.Load()
	process.Kill()
	x.restarting.Lock()
	defer x.restarting.Unlock()
	if x.running.Load() == process {
		s.startAgain(x)
	}
}

// startAgain starts the next process. The caller holds restarting. One that is killed before it listens is started again.
func (s *soak) startAgain(x *soakMachine) {
	var err error
	for range soakStartTries {
		if err = x.Start(); err == nil {
			x.running.Store(x.Process)
			x.startedAt.Store(time.Now().UnixNano())
			return
		}
	}
	s.audit.violation("%s does not start: %v", x.Name, err)
}

// drainServer has a server announce its shutdown, serve on for longer than DrainS, and leave. Then the next instance starts.
func (s *soak) drainServer(x *soakMachine) {
	s.replaceServer(x, func(app *FakeApp) {
		app.Drain()
		time.Sleep(2300 * time.Millisecond) // DrainS and a little more
		app.leave()
	})
}

// leave ends the server in order: it deregisters, and ends once it has answered what it runs.
func (a *FakeApp) leave() {
	close(a.stop)
	a.state.Store(appDraining) // it fails its health checks from now on
	a.call("deregister", nil)
	_ = a.server.Shutdown(context.Background()) // ends with the last request, of which each ends by itself
}

// replaceServer ends a server and starts its next instance, unless another event does so already.
func (s *soak) replaceServer(x *soakMachine, end func(*FakeApp)) {
	if !x.replacing.TryLock() {
		return
	}
	defer x.replacing.Unlock()
	end(x.app.Load())
	var err error
	for range soakStartTries {
		if err = x.startNextApp(); err == nil {
			x.app.Store(x.App)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	s.audit.violation("no server starts beside %s: %v", x.Name, err)
}

func (x *soakMachine) startNextApp() error {
	x.restarting.Lock()
	defer x.restarting.Unlock()
	return x.StartApp()
}

// changeRoute moves a route to one of the services, and sends that to members in turn until one acknowledges it.
func (s *soak) changeRoute(event soakEvent) {
	version := s.version.Add(1)
	call := ModifyCall(1, nil, RouteItem("move", "idempotent", "/move/", soakService(version), int(version)))
	for try := event.target; !s.stopping.Load(); try++ {
		status, text := s.members[try%len(s.members)].Modify(call)
		switch {
		case status == http.StatusOK:
			s.noteAcked(version)
			return
		case status >= 400 && status < 500:
			if status != http.StatusConflict || s.acked.Load() < version {
				s.audit.violation("version %d of the route is refused: %d %s", version, status, text)
			}
			return
		}
		time.Sleep(50 * time.Millisecond)
		if try > event.target+maxSoakChangeTries {
			s.audit.violation("version %d of the route is not acknowledged", version)
			return
		}
	}
}

// maxSoakChangeTries bounds the tries of one change: with the pauses and the time-outs of calls, longer than members rest after all of them were killed.
const maxSoakChangeTries = 200

// soakService is the service that a version of the route moves it to.
func soakService(version int64) string { return []string{"stock", "orders"}[version%2] }

func (s *soak) noteAcked(version int64) {
	for {
		acked := s.acked.Load()
		if acked >= version || s.acked.CompareAndSwap(acked, version) {
			return
		}
	}
}

// checkRecovery checks that all sidecars are ready and serve soon after the last event.
func (s *soak) checkRecovery() {
	deadline := time.Now().Add(soakRecoveryTime)
	for _, x := range s.sidecars {
		for _, path := range []string{"/read/", "/send/x", "/once/x", "/move/"} {
			key := ""
			if path == "/send/x" {
				key = fmt.Sprint("recovered-", x.Name)
			}
			var response Response
			if !testfleet.Await(time.Until(deadline), func() bool {
				response = x.Send("POST", path, key, []byte("body"))
				return response.Status == http.StatusOK || response.Status == http.StatusConflict
			}) {
				s.t.Errorf("RECOVER: %s does not serve %s %v after the last event: %+v", x.Name, path, soakRecoveryTime, response)
			}
		}
	}
}

// checkConfiguration checks that each member has no older configuration than what was acknowledged.
func (s *soak) checkConfiguration() {
	for _, x := range s.members {
		var document string
		assert.Check(s.t, testfleet.Await(testTimeout, func() bool {
			var status int
			status, document = x.Fetch()
			return status == http.StatusOK
		}), "%s answers no read: %s", x.Name, document)
		if version := routeVersion(s.t, document, "move"); version < s.acked.Load() || version > s.version.Load() {
			s.t.Errorf("CONFIG: %s has version %d, acknowledged is %d, the highest sent %d", x.Name, version, s.acked.Load(), s.version.Load())
		}
	}
}

// checkRequests checks what callers and servers saw.
func (s *soak) checkRequests() {
	for _, violation := range s.Recorder.Violations() {
		s.t.Error(violation)
	}
	for _, violation := range s.audit.check(s.Recorder) {
		s.t.Error(violation)
	}
}

// checkRest checks that the processes have nothing left of the traffic: no open requests, and no more descriptors than their connections to each other.
func (s *soak) checkRest() {
	machines := len(s.members) + len(s.sidecars)
	allowed := soakBaseDescriptors + soakDescriptorsPerPeer*machines
	for _, x := range append(append([]*soakMachine(nil), s.members...), s.sidecars...) {
		process := x.running.Load()
		var descriptors, residentKB int
		atRest := testfleet.Await(soakRestTime, func() bool {
			descriptors, residentKB = process.Resources()
			return descriptors <= allowed
		})
		if !atRest {
			s.t.Errorf("%s has %d descriptors open at rest, %d allowed", x.Name, descriptors, allowed)
		}
		if residentKB > soakMemoryKB {
			s.t.Errorf("%s has %d KB of memory, %d allowed", x.Name, residentKB, soakMemoryKB)
		}
		if process.Crashed() {
			s.t.Errorf("%s has ended by itself", x.Name)
		}
		s.audit.noteResources(descriptors, residentKB)
	}
}

const (
	soakBaseDescriptors    = 24        // of a process without connections: listeners, poller, standard streams, files of the store
	soakDescriptorsPerPeer = 3         // to each other process: one connection each way, and one for calls
	soakMemoryKB           = 256 << 10 // MemoryMb of baseSettings
)

// soakPause sleeps for a random time up to a limit.
func soakPause(random *rand.Rand, limit time.Duration) {
	time.Sleep(time.Duration(random.Int64N(int64(limit))))
}
