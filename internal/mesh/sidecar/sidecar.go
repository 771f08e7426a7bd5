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

	// background counts the goroutines that Run waits for. It excludes those of connections, which end with their
	// connection, and that of the inbound listener, which stays open until the process ends.
	background sync.WaitGroup
}

// New opens the listeners for other sidecars, for readiness checks and for the local server's API calls. If a listener
// can't be opened, the error names its setting. Run opens the listener for callers.
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

// assemble creates all components of a sidecar, without any listeners.
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
	s.connectComponents()
	return s
}

// assembleInbound creates the components that run requests at the local server.
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

// connectComponents gives each component references to the components that it notifies of changes.
func (s *Sidecar) connectComponents() {
	s.directory.pools = s.pools
	s.directory.localServer = s.localServer
	s.maintenance.pools = s.pools
	s.maintenance.localServer = s.localServer
	s.maintenance.recaller = s.inbound.responseExchange
	s.localServer.directory = s.directory
	s.localServer.controlPlane = s.controlPlane
	s.localServer.healthPath = s.serverHealthPath
	s.controlPlane.configuration = s.configuration
	s.controlPlane.directory = s.directory
	s.controlPlane.maintenance = s.maintenance
	s.controlPlane.localServer = s.localServer
	s.controlPlane.onConfirmed = s.configurationConfirmed
}

// Addr returns the address of the inbound listener, which identifies this sidecar to the others.
func (s *Sidecar) Addr() string { return s.env.addr() }

// Reload applies a changed settings file. Any goroutine may call it.
func (s *Sidecar) Reload(set settings.Settings) {
	previous := s.env.settings.Swap(&set)
	if previous.Service != set.Service {
		s.configuration.callingServiceChanged()
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
	go s.inbound.acceptConns(s.inboundListener) //nolint:contextcheck // the connections last as long as the sidecar
	s.startControl()
	<-ctx.Done()
	s.shutdown() //nolint:contextcheck // the shutdown begins when ctx has ended
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

// configurationConfirmed is called each time that a linearizable read has confirmed the configuration. The first time
// marks the sidecar as configured and starts the health probe of the local server. It runs on a goroutine that
// controlPlaneConn.run waits for, so background is not empty when it adds the probe.
func (s *Sidecar) configurationConfirmed() {
	if s.readiness.configured.CompareAndSwap(false, true) {
		s.background.Go(s.localServer.healthCheckKnown)
	}
}

// serverHealthPath returns the path of the local server's health check, which is empty if it has none. It is not known
// before the configuration was confirmed.
func (s *Sidecar) serverHealthPath() (path string, known bool) {
	service := s.env.settings.Load().Service
	return s.configuration.routing.Load().Services[service].HealthPath, s.readiness.configured.Load()
}

// shutdown asks callers to move to other sidecars, then finishes open requests within the rest of the grace period,
// and closes all connections and API servers.
func (s *Sidecar) shutdown() {
	began := time.Now()
	grace := s.env.settings.Load().Bounds.GraceS.Duration()
	limits := newShutdownLimits(grace)
	ctx, cancel := context.WithDeadline(context.Background(), began.Add(limits.requests))
	defer cancel()
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	s.readiness.stopping.Store(true)
	s.drainCallers(began, min(connectionDrainTime, grace/2), ticker.C)
	// The local server has accepted requests of other sidecars until now, so that few servers are unavailable at the
	// same time during a rolling restart.
	s.localServer.announceLeaving()
	<-ticker.C // other sidecars learn that this one is leaving before it rejects their requests
	s.inbound.draining.Store(true)
	go s.inbound.enlargeBlockedWindows(ctx)
	s.finishRequests(ctx, began.Add(limits.blockedRequests), ticker.C)
	s.inbound.finishConns(ctx)
	s.controlPlane.close()
	s.upstreams.close()
	for _, server := range s.httpServers {
		server.Close()
	}
}

// drainCallers asks callers to close their connections until drainTime has passed since began, and closes idle
// connections after idleDrainDelay.
func (s *Sidecar) drainCallers(began time.Time, drainTime time.Duration, tick <-chan time.Time) {
	s.outbound.drain(true)
	for time.Since(began) < drainTime {
		<-tick
		if time.Since(began) > idleDrainDelay {
			s.outbound.closeIdle()
		}
	}
}

// finishRequests waits until callers and other sidecars have received their responses, or until ctx ends. From abandonAt
// on it gives up requests that wait, or that block others.
func (s *Sidecar) finishRequests(ctx context.Context, abandonAt time.Time, tick <-chan time.Time) {
	s.outbound.finish(ctx, abandonAt, tick, s.pools.abandonWaiting)
	for s.inbound.openRequests.Load() > 0 && ctx.Err() == nil {
		<-tick
	}
}
