package sidecar

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/api"
	"cranegrade/internal/mesh/logring"
	"cranegrade/internal/mesh/settings"
	sender "cranegrade/internal/sender/http1"
)

// shutdownSlack is the part of the grace period that is kept for the end itself.
const shutdownSlack = 700 * time.Millisecond

// Sidecar is one sidecar. New and Run are each called once.
type Sidecar struct {
	env       *environment
	readiness readiness

	outbound      *outboundListener
	configuration *configuration
	directory     *directoryView
	maintenance   *maintenanceView
	pools         *servicePools
	upstreams     *upstreams
	inbound       *inboundServer
	localServer   *localServer
	controlPlane  *controlPlaneConn
	claims        *keyClaims
	releases      *releaseQueue
	tokens        *tokenSource

	inboundListener   net.Listener
	readinessListener net.Listener
	localAPIListener  net.Listener
	httpServers       []*http.Server

	// background is the goroutines whose end Run waits for. Not in it are those of connections, which end with their
	// connection, and that of the inbound listener, which stays open until the process ends.
	background sync.WaitGroup
}

// New opens the listeners for other sidecars, the readiness check and the local server's calls. An error names the
// setting of the listener that can't be opened. Run opens the listener for callers.
func New(set settings.Settings, log zerolog.Logger, ring *logring.Ring) (*Sidecar, error) {
	s := assemble(set, log, ring)
	for _, l := range []struct {
		setting string
		addr    string
		opened  *net.Listener
	}{
		{"Readiness", set.ListenAddrs.Readiness, &s.readinessListener},
		{"ControlPlane", set.ListenAddrs.ControlPlane, &s.localAPIListener},
		{"Inbound", set.TransportListenAddress(set.ListenAddrs.Inbound), &s.inboundListener},
	} {
		listener, err := net.Listen("tcp4", l.addr)
		if err != nil {
			return nil, errors.Annotate(err, l.setting)
		}
		*l.opened = listener
	}
	return s, nil
}

// assemble makes all parts of a sidecar, without any listeners.
func assemble(set settings.Settings, log zerolog.Logger, ring *logring.Ring) *Sidecar {
	env := newEnvironment(set, log)
	s := &Sidecar{
		env:    env,
		tokens: &tokenSource{incarnation: env.incarnation},
	}
	budgets := newResourceBudgets(set)
	s.outbound = &outboundListener{env: env, readiness: &s.readiness, callerShare: budgets.callerConns}
	s.directory = newDirectoryView(env)
	s.maintenance = newMaintenanceView(env, &s.readiness, s.outbound)
	s.upstreams = newUpstreams(env, s.directory)
	s.pools = newServicePools(env, budgets, s.directory, s.maintenance, s.upstreams)
	s.configuration = newConfiguration(env, s.outbound, s.pools)
	s.controlPlane = newControlPlaneConn(env)
	s.configuration.poller = newPolicyPoller(env, s.configuration, s.controlPlane)
	s.claims = &keyClaims{env: env, controlPlane: s.controlPlane}
	s.releases = newReleaseQueue(env, s.controlPlane)
	s.assembleInbound(ring, sender.New(sender.Config{
		ServerIdleTimeout: serverIdleTimeout,
		ConnectTimeout:    serverConnectTimeout,
		Connections:       budgets.serverConns,
		ResponseBuffers:   budgets.serverResponseBuffers,
		Protocol:          serverProtocol{},
		ReadTimeout:       time.Hour,
	}))
	s.connectParts()
	return s
}

// assembleInbound makes the parts that run requests at the local server.
func (s *Sidecar) assembleInbound(ring *logring.Ring, toServer *sender.Sender) {
	responses := newResponseStore()
	s.inbound = &inboundServer{
		env:         s.env,
		sender:      toServer,
		responses:   responses,
		claims:      s.claims,
		releases:    s.releases,
		maintenance: s.maintenance,
		status:      s.status,
		ring:        ring,
		conns:       map[*inboundConn]bool{},
	}
	s.inbound.responseExchange = &responseExchange{
		env:         s.env,
		upstreams:   s.upstreams,
		maintenance: s.maintenance,
		responses:   responses,
	}
	s.localServer = newLocalServer(s.env, toServer, &s.inbound.metrics)
	s.inbound.localServer = s.localServer
}

// connectParts gives each part references to the parts that it notifies of changes.
func (s *Sidecar) connectParts() {
	s.directory.pools = s.pools
	s.directory.localServer = s.localServer
	s.maintenance.pools = s.pools
	s.maintenance.localServer = s.localServer
	s.maintenance.recaller = s.inbound.responseExchange
	s.localServer.directory = s.directory
	s.localServer.controlPlane = s.controlPlane
	s.controlPlane.configuration = s.configuration
	s.controlPlane.directory = s.directory
	s.controlPlane.maintenance = s.maintenance
	s.controlPlane.localServer = s.localServer
	s.controlPlane.onConfirmed = s.configConfirmed
}

