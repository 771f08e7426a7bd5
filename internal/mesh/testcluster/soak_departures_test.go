package testcluster

import (
	"context"
	"time"
)

const (
	soakDrainTime   = 2 * time.Second       // DrainS of baseSettings
	soakContactTime = 3 * time.Second       // ContactS: a process counts as in touch so long after its start
	soakServeOnTime = 6 * time.Second       // for which a server serves on after it has deregistered
	soakYoungAge    = 2 * heartbeatInterval // at which a server departs within its first calls
	soakMaxLateness = 4                     // of a heartbeat, as a multiple of the event's pause
	soakDepartTries = 20                    // of the call by which a server deregisters
	soakDepartRetry = 50 * time.Millisecond // between two of them
)

// departServer has a server deregister without announcing that before, and then the next instance, within its first calls. Each serves on, while its last
// heartbeat is still on its way.
func (s *soak) departServer(x *soakMachine, event soakEvent) {
	depart := func(app *FakeApp) { s.depart(x, app, soakMaxLateness*event.pause) }
	s.replaceServer(x, depart)
	time.Sleep(soakYoungAge)
	s.replaceServer(x, depart)
}

// depart has a server deregister and serve on. Its last heartbeat is sent before, and arrives later by lateness. A request that reaches the server later
// than DrainS after the acknowledgement breaks the rule DRAIN, unless its sidecar has only just been started.
func (s *soak) depart(x *soakMachine, app *FakeApp, lateness time.Duration) {
	close(app.stop)
	heartbeat := app.nextHeartbeat()
	app.state.Store(appDraining) // it fails its health checks from now on
	acknowledged := false
	for try := 0; try < soakDepartTries && !acknowledged; try++ {
		if acknowledged = app.call("deregister", nil); !acknowledged {
			time.Sleep(soakDepartRetry)
		}
	}
	if acknowledged {
		drained := time.Now().Add(soakDrainTime)
		app.OnRun(func(attempt string) {
			now := time.Now()
			if inTouch := time.Unix(0, x.startedAt.Load()).Add(soakContactTime); now.After(drained) && now.After(inTouch) {
				s.audit.noteLateRun(soakLateRun{attempt: attempt, instance: app.Instance, lateness: now.Sub(drained)})
			}
		})
	}
	time.Sleep(lateness)
	app.call("heartbeat", heartbeat)
	time.Sleep(soakServeOnTime - lateness)
	_ = app.server.Shutdown(context.Background()) // ends with the last request, of which each ends by itself
}
