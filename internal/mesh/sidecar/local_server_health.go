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
	// minWatchInterval is the lower bound of the interval between two checks for missed heartbeats, which otherwise is
	// half of the heartbeat interval.
	minWatchInterval = 100 * time.Millisecond
	// recordRefreshInterval is the time after which an unchanged record is sent again.
	recordRefreshInterval = 5 * time.Second
	// probeTimeout bounds the health check at the start.
	probeTimeout = time.Second
)

// checkReachable starts a check whether anything listens at the server's address, after an attempt could not connect.
// If not, it publishes that the server is down, so that the other sidecars need not wait for missed heartbeats. The
// check's goroutine ends within serverConnectTimeout. At most one check runs at a time.
func (s *localServer) checkReachable(endpoint *engine.Endpoint) {
	if !s.reachabilityCheckRuns.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer s.reachabilityCheckRuns.Store(false)
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

// markDown records that the server is down, with the reason for operators. The caller holds mu.
func (s *localServer) markDown(reason string) {
	s.current.State = directory.ServerDown
	s.unavailableReason = reason
}

// probe discovers the server's instance by a health check, unless a heartbeat has arrived since the sidecar started.
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
	if s.applyPassedCheck(id) || !s.instances.applyProbe(id, time.Now()) {
		return // a heartbeat arrived in the meantime, or the instance has left
	}
	s.endpoint = engine.NewEndpoint(id, set.AppAddress)
	s.current.ServerID = id
	s.current.Service = set.Service
	s.applyReportedState(directory.ServerReady)
}

// probeInstance returns the ID of the instance that passes a health check at url, or "" if none does.
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

// watch runs until the sidecar ends. It periodically checks for missed heartbeats, refreshes the record at the other
// sidecars, closes the sender's expired connections and, while the control plane is reachable, expires records of the
// directory.
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

// checkHeartbeat marks the server as down if too many heartbeats were missed, and repeats the health check that a held
// heartbeat waits for. It publishes the record if the server went down, and also if refreshDue is set. It reports whether
// it published the record.
func (s *localServer) checkHeartbeat(refreshDue bool) (published bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.startConfirmation()
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
