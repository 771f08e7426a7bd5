package testcluster

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/testkit"
)

const (
	soakBudget     = 3 * time.Second            // Time-Budget of callers
	soakPatience   = soakBudget + 2*time.Second // after which a call counts as not answered
	soakThinkTime  = 30 * time.Millisecond      // maximum pause between two calls of a caller
	soakRedialTime = 20 * time.Millisecond      // pause after a dial that has failed
	soakBodyBytes  = 300_000                    // of a streamed response
	soakWorkTime   = 200 * time.Millisecond     // maximum run time of a server's request
	soakSlowBuffer = 64 << 10                   // receive buffer of a caller that receives slowly, in bytes
	callersPerKind = 1                          // at each sidecar
)

// soakCallKind is what a caller does with its connection.
type soakCallKind int

const (
	soakRead         soakCallKind = iota // idempotent
	soakMove                             // idempotent, on the route that moves
	soakOnce                             // may run once
	soakKeyed                            // repeated through another sidecar
	soakStream                           // a long response
	soakPipeline                         // several reads, in pieces
	soakLeave                            // the caller closes the connection before the answer, or while it comes
	soakSlowPipeline                     // several reads with long answers, which the caller receives slowly
	soakCallKindCount
)

// soakCall is one call as its caller saw it.
type soakCall struct {
	attempt string
	machine string // whose sidecar took it
	kind    soakCallKind
	status  int           // 0: there was no complete answer
	waited  time.Duration // from the call's last byte to the answer, or to the connection's end; 0 behind another call
	sent    time.Time     // just before it was written
	ended   time.Time     // of the answer, or of the connection
	left    bool          // the caller has left by itself
	late    bool          // the connection stayed open, and no answer came in soakPatience
	failure error         // why there is no complete answer
}

// soakLossSlack is LossSlackS: a connection that ends sooner after a call may not have been read.
const soakLossSlack = 200 * time.Millisecond

// soakAudit collects what callers saw, and checks it.
type soakAudit struct {
	planned bool // nothing but planned work is played
	began   time.Time

	mu                        sync.Mutex // guards below
	calls                     []soakCall
	violations                []string
	lateRuns                  []soakLateRun
	processEvents             []soakProcessEvent
	maxDescriptors, maxMemory int
}

func (a *soakAudit) add(call soakCall) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.calls = append(a.calls, call)
}

func (a *soakAudit) violation(format string, args ...any) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.violations = append(a.violations, fmt.Sprintf(format, args...))
}

// soakLateRun is a request that has reached a server later than DrainS after it had deregistered.
type soakLateRun struct {
	attempt, instance string
	lateness          time.Duration // after DrainS
}

func (a *soakAudit) noteLateRun(run soakLateRun) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.lateRuns = append(a.lateRuns, run)
}

// noteProcess records a signal to a process, or its end or start.
func (a *soakAudit) noteProcess(what, machine string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.processEvents = append(a.processEvents, soakProcessEvent{what: what, machine: machine, at: time.Now()})
}

// sinceStart returns a time as it is logged: since the start of the soak, or 0 if it is zero.
func (a *soakAudit) sinceStart(at time.Time) time.Duration {
	if at.IsZero() {
		return 0
	}
	return at.Sub(a.began).Round(time.Millisecond)
}

// times describes when a call was sent, run and answered.
func (a *soakAudit) times(call soakCall, recorder *Recorder) string {
	work := recorder.workOn(call.attempt)
	return fmt.Sprintf("sent at %v, work from %v to %v, ended at %v",
		a.sinceStart(call.sent), a.sinceStart(work.began), a.sinceStart(work.ended), a.sinceStart(call.ended))
}

func (a *soakAudit) noteResources(descriptors, residentKB int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.maxDescriptors = max(a.maxDescriptors, descriptors)
	a.maxMemory = max(a.maxMemory, residentKB)
}

