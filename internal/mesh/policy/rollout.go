package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Times of the two steps.
const (
	// FenceTimeout is how long a sidecar may use the active set after a linearizable read, counted from when it asked, by its own monotonic
	// clock. After that it rejects requests that policies govern, which have then not run, until the set is confirmed again.
	FenceTimeout = 3 * time.Second

	// ConfirmInterval is how often a sidecar asks for confirmation.
	ConfirmInterval = time.Second

	// activationTimeout is how long the leader waits for sidecars that do not report that they have received a set. By then they are
	// fenced: the additional second is far more than two monotonic clocks may differ by in that time.
	activationTimeout = FenceTimeout + time.Second
)

// Rollout records which policy set is agreed on and which is active, by their fingerprints. It is replicated state. A
// changed set is first agreed on, by the entry that changes an item. It becomes active by an entry of its own, once
// the sidecars have received it.
type Rollout struct {
	Agreed      string `json:"held"`    // empty if there is no set
	Active      string `json:"bound"`   // the same
	AgreedIndex uint64 `json:"heldAt"`  // the log entry by which it was agreed on
	ActiveIndex uint64 `json:"boundAt"` // the log entry that activated it; 0 if none was ever active
}

// Fingerprint identifies a policy set by the names, versions and contents of its items, in order; "" identifies the empty set.
func Fingerprint(n int, item func(i int) (name string, version int64, body []byte)) string {
	if n == 0 {
		return ""
	}
	sum := sha256.New()
	for i := range n {
		name, version, body := item(i)
		sum.Write(fmt.Appendf(nil, "%q %d %d\n", name, version, len(body)))
		sum.Write(body)
	}
	return hex.EncodeToString(sum.Sum(nil)[:fingerprintBytes])
}

// Agree returns the rollout after an entry that changes the set.
func (r Rollout) Agree(fingerprint string, index uint64) Rollout {
	r.Agreed = fingerprint
	r.AgreedIndex = index
	return r
}

// Activate returns the rollout after an entry that activates a set. It returns false, and nothing changes, if another
// set was agreed on meanwhile or the set is already active.
func (r Rollout) Activate(fingerprint string, index uint64) (Rollout, bool) {
	if fingerprint != r.Agreed || r.Active == r.Agreed {
		return r, false
	}
	r.Active = fingerprint
	r.ActiveIndex = index
	return r, true
}

// IsPending reports whether a set is agreed on and not active yet.
func (r Rollout) IsPending() bool { return r.Agreed != r.Active }

// SidecarReport is what a sidecar last reported.
type SidecarReport struct {
	Name     string
	Received string // fingerprint of the set that it has received
	Silent   bool   // it did not answer
}

// CanActivate reports whether the agreed set may become active, and otherwise what it waits for: all sidecars must
// have received it, or certainly be fenced. since is how long this leader has known that the set is agreed on. The
// very first set waits for all known sidecars, since a sidecar that has never heard of any set is not fenced.
func (r Rollout) CanActivate(reports []SidecarReport, since time.Duration) (ok bool, waitsFor string) {
	if !r.IsPending() {
		return false, ""
	}
	var behind []string
	for _, report := range reports {
		if report.Silent || report.Received != r.Agreed {
			behind = append(behind, report.Name)
		}
	}
	if len(behind) == 0 || r.ActiveIndex > 0 && since >= activationTimeout {
		return true, ""
	}
	return false, fmt.Sprintf("%d sidecars have not reported that they have received it, the first %s", len(behind), behind[0])
}
