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
type Cold struct {
	From     float64       // share of the capacity at the start; 0: no cold start at all
	Warm     time.Duration // until it has all
	Multiple float64       // what is too much
	For      time.Duration // over this span
}

// ServerConfig describes a server.
type ServerConfig struct {
	ID    string
	Zone  string
	Cell  int
	Slots int           // requests worked on at a time
	Queue int           // and waiting; more are turned away
	Work  time.Duration // that a request takes when the server is warm and not crowded
	Choke float64       // what each waiting request adds to the work of the others, as a share of it
	Cold  Cold
	Conns int           // connections it accepts at a time; 0: no limit
	Way   time.Duration // that answers take to where they are wanted: of a server in another zone

	// Stubborn goes on with a request whose caller has left, in its slot or its queue: what many servers do.
	Stubborn bool
	// Next is called after half the work, with what is left of the request's time; false: it failed, and so
	// does this one. nil: the server calls nobody.
	Next func(class string, left time.Duration) bool
}

// Mode is what a server does with requests.
type Mode int

// Modes.
const (
	Serving  Mode = iota
	Draining      // finishes what it has, turns away what is new
	Hanging       // takes requests and answers none
	Refusing      // answers every request as turned away
	Failing       // answers every request with 500, at once
)

// Server is a stand-in for a server, which speaks HTTP/1.1.
type Server struct {
	cfg  ServerConfig
	rec  *Records
	keys *Keys
	addr string

	proxyAddr string // "": nothing stands before it

	mu         sync.Mutex // guards all below
	mode       Mode
	boot       int
	started    time.Duration
	bootMS     float64
	listener   net.Listener // nil while it is down
	conns      map[net.Conn]struct{}
	busy       int
	waiting    []chan struct{} // of requests in the queue
	recent     []time.Duration // arrivals within the cold span
	fallen     bool
	slower     float64 // what its work takes longer; 0: nothing
	wastedWork time.Duration
	totalWork  time.Duration
	done       sync.WaitGroup
}

// NewServer starts a server on a free loopback port. Servers that share keys drop each other's repeats.
func NewServer(cfg ServerConfig, rec *Records, keys *Keys) (*Server, error) {
	s := &Server{cfg: cfg, rec: rec, keys: keys, conns: map[net.Conn]struct{}{}}
	return s, s.listen("127.0.0.1:0", false)
}

// ID is its id, Addr its address, the same after a restart.
func (s *Server) ID() string { return s.cfg.ID }

// Addr is its address, the same after a restart.
func (s *Server) Addr() string { return s.addr }

// Behind has lists name another address in the place of its own: of what stands before it. It is called before the
// first list.
func (s *Server) Behind(addr string) { s.proxyAddr = addr }

func (s *Server) listed() string {
	if s.proxyAddr != "" {
		return s.proxyAddr
	}
	return s.addr
}

// Config is what it was made of.
func (s *Server) Config() ServerConfig { return s.cfg }

// Boot tells which life of the server this is, and its Unix time in ms as the registry would tell it:
// 0 for the first, which was long ago.
func (s *Server) Boot() (int, float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.boot, s.bootMS
}

func (s *Server) listen(addr string, cold bool) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("server %s: %w", s.cfg.ID, err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.listener, s.addr, s.mode, s.fallen, s.recent = l, l.Addr().String(), Serving, false, nil
	now := s.rec.Now()
	if cold {
		s.boot++
		s.started, s.bootMS = now, float64(time.Now().UnixMilli())
		s.rec.update(func() {
			s.rec.starts = append(s.rec.starts, Start{s.cfg.ID, s.boot, now, s.cfg.Cold, s.capacity()})
		})
	}
	s.done.Go(func() { s.accept(l) })
	return nil
}