// check returns the violations of the rules: nothing that may run once has run twice, nothing that is answered as not run has run, and where all work was
// planned no call that ran is without its answer.
func (a *soakAudit) check(recorder *Recorder) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	found := a.violations
	calls := map[string]soakCall{}
	for _, call := range a.calls {
		calls[call.attempt] = call
	}
	for _, run := range a.lateRuns {
		found = append(found, fmt.Sprintf("DRAIN: %s reaches %s %v after DrainS; %s", run.attempt, run.instance, run.lateness, a.times(calls[run.attempt], recorder)))
	}
	for _, call := range a.calls {
		runs := recorder.Runs(call.attempt)
		isRejected := call.status == http.StatusServiceUnavailable || call.status == http.StatusTooManyRequests
		switch {
		case call.kind == soakOnce && len(runs) > 1:
			found = append(found, fmt.Sprintf("TWICE: %s ran at %v", call.attempt, runs))
		case call.kind == soakOnce && isRejected && len(runs) > 0:
			found = append(found, fmt.Sprintf("REFUSED: %s has run at %v and is answered %d", call.attempt, runs, call.status))
		case a.planned && a.isExcused(call, runs, recorder.workOn(call.attempt)):
		case a.planned && call.late:
			found = append(found, fmt.Sprintf("LOST: %s has no answer after %v, ran at %v: %v; %s", call.attempt, soakPatience, runs, call.failure, a.times(call, recorder)))
		case a.planned && call.status == 0 && !call.left && len(runs) > 0:
			found = append(found, fmt.Sprintf("LOST: %s has no answer, ran at %v: %v; %s", call.attempt, runs, call.failure, a.times(call, recorder)))
		case a.planned && call.status == 0 && !call.left && call.waited > soakLossSlack:
			found = append(found, fmt.Sprintf("LOST: %s has no answer after %v, and has not run; %s", call.attempt, call.waited, a.times(call, recorder)))
		case a.planned && isBrokenOff(call.status) && len(runs) > 0:
			found = append(found, fmt.Sprintf("LOST: %s is answered %d, ran at %v; %s", call.attempt, call.status, runs, a.times(call, recorder)))
		}
	}
	return found
}

// isBrokenOff reports whether a status stands in the place of a server's answer.
func isBrokenOff(status int) bool {
	return status == http.StatusInternalServerError || status == http.StatusBadGateway || status == http.StatusGatewayTimeout
}

// String returns the counts of calls by status.
func (a *soakAudit) String() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	byStatus := map[int]int{}
	left := 0
	for _, call := range a.calls {
		if call.left {
			left++
		} else {
			byStatus[call.status]++
		}
	}
	return fmt.Sprintf("%d calls, %d left by the caller, by status %v; at rest at most %d descriptors, %d KB",
		len(a.calls), left, byStatus, a.maxDescriptors, a.maxMemory)
}

// soakCaller makes calls of one kind through one sidecar, on one connection for as long as that is open.
type soakCaller struct {
	soak   *soak
	at     *soakMachine
	kind   soakCallKind
	name   string
	random *rand.Rand
	made   int
	conn   net.Conn // nil: none is open
	reader *bufio.Reader
}

// startCallers starts callers of each kind at each sidecar.
func (s *soak) startCallers() {
	for n, x := range s.sidecars {
		for kind := range soakCallKindCount {
			for copied := range callersPerKind {
				caller := &soakCaller{
					soak: s, at: x, kind: kind, name: fmt.Sprintf("s%d-%d-%d", n, kind, copied),
					random: rand.New(rand.NewPCG(s.seed, uint64(n)<<16|uint64(kind)<<8|uint64(copied))),
				}
				s.callers.Go(caller.run)
			}
		}
	}
}

func (c *soakCaller) run() {
	for !c.soak.stopping.Load() {
		soakPause(c.random, soakThinkTime)
		if c.conn == nil && !c.dial() {
			time.Sleep(soakRedialTime)
			continue
		}
		c.at.app.Load().SetServiceTime(time.Duration(c.random.Int64N(int64(soakWorkTime))))
		switch c.kind {
		case soakPipeline, soakSlowPipeline:
			c.pipeline()
		case soakLeave:
			c.leave()
		case soakKeyed:
			c.keyed()
		default:
			c.single("")
		}
	}
	c.close()
}

func (c *soakCaller) dial() bool {
	var dialer net.Dialer
	if c.kind == soakSlowPipeline {
		dialer.Control = testkit.LimitReceiveBuffer(soakSlowBuffer)
	}
	conn, err := dialer.Dial("tcp", c.at.Addr("Outbound"))
	if err != nil {
		return false
	}
	c.conn = conn
	c.reader = bufio.NewReader(conn)
	return true
}

func (c *soakCaller) close() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// nextAttempt returns an id of its own for the caller's next call.
func (c *soakCaller) nextAttempt() string {
	c.made++
	return fmt.Sprintf("%s-%d", c.name, c.made)
}

// text returns a call as it is written.
func (c *soakCaller) text(attempt, key string) string {
	target := map[soakCallKind]string{
		soakRead: "GET /read/", soakMove: "GET /move/", soakOnce: "POST /once/", soakKeyed: "POST /send/",
		soakStream: fmt.Sprintf("GET /read/?bytes=%d", soakBodyBytes), soakPipeline: "GET /read/", soakLeave: "GET /read/",
		soakSlowPipeline: fmt.Sprintf("GET /read/?bytes=%d", soakBodyBytes),
	}[c.kind]
	head := fmt.Sprintf("%s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nTime-Budget: %d\r\n", target, Host, attempt, soakBudget.Milliseconds())
	if key != "" {
		head += "Operation-Key: " + key + "\r\n"
	}
	if strings.HasPrefix(target, "POST") {
		return head + "Content-Length: 4\r\n\r\nbody"
	}
	return head + "\r\n"
}

