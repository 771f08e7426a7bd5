package testcluster

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	front "cranegrade/internal/front/http1"
)

// The rule LOST does not count a call whose deadline or route's time-out was reached, nor one at which its server was at work in the last sixth of GraceS,
// if it was sent no later than 3 s after the SIGTERM of the machine that took it. Around a SIGTERM of the server's machine
// alone it counts nothing, but at any time it counts connections that end without an answer. So the soak counts both, and excuses there failures that are
// answered alone.

const (
	// soakLateCallTime is how long after a SIGTERM a call may be sent that the rule excuses.
	soakLateCallTime = 3 * time.Second
	// soakPlannedWorkSlack is how long after GraceS the rule still counts a call as one of planned work.
	soakPlannedWorkSlack = time.Second
)

// soakTerminated is the event of a SIGTERM.
const soakTerminated = "SIGTERM"

// soakProcessEvent is what happened to a machine's process.
type soakProcessEvent struct {
	what, machine string
	at            time.Time
}

// describeProcesses returns the events as text, for the log of a failure.
func (a *soakAudit) describeProcesses() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var text strings.Builder
	for _, event := range a.processEvents {
		fmt.Fprintf(&text, "%s %s at %v, ", event.what, event.machine, a.sinceStart(event.at))
	}
	return text.String()
}

// isExcused reports whether the rule does not count a call that got no answer of its server. runs are the instances that have run it. The caller holds the
// lock.
func (a *soakAudit) isExcused(call soakCall, runs []string, work workSpan) bool {
	if call.ended.IsZero() {
		return false
	}
	// The route's time-out is as long as the budget. The sidecar ends a call sooner by what an answer needs to get to its caller.
	if !call.late && call.ended.Sub(call.sent) >= soakBudget-front.ProxyOverhead {
		return true
	}
	for _, event := range a.processEvents {
		isServers := isBrokenOff(call.status) && slices.ContainsFunc(runs, func(instance string) bool {
			return strings.HasPrefix(instance, "i-"+event.machine+"-")
		})
		isInvolved := isServers || event.machine == call.machine
		if event.what != soakTerminated || !isInvolved || call.sent.After(event.at.Add(soakLateCallTime)) {
			continue
		}
		end := event.at.Add(soakGracePeriod)
		lastSixth := end.Add(-soakGracePeriod / 6)
		if call.ended.Before(lastSixth) || call.ended.After(end.Add(soakPlannedWorkSlack)) {
			continue
		}
		isAtWork := !work.began.IsZero() && work.began.Before(end) && (work.ended.IsZero() || work.ended.After(lastSixth))
		// A failure in the place of an answer is counted only while the server is at work.
		if isAtWork || isBrokenOff(call.status) {
			return true
		}
	}
	return false
}

// The audit excuses what the rule does, and nothing else.
func TestSoakExcuses(t *testing.T) {
	began := time.Now()
	at := func(ms int) time.Time { return began.Add(time.Duration(ms) * time.Millisecond) }
	for _, test := range []struct {
		name    string
		call    soakCall
		work    workSpan
		excused bool
	}{
		{"at the deadline", soakCall{status: http.StatusGatewayTimeout, sent: at(0), ended: at(2990)}, workSpan{at(2900), at(3050)}, true},
		{"before the deadline", soakCall{status: http.StatusGatewayTimeout, sent: at(0), ended: at(2970)}, workSpan{at(2900), at(3050)}, false},
		{"never answered", soakCall{sent: at(0), ended: at(5000), late: true}, workSpan{at(2900), at(3050)}, false},
		{"behind a cut call", soakCall{sent: at(0)}, workSpan{at(2900), at(3050)}, false},
		{"502 in the last sixth", soakCall{status: http.StatusBadGateway, machine: "a", sent: at(11000), ended: at(12510)}, workSpan{at(12450), at(12600)}, true},
		{"502 before it", soakCall{status: http.StatusBadGateway, machine: "a", sent: at(11000), ended: at(12490)}, workSpan{at(12450), at(12600)}, false},
		{"502 elsewhere", soakCall{status: http.StatusBadGateway, machine: "b", sent: at(11000), ended: at(12510)}, workSpan{at(12450), at(12600)}, false},
		{"cut at work", soakCall{machine: "a", sent: at(11000), ended: at(12700)}, workSpan{began: at(12450)}, true},
		{"cut after work", soakCall{machine: "a", sent: at(11000), ended: at(12700)}, workSpan{at(12300), at(12400)}, false},
		{"cut before work", soakCall{machine: "a", sent: at(11000), ended: at(12700)}, workSpan{}, false},
		{"after planned work", soakCall{machine: "a", sent: at(12000), ended: at(14100)}, workSpan{began: at(12450)}, false},
	} {
		audit := soakAudit{planned: true, began: began, processEvents: []soakProcessEvent{
			{"end", "b", at(10000)}, {soakTerminated, "a", at(10000)}, {soakTerminated, "b", at(7500)},
		}}
		assert.Equal(t, audit.isExcused(test.call, []string{"i-d-1"}, test.work), test.excused, test.name)
	}
}

// After a SIGTERM of the server's machine the audit excuses a failure that is answered in the last sixth, and no other, nor a cut connection.
func TestSoakExcusesAtServersMachine(t *testing.T) {
	began := time.Now()
	audit := soakAudit{planned: true, began: began, processEvents: []soakProcessEvent{{soakTerminated, "b", began}}}
	call := soakCall{status: http.StatusBadGateway, machine: "a", sent: began.Add(time.Second), ended: began.Add(2600 * time.Millisecond)}
	work := workSpan{began: began.Add(2 * time.Second)}
	assert.Assert(t, audit.isExcused(call, []string{"i-b-2"}, work))
	assert.Assert(t, !audit.isExcused(call, []string{"i-c-2"}, work))
	call.status = 0
	assert.Assert(t, !audit.isExcused(call, []string{"i-b-2"}, work))
	call.status = http.StatusBadGateway
	call.ended = began.Add(2400 * time.Millisecond)
	assert.Assert(t, !audit.isExcused(call, []string{"i-b-2"}, work))
}
