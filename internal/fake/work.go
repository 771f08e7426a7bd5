package fake

import (
	"net/http"
	"strconv"
	"strings"
	"time"
)

// timeLeft is what X-Time-Left says; 0: nothing.
func requestTimeLeft(r *http.Request) time.Duration {
	text := r.Header.Get("X-Time-Left")
	for unit, d := range map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond} {
		if n, is := strings.CutSuffix(text, unit); is {
			if v, err := strconv.ParseInt(n, 10, 32); err == nil {
				return time.Duration(v) * d
			}
		}
	}
	return 0
}

// workToEnd does the work of a stubborn server: it looks for its caller only when it is done. Half comes before
// the call to the next server, half after it, and the slot is held all along.
func (s *Server) workToEnd(a *Arrival, took, left time.Duration, gone <-chan struct{}) (status int, text string, ok bool) {
	began := time.Now()
	defer s.release()
	good := true
	if s.config.CallDownstream == nil {
		time.Sleep(took)
	} else {
		time.Sleep(took / 2)
		if good = s.config.CallDownstream(a.Class, left-time.Since(began)); good {
			time.Sleep(took / 2)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalWork += took
	select {
	case <-gone:
		s.wastedWork += took
		return 0, "", false
	default:
	}
	if !good {
		return http.StatusInternalServerError, "", true
	}
	return http.StatusOK, ResponseBody(a.ID), true
}

// Slower has the work of requests that begin from now on take so many times as long; 1: as before.
func (s *Server) SetSlowdown(times float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = times
}

// WorkDone is how long a stubborn server has worked, and how much of that for callers that had left.
func (s *Server) WorkDone() (all, vain time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalWork, s.wastedWork
}
