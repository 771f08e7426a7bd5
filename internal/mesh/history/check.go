package history

import "slices"

// Names of the checkers.
const (
	CheckLinearizable  = "linearizable"
	CheckOneContent    = "one content for a version"
	CheckRepeatedOrder = "repeated order"
	CheckNeverBack     = "never back"
	CheckStale         = "stale configuration"
	CheckOneRun        = "one run of a key"
	CheckOwnAnswer     = "own answer"
	CheckOneLeader     = "one leader a term"
	CheckDurable       = "durable"
	CheckMembership    = "membership"
	CheckCatchUp       = "catch-up"
	CheckLiveness      = "liveness"
)

// Check has every checker judge the history. The violations are in the order of the checkers.
func Check(h *History, b Bounds) Report {
	broken, undecided := Linearizable(h, b.Search)
	return Report{Undecided: undecided, Violations: slices.Concat(
		broken,
		OneContent(h),
		RepeatedOrders(h),
		NeverBack(h),
		Stale(h, b.LeftBehind),
		OneRun(h),
		OwnAnswers(h),
		OneLeader(h),
		Durable(h),
		Membership(h),
		CatchesUp(h, b.CatchUp),
		Live(h, b.Acknowledge),
	)}
}
