package fake

import (
	"errors"
	"fmt"
	"net"
	"sync"
	"time"
)

// ServerConfig describes a server.
type ServerConfig struct {
	ID             string
	Zone           string
	Cell           int
	Concurrency    int           // requests that are processed at a time
	QueueLimit     int           // requests that wait for that; further ones are rejected
	ServiceTime    time.Duration // of a request, when the server is warm and its queue is empty
	QueueSlowdown  float64       // what each queued request adds to the service time of the others, as a share of it
	SlowStart      SlowStart
	MaxConnections int           // further connections are reset; 0: no limit
	ResponseDelay  time.Duration // latency of the way back, for a server in another zone

	// IgnoreDisconnects continues with a request, in its slot or in the queue, after its caller has closed the connection. Many real
	// servers do so.
	IgnoreDisconnects bool
	// CallDownstream is called after half of the service time, with what is left of the request's time. False means that the call
	// failed, and this request fails with it. nil: the server calls nobody. It is used with IgnoreDisconnects only.
	CallDownstream func(class string, left time.Duration) bool
}

// Mode is what a server does with requests.
type Mode int

// The modes of a server.
const (
	Serving   Mode = iota
	Draining       // finishes the requests that it has and rejects new ones
	Hanging        // accepts requests and never answers
	Rejecting      // rejects every request as unprocessed
	Failing        // answers every request with 500 at once
)

// Server is a fake application server that speaks HTTP/1.1.
type Server struct {
	config    ServerConfig
	recorder  *Recorder
	keyStore  *KeyStore
	port      int    // 0 before the first start
	proxyAddr string // advertised in place of Addr; "": none

	mu                sync.Mutex // guards the fields below
	mode              Mode
	incarnation       int
	startedAt         time.Duration
	startedUnixMillis float64
	listener          net.Listener  // nil while the server is down
	downPort          *ReservedPort // keeps the address while the server is down
	conns             map[net.Conn]struct{}
	busySlots         int
	queue             []chan struct{} // one for each queued request; receives when the request gets a slot
	recentArrivals    []time.Duration // within the slow start's overload window
	crashedInWarmup   bool
	slowdown          float64 // factor of the service time; 0: none
	weakness          float64 // divisor of the capacity that counts for the overload in the slow start; 0: none
	wastedWork        time.Duration
	totalWork         time.Duration

	goroutines sync.WaitGroup // of the listener and the connections
}

// NewServer starts a server on a free loopback port. Servers that share a key store recognize each other's keys, as far as the scope
// of the class says.
func NewServer(config ServerConfig, recorder *Recorder, keys *KeyStore) (*Server, error) {
	s := &Server{config: config, recorder: recorder, keyStore: keys, conns: map[net.Conn]struct{}{}}
	return s, s.listen(false)
}

// ID is the server's id.
func (s *Server) ID() string { return s.config.ID }

// Addr is the address that the server listens on. A restart does not change it.
func (s *Server) Addr() string { return fmt.Sprintf("127.0.0.1:%d", s.port) }

// Config is the configuration that the server was made with.
func (s *Server) Config() ServerConfig { return s.config }

// AdvertiseAs has registries list another address for the server, such as that of a gateway. Call it before the server is first
// listed.
func (s *Server) AdvertiseAs(addr string) { s.proxyAddr = addr }

func (s *Server) advertisedAddr() string {
	if s.proxyAddr != "" {
		return s.proxyAddr
	}
	return s.Addr()
}

// Incarnation returns the number of the server's restarts, and the Unix time in milliseconds of the latest one; that is 0 for the
// first incarnation, which counts as having started long ago.
func (s *Server) Incarnation() (number int, startedUnixMillis float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation, s.startedUnixMillis
}

// SetMode changes what the server does with requests that arrive from now on.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// SetSlowdown multiplies the service time of requests that begin from now on; 1 is the normal speed.
func (s *Server) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// WorkDone returns how long a server with IgnoreDisconnects has worked, and how much of that was for callers that had left.
func (s *Server) WorkDone() (total, wasted time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalWork, s.wastedWork
}

// Crash ends the server like a process that dies: its connections are reset and new ones are refused. It waits for the goroutines of
// the server.
func (s *Server) Crash() {
	s.mu.Lock()
	listener := s.listener
	s.listener = nil
	for c := range s.conns {
		ResetConnection(c)
	}
	s.mu.Unlock()
	if listener != nil {
		s.reservePort()
		listener.Close()
	}
	s.goroutines.Wait()
}

// reservePort keeps the server's port while no listener does. Where that is not possible, Restart may fail.
func (s *Server) reservePort() {
	port, err := reservePort(s.port)
	if err != nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.downPort = port
}

// releasePort gives up what reservePort keeps. The caller holds mu.
func (s *Server) releasePort() {
	if s.downPort != nil {
		s.downPort.Close()
		s.downPort = nil
	}
}

// Restart starts the server again after Crash, at the same address and in slow start.
func (s *Server) Restart() error { return s.listen(true) }

// Close ends the server.
func (s *Server) Close() {
	s.Crash()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releasePort()
}

// listen opens the listener. A restart begins a new incarnation.
func (s *Server) listen(restart bool) error {
	listener, err := listenShared(s.port)
	if err != nil {
		return fmt.Errorf("starting fake server %s: %w", s.config.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.mode = listener, Serving
	s.crashedInWarmup, s.recentArrivals = false, nil
	s.releasePort()
	if restart {
		s.beginIncarnation()
	} else {
		s.port = listener.Addr().(*net.TCPAddr).Port
	}
	s.goroutines.Go(func() { s.accept(listener) })
	return nil
}

// beginIncarnation records a restart. The caller holds mu.
func (s *Server) beginIncarnation() {
	now := s.recorder.Now()
	s.incarnation++
	s.startedAt, s.startedUnixMillis = now, float64(time.Now().UnixMilli())
	start := ServerStart{
		Server: s.config.ID, Incarnation: s.incarnation, At: now, SlowStart: s.config.SlowStart, Capacity: s.capacity(),
	}
	s.recorder.update(func() { s.recorder.starts = append(s.recorder.starts, start) })
}

// capacity is the number of requests a second that the server handles once it is warm. The caller holds mu.
func (s *Server) capacity() float64 {
	return float64(s.config.Concurrency) / s.config.ServiceTime.Seconds() / max(1, s.weakness)
}

// Weaken divides the capacity by which the server is judged to be overloaded while it warms up, from its next start on.
func (s *Server) Weaken(divisor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.weakness = divisor
}

// accept serves connections until the listener is closed.
func (s *Server) accept(listener net.Listener) {
	for {
		c, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		incarnation, ok := s.addConnection(c, listener)
		if !ok {
			ResetConnection(c)
			continue
		}
		s.goroutines.Go(func() {
			s.serveConnection(c, incarnation)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			c.Close()
		})
	}
}

// addConnection registers a connection, unless the listener is no longer the server's own or the limit is reached.
func (s *Server) addConnection(c net.Conn, listener net.Listener) (incarnation int, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != listener || s.config.MaxConnections > 0 && len(s.conns) >= s.config.MaxConnections {
		return 0, false
	}
	s.conns[c] = struct{}{}
	return s.incarnation, true
}