// capacity is the requests a second that it serves once warm.
func (s *Server) capacity() float64 { return float64(s.cfg.Slots) / s.cfg.Work.Seconds() }

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
	s.done.Wait()
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
		if s.listener != l || s.cfg.Conns > 0 && len(s.conns) >= s.cfg.Conns {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = struct{}{}
		boot := s.boot
		s.mu.Unlock()
		s.done.Go(func() {
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
		first := s.rec.Now()
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
			Class: firstSegment(req.URL.Path), Host: req.Host, Path: req.URL.Path, Server: s.cfg.ID, Boot: boot, Zone: s.cfg.Zone, Cell: s.cfg.Cell,
			First: first, Last: s.rec.Now(), Bytes: bytes, Answered: -1,
		}
		s.rec.arrive(a)
		// What closes the connection ends the wait for a turn: a caller that has gone wants nothing.
		gone := make(chan struct{})
		watch := make(chan struct{})
		go func() {
			defer close(watch)
			if _, err := r.Peek(1); err != nil {
				close(gone)
			}
		}()
		status, text, ok := s.work(a, boot, timeLeft(req), gone)
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
		if s.cfg.Way > 0 {
			time.Sleep(s.cfg.Way)
		}
		more := ""
		if status == http.StatusServiceUnavailable {
			more = "X-Unprocessed: 1\r\n"
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s", status, http.StatusText(status), len(text), more, text)
		if err != nil {
			return
		}
		s.rec.update(func() { a.Unprocessed, a.Answered = status == http.StatusServiceUnavailable, int64(len(text)) })
		<-watch
	}
}

// Body is what a server answers to a request: only it can make that.
func Body(id string) string { return "made for " + id }

// work decides what becomes of a request; not ok: no answer ever.
func (s *Server) work(a *Arrival, boot int, left time.Duration, gone <-chan struct{}) (status int, text string, ok bool) {
	s.mu.Lock()
	if s.boot != boot || s.listener == nil {
		s.mu.Unlock()
		return 0, "", false
	}
	now := s.rec.Now()
	if s.coldOver(now) {
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
	case mode == Draining, mode == Refusing, s.busy >= s.cfg.Slots && len(s.waiting) >= s.cfg.Queue:
		s.mu.Unlock()
		return http.StatusServiceUnavailable, "", true
	}
	if s.busy >= s.cfg.Slots {
		turn := make(chan struct{}, 1)
		s.waiting = append(s.waiting, turn)
		s.mu.Unlock()
		leaving := gone
		if s.cfg.Stubborn {
			leaving = nil
		}
		select {
		case <-turn: // with the slot of the one before
		case <-leaving:
			s.mu.Lock()
			for i, w := range s.waiting {
				if w == turn {
					s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
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
		s.busy++
	}
	if s.boot != boot || s.listener == nil {
		s.mu.Unlock()
		s.release()
		return 0, "", false
	}
	took := s.cfg.Work.Seconds() / s.warmth(s.rec.Now()) * (1 + s.cfg.Choke*float64(len(s.waiting)))
	if s.slower > 0 {
		took *= s.slower
	}
	s.mu.Unlock()
	repeat := a.Key != "" && s.keys.seen(a.Key, s.rec.Classes[a.Class], s.cfg.Zone, s.cfg.Cell, s.rec.Now())
	s.rec.update(func() { a.Ran, a.Repeat = !repeat, repeat })
	if repeat {
		took = 0
	}
	if s.cfg.Stubborn {
		return s.workToEnd(a, time.Duration(took*float64(time.Second)), left, gone)
	}
	select {
	case <-time.After(time.Duration(took * float64(time.Second))):
		s.release()
		return http.StatusOK, Body(a.ID), true
	case <-gone: // calling off stops the work, not the effect
		s.release()
		return 0, "", false
	}
}

// release gives a slot to the next in the queue.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		next <- struct{}{}
		return
	}
	s.busy--
}

// warmth is the share of its capacity that the server has. The caller holds mu.
func (s *Server) warmth(now time.Duration) float64 { return s.cfg.Cold.warmth(s.boot, now-s.started) }

func (c Cold) warmth(boot int, age time.Duration) float64 {
	if boot == 0 || c.From == 0 || age >= c.Warm {
		return 1
	}
	return c.From + (1-c.From)*float64(age)/float64(c.Warm)
}

// Share is the share of its capacity that a server has at this age.
func (c Cold) Share(age time.Duration) float64 { return c.warmth(1, age) }

// coldOver counts an arrival and says whether it pushes a cold server over. The caller holds mu.
func (s *Server) coldOver(now time.Duration) bool {
	w := s.warmth(now)
	if w == 1 || s.fallen {
		s.recent = nil
		return false
	}
	s.recent = append(s.recent, now)
	for now-s.recent[0] > s.cfg.Cold.For {
		s.recent = s.recent[1:]
	}
	most := s.cfg.Cold.Multiple*w*s.capacity()*s.cfg.Cold.For.Seconds() + coldSlack
	if float64(len(s.recent)) <= most {
		return false
	}
	s.fallen = true
	boot := s.boot
	s.rec.update(func() { s.rec.falls = append(s.rec.falls, Fall{s.cfg.ID, boot, now}) })
	return true
}

// coldSlack is what chance may add to a cold server's budget.
const coldSlack = 2

// Keys are the keys that a set of servers has seen, in their scopes.
type Keys struct {
	mu sync.Mutex
	at map[string]time.Duration
}

// NewKeys returns an empty set.
func NewKeys() *Keys { return &Keys{at: map[string]time.Duration{}} }

// seen says that a key was seen within its window by the servers of its scope, and notes it if not.
func (k *Keys) seen(key string, c Class, zone string, cell int, now time.Duration) bool {
	id := c.Name + "\x00" + key
	switch c.Scope {
	case ScopeZone:
		id += "\x00" + zone
	case ScopeCell:
		id += fmt.Sprintf("\x00%s\x00%d", zone, cell)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if t, is := k.at[id]; is && now-t < c.Window {
		return true
	}
	k.at[id] = now
	if len(k.at) > 1<<16 {
		for x, t := range k.at {
			if now-t > time.Minute {
				delete(k.at, x)
			}
		}
	}
	return false
}

func firstSegment(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}
