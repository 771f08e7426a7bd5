package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Cold is how a server behaves after its start: its capacity rises evenly from a share of the full
// one, and more than a multiple of the present one over a span pushes it over.
type SlowStart struct {
	InitialShare   float64       // share of the capacity at the start; 0: no cold start at all
	Duration       time.Duration // until it has all
	OverloadFactor float64       // what is too much
	OverloadWindow time.Duration // over this span
}

// ServerConfig describes a server.
type ServerConfig struct {
	ID             string
	Zone           string
	Cell           int
	Concurrency    int           // requests worked on at a time
	QueueLimit     int           // and waiting; more are turned away
	ServiceTime    time.Duration // that a request takes when the server is warm and not crowded
	QueueSlowdown  float64       // what each waiting request adds to the work of the others, as a share of it
	SlowStart      SlowStart
	MaxConnections int           // connections it accepts at a time; 0: no limit
	ResponseDelay  time.Duration // that answers take to where they are wanted: of a server in another zone

	// Stubborn goes on with a request whose caller has left, in its slot or its queue: what many servers do.
	IgnoreDisconnects bool
	// Next is called after half the work, with what is left of the request's time; false: it failed, and so
	// does this one. nil: the server calls nobody.
	CallDownstream func(class string, left time.Duration) bool
}

// Mode is what a server does with requests.
type Mode int

// Modes.
const (
	Serving   Mode = iota
	Draining       // finishes what it has, turns away what is new
	Hanging        // takes requests and answers none
	Rejecting      // answers every request as turned away
	Failing        // answers every request with 500, at once
)

// Server is a stand-in for a server, which speaks HTTP/1.1.
type Server struct {
	config   ServerConfig
	recorder *Recorder
	keyStore *KeyStore
	addr     string

	proxyAddr string // "": nothing stands before it

	mu                sync.Mutex // guards all below
	mode              Mode
	incarnation       int
	started           time.Duration
	startedUnixMillis float64
	listener          net.Listener // nil while it is down
	conns             map[net.Conn]struct{}
	busySlots         int
	queue             []chan struct{} // of requests in the queue
	recentArrivals    []time.Duration // arrivals within the cold span
	crashedInWarmup   bool
	slowdown          float64 // what its work takes longer; 0: nothing
	wastedWork        time.Duration
	totalWork         time.Duration
	goroutines        sync.WaitGroup
}

// NewServer starts a server on a free loopback port. Servers that share keys drop each other's repeats.
func NewServer(cfg ServerConfig, rec *Recorder, keys *KeyStore) (*Server, error) {
	s := &Server{config: cfg, recorder: rec, keyStore: keys, conns: map[net.Conn]struct{}{}}
	return s, s.listen("127.0.0.1:0", false)
}

// ID is its id, Addr its address, the same after a restart.
func (s *Server) ID() string { return s.config.ID }

// Addr is its address, the same after a restart.
func (s *Server) Addr() string { return s.addr }

// Behind has lists name another address in the place of its own: of what stands before it. It is called before the
// first list.
func (s *Server) AdvertiseAs(addr string) { s.proxyAddr = addr }

func (s *Server) advertisedAddr() string {
	if s.proxyAddr != "" {
		return s.proxyAddr
	}
	return s.addr
}

// Config is what it was made of.
func (s *Server) Config() ServerConfig { return s.config }

// Boot tells which life of the server this is, and its Unix time in ms as the registry would tell it:
// 0 for the first, which was long ago.
func (s *Server) Incarnation() (int, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.incarnation, s.startedUnixMillis
}

func (s *Server) listen(addr string, cold bool) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.config.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.addr, s.mode, s.crashedInWarmup, s.recentArrivals = l, l.Addr().String(), Serving, false, nil
	now := s.recorder.Now()
	if cold {
		s.incarnation++
		s.started, s.startedUnixMillis = now, float64(time.Now().UnixMilli())
		s.recorder.update(func() {
			s.recorder.starts = append(s.recorder.starts, ServerStart{s.config.ID, s.incarnation, now, s.config.SlowStart, s.capacity()})
		})
	}
	s.goroutines.Go(func() { s.accept(l) })
	return nil
}

// capacity is the requests a second that it serves once warm.
func (s *Server) capacity() float64 {
	return float64(s.config.Concurrency) / s.config.ServiceTime.Seconds()
}

// SetMode changes what it does with requests from now on.
func (s *Server) SetMode(m Mode) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = m
}

