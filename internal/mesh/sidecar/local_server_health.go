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
	// maxMissedHeartbeats is how many heartbeats a server may miss before it counts as gone, and heartbeatSlack the time besides.
	maxMissedHeartbeats = 3
	heartbeatSlack      = 500 * time.Millisecond
	// minWatchInterval bounds the pause between two looks at the local server, which is half of the heartbeats' interval.
	minWatchInterval = 100 * time.Millisecond
	// recordRefreshInterval is how often the record is sent again though nothing has changed.
	recordRefreshInterval = 5 * time.Second
	probeTimeout          = time.Second
)

// checkUnreachable looks whether nothing listens at the server's address, where an attempt could not begin: then the other
// sidecars learn of it at once, and not when heartbeats are missed.
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
			s.current.State, s.outReason = directory.ServerDown, "nothing takes connections at its address"
			s.publish()
		}
	}()
}

// probe asks the server who it is by its health check, where no heartbeat has come yet since the sidecar's start.
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
	if s.endpoint != nil || s.goneInstances[id] {
		return // its own heartbeat was faster
	}
	s.endpoint = engine.NewEndpoint(id, set.AppAddress)
	s.callSeq, s.lastHeartbeat = -1, time.Now()
	s.current.ServerID, s.current.Service = id, set.Service
	s.applyReportedState(directory.ServerReady)
}

// probeInstance is the id of the instance that answers a health check; "": none that is healthy.
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

// watch detects missed heartbeats, sends the record again now and then, and has the directory expire, until the sidecar's end.
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

// checkHeartbeat has the server count as down if its heartbeats are missed, and publishes that, or the record if it is due to be sent
// again.
func (s *localServer) checkHeartbeat(refreshDue bool) (published bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	silence := s.env.settings.Load().HeartbeatS.Duration()*maxMissedHeartbeats + heartbeatSlack
	switch {
	case s.endpoint != nil && s.current.State == directory.ServerReady && time.Since(s.lastHeartbeat) > silence:
		s.current.State, s.outReason = directory.ServerDown, fmt.Sprintf("it has not beaten for %v", silence)
	case !refreshDue:
		return false
	}
	s.publish()
	return true
}
