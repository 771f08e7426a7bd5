package history

import (
	"fmt"
	"time"
)

// AtMostOnce checks that no key runs again within the window of its last run.
func AtMostOnce(h *History) (broken []Violation) {
	last := map[string]Run{}
	for _, r := range inOrder(h.Runs, func(r Run) time.Duration { return r.At }) {
		before, ran := last[r.Key]
		if ran && r.At < before.At+before.Window {
			broken = append(broken, Violation{CheckAtMostOnce, r.At, fmt.Sprintf(
				"key %q ran at %s for %s, and at %s for %s %v before, within its window of %v",
				r.Key, r.Server, r.Request, before.Server, before.Request, r.At-before.At, before.Window)})
		}
		last[r.Key] = r
	}
	return broken
}

// MatchedAnswers checks that every answer reached the request that it is for, and that no request has two.
func MatchedAnswers(h *History) (broken []Violation) {
	answered := map[string]time.Duration{}
	for _, a := range inOrder(h.Answers, func(a Answer) time.Duration { return a.At }) {
		if a.Request != a.AnsweredRequest {
			broken = append(broken, Violation{
				CheckMatchedAnswer, a.At,
				fmt.Sprintf("%s got the answer to %s for its request %s", a.Process, a.AnsweredRequest, a.Request),
			})
		}
		if at, twice := answered[a.Request]; twice {
			broken = append(broken, Violation{
				CheckMatchedAnswer, a.At,
				fmt.Sprintf("%s got a second answer for its request %s, after one at %v", a.Process, a.Request, at),
			})
		}
		answered[a.Request] = a.At
	}
	return broken
}
