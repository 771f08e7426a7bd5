package trace

import (
	"fmt"
	"time"

	"cranegrade/balancer"
)

func (m *Module) recordEvent(now time.Duration, e balancer.Event) {
	switch e := e.(type) {
	case balancer.Request:
		m.recordRequest(now, e)
	case balancer.Outcome:
		m.recordOutcome(now, e)
	case balancer.ClientGone:
		m.recordAnswer(now, e.ID, answerGone)
	case balancer.Fleet:
		m.writeDetail(Detail{
			AtMS: milliseconds(now),
			What: whatFleet,
			How:  fmt.Sprintf("%d of %d, 1/%v of rations, %d servers", e.Index, e.Balancers, e.Divisor, len(e.Subset)),
		})
	case balancer.PeerReports:
		for _, exclusion := range e.Exclusions {
			m.writeDetail(Detail{
				AtMS:   milliseconds(now),
				What:   whatEjected,
				Server: exclusion.ID,
				LeftMS: milliseconds(exclusion.Until - now),
			})
		}
	case balancer.ServerList:
		for _, s := range e.Servers {
			m.writeDetail(Detail{
				AtMS:   milliseconds(now),
				What:   whatListed,
				Server: s.ID,
				How:    stateNames[s.State],
			})
		}
	}
}

func (m *Module) recordRequest(now time.Duration, e balancer.Request) {
	m.counts.Requests++
	if m.open[e.ID] == nil {
		m.open[e.ID] = &openRequest{class: e.Class, arrived: now}
	}
	m.writeDetail(Detail{
		AtMS:   milliseconds(now),
		What:   whatRequest,
		ID:     e.ID,
		Class:  e.Class,
		LeftMS: milliseconds(e.Deadline - now),
	})
}

func (m *Module) recordOutcome(now time.Duration, e balancer.Outcome) {
	ending := endingNames[e.Ending]
	m.counts.Endings[ending]++
	detail := Detail{
		AtMS:    milliseconds(now),
		What:    whatEnd,
		ID:      e.ID,
		Server:  e.Server,
		Attempt: e.Attempt,
		How:     ending,
	}
	request := m.open[e.ID]
	if request == nil {
		m.writeDetail(detail)
		return
	}
	if e.Attempt >= 0 && e.Attempt < len(request.sent) {
		latency := now - request.sent[e.Attempt]
		detail.TookMS = milliseconds(latency)
		if e.Ending == balancer.Success {
			m.successTime += latency
		}
	}
	detail.Class = request.class
	request.inFlight--
	m.writeDetail(detail)
	if e.Ended {
		m.answer(now, e.ID, request, m.answerOf(now, request, e.Ending))
	}
	m.forgetIfDone(e.ID, request)
}

// answerOf says how a request was answered by the ending of its last attempt.
func (m *Module) answerOf(now time.Duration, request *openRequest, ending balancer.Ending) string {
	if ending != balancer.Success {
		return answerFailed
	}
	if target := m.latencyTargets[request.class]; target > 0 && now-request.arrived > target {
		return answerLate
	}
	return answerServed
}

func (m *Module) recordAction(now time.Duration, a balancer.Action) {
	switch a := a.(type) {
	case balancer.Send:
		m.recordSend(now, a)
	case balancer.Cancel:
		m.counts.Cancelled++
	case balancer.Reject:
		m.recordAnswer(now, a.ID, answerRejected)
	case balancer.Fail:
		m.recordAnswer(now, a.ID, answerFailed)
	}
}

func (m *Module) recordSend(now time.Duration, a balancer.Send) {
	m.counts.Sends++
	request := m.open[a.ID]
	if request == nil {
		return
	}
	waited := milliseconds(now - request.arrived)
	if len(request.sent) > 0 {
		m.counts.Retries++
	} else {
		m.counts.MaxPendingMS = max(m.counts.MaxPendingMS, waited)
	}
	request.sent = append(request.sent, now)
	request.inFlight++
	m.writeDetail(Detail{
		AtMS:    milliseconds(now),
		What:    whatSend,
		ID:      a.ID,
		Class:   request.class,
		Server:  a.Server,
		Attempt: len(request.sent) - 1,
		TookMS:  waited,
	})
}

// recordAnswer records the answer of a request that is still open.
func (m *Module) recordAnswer(now time.Duration, id, how string) {
	if request := m.open[id]; request != nil {
		m.answer(now, id, request, how)
		m.forgetIfDone(id, request)
	}
}

// answer counts the first answer of a request.
func (m *Module) answer(now time.Duration, id string, request *openRequest, how string) {
	if request.answered {
		return
	}
	request.answered = true
	took := milliseconds(now - request.arrived)
	m.counts.Answers[how]++
	m.counts.MaxAnswerMS = max(m.counts.MaxAnswerMS, took)
	m.writeDetail(Detail{
		AtMS:   milliseconds(now),
		What:   whatAnswer,
		ID:     id,
		Class:  request.class,
		How:    how,
		TookMS: took,
	})
}

// forgetIfDone drops a request that is answered and has no attempt in flight.
func (m *Module) forgetIfDone(id string, request *openRequest) {
	if request.answered && request.inFlight <= 0 {
		delete(m.open, id)
	}
}

func (m *Module) writeDetail(d Detail) {
	if m.options.Detail {
		m.sink.enqueue(d)
	}
}