// single makes one call and reads its answer.
func (c *soakCaller) single(key string) (status int) {
	attempt := c.nextAttempt()
	call := soakCall{attempt: attempt, machine: c.at.Name, kind: c.kind, sent: time.Now()}
	_ = c.conn.SetDeadline(time.Now().Add(soakPatience)) // an error shows in the next write or read
	if _, err := io.WriteString(c.conn, c.text(attempt, key)); err != nil {
		c.close()
	} else {
		written := time.Now()
		c.readAnswer(&call, key)
		call.waited = call.ended.Sub(written)
	}
	c.soak.audit.add(call)
	return call.status
}

// readAnswer reads the answer of a call. It closes the connection if the answer does, or if there is none.
func (c *soakCaller) readAnswer(call *soakCall, key string) {
	began := time.Now()
	defer func() { call.ended = time.Now() }()
	response, err := http.ReadResponse(c.reader, nil)
	var text []byte
	if err == nil {
		text, err = io.ReadAll(response.Body)
	}
	if err != nil {
		c.close()
		call.failure = fmt.Errorf("%w after %v and %d bytes of the body", err, time.Since(began), len(text))
		call.late = errors.Is(err, os.ErrDeadlineExceeded)
		return
	}
	call.status = response.StatusCode
	sent := Response{Attempt: call.attempt, Status: response.StatusCode, Seal: response.Header.Get("Server-Seal"), Body: string(text)}
	c.soak.Recorder.checkResponse(sent, key, response.Header.Get("Attempt-Id"))
	if (c.kind == soakStream || c.kind == soakSlowPipeline) && response.StatusCode == http.StatusOK && len(text) < soakBodyBytes {
		c.soak.audit.violation("MIXED: %s has %d bytes", call.attempt, len(text))
	}
	if response.Close {
		c.close()
	}
}

// keyed makes a call with a key of its own, and repeats it through any sidecar, also after it was answered.
func (c *soakCaller) keyed() {
	key := fmt.Sprintf("k-%s-%d", c.name, c.made)
	first := c.single(key)
	soakPause(c.random, soakThinkTime)
	other := c.soak.sidecars[c.random.IntN(len(c.soak.sidecars))]
	repeated := other.Send(http.MethodPost, "/send/", key, []byte("body"))
	if c.soak.audit.planned && first == http.StatusOK && repeated.Status/100 == 4 && repeated.Status != http.StatusConflict {
		c.soak.audit.violation("DENIED: the repeat of %s is answered %d", key, repeated.Status)
	}
}

// pipeline writes several reads in pieces, and then reads their answers.
func (c *soakCaller) pipeline() {
	calls := make([]soakCall, 2+c.random.IntN(4))
	written := 0
	_ = c.conn.SetDeadline(time.Now().Add(soakPatience))
	for n := range calls {
		calls[n] = soakCall{attempt: c.nextAttempt(), machine: c.at.Name, kind: c.kind, sent: time.Now()}
		if _, err := io.WriteString(c.conn, c.text(calls[n].attempt, "")); err != nil {
			break
		}
		written++
		soakPause(c.random, soakThinkTime/3)
	}
	for n := range calls[:written] {
		if c.conn == nil { // an answer has closed the connection: what came behind it counts as not read
			calls[n].ended = calls[n-1].ended
			continue
		}
		c.readAnswer(&calls[n], "")
	}
	for _, call := range calls[:written] {
		c.soak.audit.add(call)
	}
}

// leave closes the connection while a call runs.
func (c *soakCaller) leave() {
	call := soakCall{attempt: c.nextAttempt(), machine: c.at.Name, kind: c.kind, left: true}
	_, err := io.WriteString(c.conn, c.text(call.attempt, ""))
	if err == nil {
		soakPause(c.random, soakWorkTime)
	}
	c.close()
	c.soak.audit.add(call)
}

// routeVersion returns the version of a route in a configuration, or 0 if it has none.
func routeVersion(t *testing.T, document, route string) int64 {
	t.Helper()
	var read config.Document
	assert.NilError(t, json.Unmarshal([]byte(document), &read))
	for _, listener := range read.ListenerList {
		for _, raw := range listener.PolicyRules {
			var rule struct {
				Name          string
				ConfigVersion int64
			}
			assert.NilError(t, json.Unmarshal(raw, &rule))
			if rule.Name == route {
				return rule.ConfigVersion
			}
		}
	}
	return 0
}
