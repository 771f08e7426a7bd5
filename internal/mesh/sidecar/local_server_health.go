package sidecar

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/mesh/directory"
)

const (
	// minWatchInterval bounds the interval at which missed heartbeats are checked for, which is half of the heartbeats'
	// interval.
	minWatchInterval = 100 * time.Millisecond
	// recordRefreshInterval is how often the record is sent again without a change.
	recordRefreshInterval = 5 * time.Second
	// probeTimeout bounds the one health check at the start.
	probeTimeout = time.Second
)

// checkUnreachable checks, after an attempt could not connect, whether anything listens at the server's address. If
// not, the other sidecars learn of it at once rather than after missed heartbeats. Its goroutine ends within
// serverConnectTimeout; one runs at a time.
func (s *localServer) checkUnreachable(endpoint *engine.Endpoint) {
	if !s.isProbing.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.isProbing.Store(false)
		conn, err := net.DialTimeout("tcp4", endpoint.Addr, serverConnectTimeout)
		if err == nil {
			conn.Close()
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.endpoint == endpoint && s.current.State == directory.ServerReady {
			s.markDown("nothing takes connections at its address")
			s.publish()
		}
	}()
}

// markDown records that the server can't be reached, and why. The caller holds mu.
func (s *localServer) markDown(reason string) {
	s.current.State = directory.ServerDown
	s.outReason = reason
}

// probe learns the server's instance from its health check, if no heartbeat has come yet since the sidecar started.
func (s *localServer) probe(path string) {
	s.mu.Lock()
	known := s.endpoint != nil
	s.mu.Unlock()
	set := s.env.settings.Load()
	if known || path == "" || set.AppAddress == "" {
		return
	}
	id := s.probeInstance("http://" + set.AppAddress + path)
	if id == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.instances.probed(id, time.Now()) {
		return // a heartbeat has come meanwhile, or the instance has left
	}
	s.endpoint = engine.NewEndpoint(id, set.AppAddress)
	s.current.ServerID = id
	s.current.Service = set.Service
	s.applyReportedState(directory.ServerReady)
}

// probeInstance returns the ID of the instance that answers a health check, or "" if no healthy one does.
func (s *localServer) probeInstance(url string) string {
	ctx, cancel := context.WithTimeout(s.env.ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return ""
	}
	request.Close = true
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return ""
	}
	response.Body.Close()
	id := response.Header.Get(headerInstanceID)
	if response.StatusCode != http.StatusOK || len(id) > maxIDBytes {
		return ""
	}
	return id
}

// watch detects missed heartbeats, refreshes the record at the other sidecars, and expires records of the directory,
// until the sidecar ends.
func (s *localServer) watch() {
	ticker := time.NewTicker(max(minWatchInterval, s.env.settings.Load().HeartbeatS.Duration()/2))
	defer ticker.Stop()
	published := time.Now()
	for {
		select {
		case <-ticker.C:
		case <-s.env.ctx.Done():
			return
		}
		s.sender.Sweep()
		if s.checkHeartbeat(time.Since(published) > recordRefreshInterval) {
			published = time.Now()
		}
		if s.controlPlane.isReachable() {
			s.directory.expire()
		}
	}
}

// checkHeartbeat marks the server as down if too many heartbeats were missed. It publishes the record if that is so
// or refreshDue is set, and reports whether it did.
func (s *localServer) checkHeartbeat(refreshDue bool) (published bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	interval := s.env.settings.Load().HeartbeatS.Duration()
	missed := s.current.State == directory.ServerReady && s.instances.isSilent(time.Now(), interval)
	if missed {
		s.markDown(fmt.Sprintf("no heartbeat for %v", maxSilence(interval)))
	}
	if !missed && !refreshDue {
		return false
	}
	s.publish()
	return true
}