// Crash ends it as a process that dies: its connections are reset and new ones refused.
func (s *Server) Crash() {
	s.mu.Lock()
	l := s.listener
	s.listener = nil
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	if l != nil {
		l.Close()
	}
	s.goroutines.Wait()
}

// Restart starts it again after Crash, cold and under its address.
func (s *Server) Restart() error { return s.listen(s.addr, true) }

// Close ends it.
func (s *Server) Close() { s.Crash() }

func reset(c net.Conn) {
	if t, is := c.(*net.TCPConn); is {
		t.SetLinger(0)
	}
	c.Close()
}

func (s *Server) accept(l net.Listener) {
	for {
		c, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		s.mu.Lock()
		if s.listener != l || s.config.MaxConnections > 0 && len(s.conns) >= s.config.MaxConnections {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = struct{}{}
		boot := s.incarnation
		s.mu.Unlock()
		s.goroutines.Go(func() {
			s.serve(c, boot)
			s.mu.Lock()
			delete(s.conns, c)
			s.mu.Unlock()
			c.Close()
		})
	}
}

// serve serves the requests of one connection in turn.
func (s *Server) serve(c net.Conn, boot int) {
	r := bufio.NewReader(c)
	for {
		if _, err := r.Peek(1); err != nil {
			return
		}
		first := s.recorder.Now()
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		bytes, err := io.Copy(io.Discard, req.Body)
		if err != nil {
			return
		}
		a := &Arrival{
			ID: req.Header.Get("X-Correlation-Id"), Key: req.Header.Get("Idempotency-Key"),
			Class: firstSegment(req.URL.Path), Host: req.Host, Path: req.URL.Path, Server: s.config.ID, Incarnation: boot, Zone: s.config.Zone, Cell: s.config.Cell,
			FirstByteAt: first, LastByteAt: s.recorder.Now(), RequestBytes: bytes, ResponseBytes: -1,
		}
		s.recorder.recordArrival(a)
		// What closes the connection ends the wait for a turn: a caller that has gone wants nothing.
		gone := make(chan struct{})
		watch := make(chan struct{})
		go func() {
			defer close(watch)
			if _, err := r.Peek(1); err != nil {
				close(gone)
			}
		}()
		status, text, ok := s.work(a, boot, requestTimeLeft(req), gone)
		if !ok {
			// It never answers; what comes meanwhile is not read as a request.
			<-watch
			io.Copy(io.Discard, r)
			return
		}
		select {
		case <-gone:
			return
		default:
		}
		if s.config.ResponseDelay > 0 {
			time.Sleep(s.config.ResponseDelay)
		}
		more := ""
		if status == http.StatusServiceUnavailable {
			more = "X-Unprocessed: 1\r\n"
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(text), more, text)
		if err != nil {
			return
		}
		s.recorder.update(func() { a.Unprocessed, a.ResponseBytes = status == http.StatusServiceUnavailable, int64(len(text)) })
		<-watch
	}
}

// Body is what a server answers to a request: only it can make that.
func ResponseBody(id string) string { return "made for " + id }

// work decides what becomes of a request; not ok: no answer ever.
func (s *Server) work(a *Arrival, boot int, left time.Duration, gone <-chan struct{}) (status int, text string, ok bool) {
	s.mu.Lock()
	if s.incarnation != boot || s.listener == nil {
		s.mu.Unlock()
		return 0, "", false
	}
	now := s.recorder.Now()
	if s.exceedsWarmupLimit(now) {
		s.mu.Unlock()
		go s.Crash() // which waits for this request to end
		return 0, "", false
	}
	switch mode := s.mode; {
	case mode == Hanging:
		s.mu.Unlock()
		return 0, "", false
	case mode == Failing:
		s.mu.Unlock()
		return http.StatusInternalServerError, "", true
	case mode == Draining, mode == Rejecting, s.busySlots >= s.config.Concurrency && len(s.queue) >= s.config.QueueLimit:
		s.mu.Unlock()
		return http.StatusServiceUnavailable, "", true
	}
	if s.busySlots >= s.config.Concurrency {
		turn := make(chan struct{}, 1)
		s.queue = append(s.queue, turn)
		s.mu.Unlock()
		leaving := gone
		if s.config.IgnoreDisconnects {
			leaving = nil
		}
		select {
		case <-turn: // with the slot of the one before
		case <-leaving:
			s.mu.Lock()
			for i, w := range s.queue {
				if w == turn {
					s.queue = append(s.queue[:i], s.queue[i+1:]...)
					s.mu.Unlock()
					return 0, "", false
				}
			}
			s.mu.Unlock()
			<-turn // it came meanwhile
			s.release()
			return 0, "", false
		}
		s.mu.Lock()
	} else {
		s.busySlots++
	}
	if s.incarnation != boot || s.listener == nil {
		s.mu.Unlock()
		s.release()
		return 0, "", false
	}
	took := s.config.ServiceTime.Seconds() / s.capacityShare(s.recorder.Now()) * (1 + s.config.QueueSlowdown*float64(len(s.queue)))
	if s.slowdown > 0 {
		took *= s.slowdown
	}
	s.mu.Unlock()
	repeat := a.Key != "" && s.keyStore.checkAndAdd(a.Key, s.recorder.Classes[a.Class], s.config.Zone, s.config.Cell, s.recorder.Now())
	s.recorder.update(func() { a.Ran, a.Duplicate = !repeat, repeat })
	if repeat {
		took = 0
	}
	if s.config.IgnoreDisconnects {
		return s.workToEnd(a, time.Duration(took*float64(time.Second)), left, gone)
	}
	select {
	case <-time.After(time.Duration(took * float64(time.Second))):
		s.release()
		return http.StatusOK, ResponseBody(a.ID), true
	case <-gone: // calling off stops the work, not the effect
		s.release()
		return 0, "", false
	}
}

// release gives a slot to the next in the queue.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		next <- struct{}{}
		return
	}
	s.busySlots--
}

