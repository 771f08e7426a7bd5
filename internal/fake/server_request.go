package fake

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"
)

// answer is what a server answers to a request.
type answer struct {
	status int // 0: it never answers
	body   string
}

// noAnswer is that of a server that hangs, has crashed, or has noticed that its caller left.
var noAnswer = answer{}

// ResponseBody is the body that a server answers a request with. Nobody else makes it, so a caller can tell whose response it got.
func ResponseBody(id string) string { return "made for " + id }

// serveConnection serves the requests of one connection, one after the other.
func (s *Server) serveConnection(c net.Conn, incarnation int) {
	reader := bufio.NewReader(c)
	for s.serveRequest(c, reader, incarnation) {
	}
}

// serveRequest serves one request and reports whether the connection can carry another.
func (s *Server) serveRequest(c net.Conn, reader *bufio.Reader, incarnation int) (reusable bool) {
	arrival, left, err := s.readRequest(reader, incarnation)
	if err != nil {
		return false
	}
	gone, watched := watchDisconnect(reader)
	a := s.process(arrival, incarnation, left, gone)
	if a == noAnswer {
		// The connection stays open without an answer, and nothing that arrives on it is read as a request.
		<-watched
		_, _ = io.Copy(io.Discard, reader)
		return false
	}
	select {
	case <-gone:
		return false
	default:
	}
	if s.config.ResponseDelay > 0 {
		time.Sleep(s.config.ResponseDelay)
	}
	if err := a.write(c); err != nil {
		return false
	}
	s.recorder.update(func() {
		arrival.Unprocessed, arrival.ResponseBytes = a.status == http.StatusServiceUnavailable, int64(len(a.body))
	})
	<-watched
	return true
}

// readRequest reads a complete request, records its arrival, and returns it with the time that it has left.
func (s *Server) readRequest(reader *bufio.Reader, incarnation int) (a *Arrival, left time.Duration, err error) {
	if _, err := reader.Peek(1); err != nil {
		return nil, 0, err
	}
	firstByteAt := s.recorder.Now()
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil, 0, err
	}
	size, err := io.Copy(io.Discard, request.Body)
	if err != nil {
		return nil, 0, err
	}
	a = &Arrival{
		ID: request.Header.Get("X-Correlation-Id"), Key: request.Header.Get("Idempotency-Key"),
		Class: firstSegment(request.URL.Path), Host: request.Host, Path: request.URL.Path,
		Server: s.config.ID, Incarnation: incarnation, Zone: s.config.Zone, Cell: s.config.Cell,
		FirstByteAt: firstByteAt, LastByteAt: s.recorder.Now(), RequestBytes: size, ResponseBytes: -1,
	}
	s.recorder.recordArrival(a)
	return a, requestTimeLeft(request), nil
}

// watchDisconnect closes gone when the caller closes the connection, and watched when it stops reading: then, or when the next
// request arrives. Until watched is closed nobody else may read.
func watchDisconnect(reader *bufio.Reader) (gone, watched <-chan struct{}) {
	closed, done := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		if _, err := reader.Peek(1); err != nil {
			close(closed)
		}
	}()
	return closed, done
}

// write writes the response. A rejection says that the request was not processed.
func (a answer) write(w io.Writer) error {
	extraHeader := ""
	if a.status == http.StatusServiceUnavailable {
		extraHeader = "X-Unprocessed: 1\r\n"
	}
	_, err := fmt.Fprintf(w, "HTTP/1.1 %d %s\r\nContent-Length: %d\r\n%s\r\n%s",
		a.status, http.StatusText(a.status), len(a.body), extraHeader, a.body)
	return err
}

// process decides what becomes of a request and waits until that has happened.
func (s *Server) process(a *Arrival, incarnation int, left time.Duration, gone <-chan struct{}) answer {
	s.mu.Lock()
	if early, decided := s.decideOnArrival(incarnation); decided {
		s.mu.Unlock()
		return early
	}
	if s.busySlots < s.config.Concurrency {
		s.busySlots++
	} else {
		turn := make(chan struct{}, 1)
		s.queue = append(s.queue, turn)
		s.mu.Unlock()
		if !s.awaitTurn(turn, gone) {
			return noAnswer
		}
		s.mu.Lock()
	}
	if !s.isRunning(incarnation) {
		s.mu.Unlock()
		s.release()
		return noAnswer
	}
	serviceTime := s.serviceTime()
	s.mu.Unlock()
	if s.isDuplicate(a) {
		serviceTime = 0
	}
	if s.config.IgnoreDisconnects {
		return s.workToEnd(a, serviceTime, left, gone)
	}
	select {
	case <-time.After(serviceTime):
		s.release()
		return answer{http.StatusOK, ResponseBody(a.ID)}
	case <-gone: // cancelling stops the work, but not the effect
		s.release()
		return noAnswer
	}
}

