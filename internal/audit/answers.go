package audit

import (
	"net/http"
	"time"

	"cranegrade/internal/fake"
)

// checkAnswer counts the end of a request, and checks rule 1 for it. A process that the test has killed or stopped does not
// owe an answer to what it had accepted.
func (c *checker) checkAnswer(exchange fake.Exchange) {
	c.Requests++
	switch exchange.Status {
	case http.StatusOK:
		c.Served++
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		c.Rejected++
	default:
		c.Failed++
	}
	if !exchange.Connected {
		return // no process had accepted it
	}
	id, class := exchange.ID, exchange.Class
	latest := exchange.Deadline + c.options.Slack
	unanswered := exchange.Status == 0
	late := exchange.AnsweredAt > latest
	switch {
	case (unanswered || late) && c.outageDuring(exchange.Process, exchange.SentAt, latest):
		c.Interrupted++
	case unanswered:
		c.violation(&c.Lost, "%s (%s) got no answer: %v", id, class, exchange.Err)
	case late:
		c.violation(&c.Lost, "%s (%s) was answered %v after its deadline", id, class, exchange.AnsweredAt-exchange.Deadline)
	case exchange.ForeignBody:
		c.violation(&c.Lost, "%s (%s) was served an answer that no server made for it", id, class)
	case exchange.SurplusBytes:
		c.violation(&c.Lost, "%s (%s) was answered with more than one answer", id, class)
	case exchange.Resent && c.arrivedBefore(id, exchange.SentAt):
		c.violation(&c.Lost, "%s (%s) was accepted, and its connection closed without an answer", id, class)
	}
}

// arrivedBefore reports whether a request first reached a server before a time.
func (c *checker) arrivedBefore(id string, at time.Duration) bool {
	arrivals := c.arrivals[id]
	return len(arrivals) > 0 && arrivals[0].FirstByteAt < at
}
