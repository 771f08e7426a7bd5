package history

import "slices"

// Names of the checkers, as in Violation.Checker.
const (
	CheckLinearizable      = "linearizable"
	CheckUniqueContent     = "unique content"
	CheckRepeatedChange    = "repeated change"
	CheckMonotonicVersions = "monotonic versions"
	CheckStaleRead         = "stale read"
	CheckAtMostOnce        = "at most once"
	CheckMatchedAnswer     = "matched answer"
	CheckSingleLeader      = "single leader"
	CheckDurability        = "durability"
	CheckMembership        = "membership"
	CheckCatchUp           = "catch-up"
	CheckLiveness          = "liveness"
)

// Check runs all checkers over a history. The violations are in the order of the checkers.
func Check(h *History, b Bounds) Report {
	broken, undecided := Linearizable(h, b.Search)
	return Report{Undecided: undecided, Violations: slices.Concat(
		broken,
		UniqueContent(h),
		RepeatedChanges(h),
		MonotonicVersions(h),
		StaleReads(h, b.IsolatedRead),
		AtMostOnce(h),
		MatchedAnswers(h),
		SingleLeader(h),
		Durability(h),
		Membership(h),
		CatchUpInTime(h, b.CatchUp),
		Liveness(h, b.Acknowledgement),
	)}
}
