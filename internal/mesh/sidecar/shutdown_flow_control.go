package sidecar

import (
	"context"
	"time"
)

const (
	// shutdownWindowBytes is by how much the window of a blocked response is enlarged at each drainInterval.
	shutdownWindowBytes = 1 << 20
	// maxShutdownWindowBytes bounds the sum of it, since the peers have to buffer these bytes.
	maxShutdownWindowBytes = 16 << 20
)

// enlargeBlockedWindows lets streamed responses continue that wait for their peer to read, until ctx ends. While the
// process runs, a full window only delays a response. When it ends, the response would be truncated, although the server
// has sent all of it and the peer may only wait until it has written the response to an earlier pipelined request.
func (s *inboundServer) enlargeBlockedWindows(ctx context.Context) {
	ticker := time.NewTicker(drainInterval)
	defer ticker.Stop()
	for left := s.enlargeWindows(maxShutdownWindowBytes); left > 0; left = s.enlargeWindows(left) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// enlargeWindows enlarges the windows that are exhausted by at most limit bytes in all. It returns what is left of limit.
func (s *inboundServer) enlargeWindows(limit int) (left int) {
	left = limit
	for _, request := range s.listRequests() {
		if increment := min(shutdownWindowBytes, left); increment > 0 && request.sendWindow.addIfExhausted(increment) {
			left -= increment
		}
	}
	return left
}

// listRequests returns the open requests of all connections.
func (s *inboundServer) listRequests() (requests []*inboundRequest) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.mu.Lock()
		for _, request := range conn.requests {
			requests = append(requests, request)
		}
		conn.mu.Unlock()
	}
	return requests
}