// decideOnArrival returns the answer to a request that will not be worked on. The caller holds mu.
func (s *Server) decideOnArrival(incarnation int) (a answer, decided bool) {
	if !s.isRunning(incarnation) {
		return noAnswer, true
	}
	if s.exceedsWarmupLimit(s.recorder.Now()) {
		go s.Crash() // not here: it waits for this request to end
		return noAnswer, true
	}
	queueIsFull := s.busySlots >= s.config.Concurrency && len(s.queue) >= s.config.QueueLimit
	switch {
	case s.mode == Hanging:
		return noAnswer, true
	case s.mode == Failing:
		return answer{status: http.StatusInternalServerError}, true
	case s.mode == Draining, s.mode == Rejecting, queueIsFull:
		return answer{status: http.StatusServiceUnavailable}, true
	}
	return answer{}, false
}

// isRunning reports whether an incarnation of the server still runs. The caller holds mu.
func (s *Server) isRunning(incarnation int) bool {
	return s.incarnation == incarnation && s.listener != nil
}

// serviceTime is the time that a request takes that begins now. The caller holds mu.
func (s *Server) serviceTime() time.Duration {
	seconds := s.config.ServiceTime.Seconds() / s.capacityShare(s.recorder.Now()) * (1 + s.config.QueueSlowdown*float64(len(s.queue)))
	if s.slowdown > 0 {
		seconds *= s.slowdown
	}
	return time.Duration(seconds * float64(time.Second))
}

// isDuplicate records whether a request has its effect, or has none because its key is known.
func (s *Server) isDuplicate(a *Arrival) bool {
	duplicate := a.Key != "" &&
		s.keyStore.checkAndAdd(a.Key, s.recorder.Classes[a.Class], s.config.Zone, s.config.Cell, s.recorder.Now())
	s.recorder.update(func() { a.Ran, a.Duplicate = !duplicate, duplicate })
	return duplicate
}

// awaitTurn waits until a queued request gets a slot. False: its caller left before, and it is no longer queued.
func (s *Server) awaitTurn(turn chan struct{}, gone <-chan struct{}) bool {
	if s.config.IgnoreDisconnects {
		gone = nil
	}
	select {
	case <-turn:
		return true
	case <-gone:
	}
	if !s.leaveQueue(turn) {
		<-turn // it got a slot meanwhile, which goes to the next one
		s.release()
	}
	return false
}

// leaveQueue takes a request out of the queue and reports whether it was still there.
func (s *Server) leaveQueue(turn chan struct{}) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.Index(s.queue, turn)
	if i < 0 {
		return false
	}
	s.queue = slices.Delete(s.queue, i, i+1)
	return true
}

// release gives a slot to the next request in the queue, if there is one.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		s.busySlots--
		return
	}
	next := s.queue[0]
	s.queue = s.queue[1:]
	next <- struct{}{}
}

// workToEnd processes a request of a server with IgnoreDisconnects, which looks for its caller only when it is done. The downstream
// call comes after half of the service time; the slot is occupied all the while.
func (s *Server) workToEnd(a *Arrival, serviceTime, left time.Duration, gone <-chan struct{}) answer {
	began := time.Now()
	defer s.release()
	succeeded := true
	if s.config.CallDownstream == nil {
		time.Sleep(serviceTime)
	} else {
		time.Sleep(serviceTime / 2)
		if succeeded = s.config.CallDownstream(a.Class, left-time.Since(began)); succeeded {
			time.Sleep(serviceTime / 2)
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.totalWork += serviceTime
	select {
	case <-gone:
		s.wastedWork += serviceTime
		return noAnswer
	default:
	}
	if !succeeded {
		return answer{status: http.StatusInternalServerError}
	}
	return answer{http.StatusOK, ResponseBody(a.ID)}
}

// requestTimeLeft reads X-Time-Left, a number of milliseconds ("250m") or microseconds ("250u"); 0: there is none.
func requestTimeLeft(r *http.Request) time.Duration {
	text := r.Header.Get("X-Time-Left")
	for suffix, unit := range map[string]time.Duration{"m": time.Millisecond, "u": time.Microsecond} {
		if digits, found := strings.CutSuffix(text, suffix); found {
			if n, err := strconv.ParseInt(digits, 10, 32); err == nil {
				return time.Duration(n) * unit
			}
		}
	}
	return 0
}

// firstSegment is the first segment of a path, which names the request's class.
func firstSegment(path string) string {
	name, _, _ := strings.Cut(strings.TrimPrefix(path, "/"), "/")
	return name
}
