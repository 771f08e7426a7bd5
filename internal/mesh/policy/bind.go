package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Times of the two steps.
const (
	// FenceTimeout is how long a line goes by a set after it asked whether that still binds, and was told yes. It runs from the asking,
	// by the line's own steady clock; then it refuses what is ruled, as not run, until it is told again.
	FenceTimeout = 3 * time.Second
	// activationTimeout is how long the leader waits for lines that do not say that they hold a set. A second beyond the fence: what the
	// two clocks may differ by in that time, and far more.
	activationTimeout = FenceTimeout + time.Second
	// ConfirmInterval is how often a line asks.
	ConfirmInterval = time.Second
)

// Rollout is which set of namespaces and rulings is agreed on, and which binds: what the registers agree on, as fingerprints.
// A change of the set is agreed on first; it binds by an entry of its own, once the lines hold it.
type Rollout struct {
	Agreed      string `json:"held"`    // "": there is none
	Active      string `json:"bound"`   // the same
	AgreedIndex uint64 `json:"heldAt"`  // entry of the log
	ActiveIndex uint64 `json:"boundAt"` // 0: none ever did
}

// Fingerprint is the fingerprint of a set: of its items, in order, by name, version and content. "": there are none.
func Fingerprint(n int, item func(i int) (name string, version int64, body []byte)) string {
	if n == 0 {
		return ""
	}
	h := sha256.New()
	for i := range n {
		name, version, body := item(i)
		fmt.Fprintf(h, "%q %d %d\n", name, version, len(body))
		h.Write(body)
	}
	return hex.EncodeToString(h.Sum(nil)[:8])
}

// Agree is the board after an entry that changed the set.
func (b Rollout) Agree(print string, at uint64) Rollout {
	b.Agreed, b.AgreedIndex = print, at
	return b
}

// Activate is the board after an entry that has a set bind; false: another set has been agreed on since, and nothing changes.
func (b Rollout) Activate(print string, at uint64) (Rollout, bool) {
	if print != b.Agreed || b.Active == b.Agreed {
		return b, false
	}
	b.Active, b.ActiveIndex = print, at
	return b, true
}

// IsPending says that a set is agreed on and does not bind yet.
func (b Rollout) IsPending() bool { return b.Agreed != b.Active }

// SidecarReport is what a line said last.
type SidecarReport struct {
	Name     string
	Received string // the set that it holds
	Silent   bool   // it gave no answer
}

// CanActivate says whether the set that is agreed on may bind: all lines hold it, or have been fenced for certain. since is how long
// this leader has known that it is agreed on. The very first set waits for all lines that are known: one that has never heard
// of any has no fence.
func (b Rollout) CanActivate(lines []SidecarReport, since time.Duration) (ok bool, waits string) {
	if !b.IsPending() {
		return false, ""
	}
	var behind []string
	for _, l := range lines {
		if l.Silent || l.Received != b.Agreed {
			behind = append(behind, l.Name)
		}
	}
	if len(behind) == 0 || b.ActiveIndex > 0 && since >= activationTimeout {
		return true, ""
	}
	return false, fmt.Sprintf("%d lines have not said that they hold it, the first %s", len(behind), behind[0])
}

// SidecarState is a line's side: the set that it holds, the one that it goes by, and until when it may.
type SidecarState struct {
	Received, Active string
	ActiveIndex      uint64        // the entry by which Bound binds
	ConfirmedAt      time.Duration // when it asked last and was told that Bound binds; of its own steady clock
	HasPolicies      bool          // it has heard of a set
}

// Receive is the leaf once it holds a set.
func (l SidecarState) Receive(print string) SidecarState {
	l.Received, l.HasPolicies = print, l.HasPolicies || print != ""
	return l
}

// Activate is the leaf after word that a set binds by an entry. take: it goes by the set that it holds from now on; ask: it does not
// hold that set, or has missed one, and has to read all anew. Older word changes nothing.
func (l SidecarState) Activate(print string, at uint64) (_ SidecarState, take, ask bool) {
	switch {
	case at <= l.ActiveIndex:
		return l, false, false
	case print != l.Received:
		return l, false, true
	}
	l.Active, l.ActiveIndex = print, at
	return l, true, false
}

// Restore is the leaf after it was given the set that binds, by a confirmed read that it asked for at a time.
func (l SidecarState) Restore(print string, at uint64, asked time.Duration) SidecarState {
	if at < l.ActiveIndex {
		return l
	}
	l.Active, l.ActiveIndex, l.HasPolicies = print, at, l.HasPolicies || print != ""
	l.ConfirmedAt = max(l.ConfirmedAt, asked)
	return l
}

// Confirm is the leaf after a confirmed read, asked for at a time, named the set that binds and the one that is agreed on;
// false: they are others than the line's, and it has to read all anew.
func (l SidecarState) Confirm(print string, at uint64, held string, asked time.Duration) (SidecarState, bool) {
	if print != l.Active || at != l.ActiveIndex || held != l.Received {
		return l, false
	}
	l.ConfirmedAt = max(l.ConfirmedAt, asked)
	return l, true
}

// IsFenced says that the line may go by its set no longer.
func (l SidecarState) IsFenced(now time.Duration) bool {
	return l.HasPolicies && now-l.ConfirmedAt > FenceTimeout
}