// Addr returns the address of the inbound listener, by which the other sidecars name this one.
func (s *Sidecar) Addr() string { return s.env.addr() }

// Reload applies a changed settings file. Any goroutine may call it.
func (s *Sidecar) Reload(set settings.Settings) {
	previous := s.env.settings.Swap(&set)
	if previous.Service != set.Service {
		s.configuration.callerChanged()
	}
}

// Run serves until ctx ends. It then lets callers move to other sidecars and finishes accepted requests, within the
// grace period of the settings.
func (s *Sidecar) Run(ctx context.Context) error {
	work, cancel := context.WithCancel(context.Background())
	defer s.background.Wait()
	defer cancel()
	s.env.ctx = work
	readinessServer := api.NewServer(s.readiness.handler())
	localAPIServer := api.NewServer(s.localServer.handler())
	s.httpServers = []*http.Server{readinessServer, localAPIServer}
	resolver := &routeResolver{
		configuration: s.configuration,
		pools:         s.pools,
		readiness:     &s.readiness,
	}
	protocol := &callerProtocol{
		env:           s.env,
		configuration: s.configuration,
		pools:         s.pools,
		controlPlane:  s.controlPlane,
		tokens:        s.tokens,
	}
	if err := s.outbound.open(resolver, protocol); err != nil {
		return err
	}
	s.background.Go(func() { serveUntilClosed(readinessServer, s.readinessListener) })
	s.background.Go(func() { serveUntilClosed(localAPIServer, s.localAPIListener) })
	go s.inbound.acceptConns(s.inboundListener) //nolint:contextcheck // what it starts lasts as long as the sidecar
	s.startControl()
	<-ctx.Done()
	s.shutdown() //nolint:contextcheck // it begins when ctx has ended
	return nil
}

// serveUntilClosed serves until the server is closed.
func serveUntilClosed(server *http.Server, listener net.Listener) {
	_ = server.Serve(listener) // the error only says that the server was closed
}

// startControl starts the goroutines that follow the control plane and the local server.
func (s *Sidecar) startControl() {
	s.background.Go(s.releases.run)
	s.background.Go(s.controlPlane.run)
	s.background.Go(s.localServer.watch)
}

// configConfirmed is called each time that the configuration was found to be no older than what was acknowledged. It
// runs on a goroutine that controlPlaneConn.run waits for, so that background is not empty meanwhile.
func (s *Sidecar) configConfirmed() {
	if !s.readiness.configured.CompareAndSwap(false, true) {
		return
	}
	service := s.env.settings.Load().Service
	if group := s.configuration.routing.Load().Services[service]; group.HealthPath != "" {
		s.background.Go(func() { s.localServer.probe(group.HealthPath) })
	}
}

// shutdown lets callers move to other sidecars, then finishes open requests within the rest of the grace period, and
// closes everything.
func (s *Sidecar) shutdown() {
	began := time.Now()
	grace := s.env.settings.Load().Bounds.GraceS.Duration()
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(max(grace-shutdownSlack, grace/2)))
	defer cancel()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	s.readiness.stopping.Store(true)
	s.drainCallers(began, min(connectionDrainTime, grace/2), ticker.C)
	// The local server serves other sidecars until now, so that few servers are missing at a time during a rolling
	// restart.
	s.localServer.announceLeaving()
	<-ticker.C // the others learn that this sidecar leaves before it rejects what they send
	s.inbound.draining.Store(true)
	s.finishRequests(ctx, ticker.C)
	s.inbound.finishConns(ctx)
	s.controlPlane.close()
	s.upstreams.close()
	for _, server := range s.httpServers {
		server.Close()
	}
}

// drainCallers asks callers to close their connections, for a time from began on, and closes idle ones after a while.
func (s *Sidecar) drainCallers(began time.Time, drainTime time.Duration, tick <-chan time.Time) {
	s.outbound.drain(true)
	for time.Since(began) < drainTime {
		<-tick
		if time.Since(began) > idleDrainDelay {
			s.outbound.closeIdle()
		}
	}
}

// finishRequests waits until callers and other sidecars have their responses, or until ctx ends.
func (s *Sidecar) finishRequests(ctx context.Context, tick <-chan time.Time) {
	s.outbound.finish(ctx, tick, s.pools.abandonWaiting)
	for s.inbound.openRequests.Load() > 0 && ctx.Err() == nil {
		<-tick
	}
}