// warmth is the share of its capacity that the server has. The caller holds mu.
func (s *Server) capacityShare(now time.Duration) float64 {
	return s.config.SlowStart.shareOf(s.incarnation, now-s.started)
}

func (c SlowStart) shareOf(boot int, age time.Duration) float64 {
	if boot == 0 || c.InitialShare == 0 || age >= c.Duration {
		return 1
	}
	return c.InitialShare + (1-c.InitialShare)*float64(age)/float64(c.Duration)
}

// Share is the share of its capacity that a server has at this age.
func (c SlowStart) CapacityShare(age time.Duration) float64 { return c.shareOf(1, age) }

// coldOver counts an arrival and says whether it pushes a cold server over. The caller holds mu.
func (s *Server) exceedsWarmupLimit(now time.Duration) bool {
	w := s.capacityShare(now)
	if w == 1 || s.crashedInWarmup {
		s.recentArrivals = nil
		return false
	}
	s.recentArrivals = append(s.recentArrivals, now)
	for now-s.recentArrivals[0] > s.config.SlowStart.OverloadWindow {
		s.recentArrivals = s.recentArrivals[1:]
	}
	most := s.config.SlowStart.OverloadFactor*w*s.capacity()*s.config.SlowStart.OverloadWindow.Seconds() + warmupCrashSlack
	if float64(len(s.recentArrivals)) <= most {
		return false
	}
	s.crashedInWarmup = true
	boot := s.incarnation
	s.recorder.update(func() {
		s.recorder.warmupCrashes = append(s.recorder.warmupCrashes, WarmupCrash{s.config.ID, boot, now})
	})
	return true
}

// coldSlack is what chance may add to a cold server's budget.
const warmupCrashSlack = 2

// Keys are the keys that a set of servers has seen, in their scopes.
type KeyStore struct {
	mu     sync.Mutex
	seenAt map[string]time.Duration
}

// NewKeys returns an empty set.
func NewKeyStore() *KeyStore { return &KeyStore{seenAt: map[string]time.Duration{}} }

// seen says that a key was seen within its window by the servers of its scope, and notes it if not.
func (k *KeyStore) checkAndAdd(key string, c Class, zone string, cell int, now time.Duration) bool {
	id := c.Name + "\x00" + key
	switch c.Scope {
	case ScopeZone:
		id += "\x00" + zone
	case ScopeCell:
		id += fmt.Sprintf("\x00%s\x00%d", zone, cell)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, is := k.seenAt[id]; is && now-t < c.Window {
		return true
	}
	k.seenAt[id] = now
	if len(k.seenAt) > 1<<16 {
		for x, t := range k.seenAt {
			if now-t > time.Minute {
				delete(k.seenAt, x)
			}
		}
	}
	return false
}

func firstSegment(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}
