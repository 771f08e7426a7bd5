package policy

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// Times of a rollout.
const (
	// FenceTimeout is how long a sidecar may use the active set after a linearizable read has confirmed it, counted by the sidecar's
	// monotonic clock from when it sent the request. After that the sidecar is fenced: it rejects requests that policies govern, before
	// they run, until the set is confirmed again.
	FenceTimeout = 3 * time.Second

	// ConfirmInterval is the interval at which a sidecar asks for confirmation of the active set.
	ConfirmInterval = time.Second

	// activationTimeout is how long the leader waits for sidecars that do not report that they have received a set. They are fenced after
	// that time: the additional second is far more than two monotonic clocks can drift apart meanwhile.
	activationTimeout = FenceTimeout + time.Second
)

// Rollout records which policy set is agreed on and which is active, by their fingerprints. It is replicated state. The
// log entry that changes an item makes the changed set the agreed one. A separate entry activates that set once the
// sidecars have received it.
type Rollout struct {
	Agreed      string `json:"held"`    // empty if there is no set
	Active      string `json:"bound"`   // empty if no set, or the empty one, is active
	AgreedIndex uint64 `json:"heldAt"`  // the log entry that changed the agreed set
	ActiveIndex uint64 `json:"boundAt"` // the log entry that activated the active set; 0 if no set was ever activated
}

// Fingerprint identifies a policy set by the names, versions and contents of its n items, in order. The empty set has the fingerprint "".
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

// Agree returns the rollout after a log entry that changes the set.
func (r Rollout) Agree(fingerprint string, index uint64) Rollout {
	r.Agreed = fingerprint
	r.AgreedIndex = index
	return r
}

// Activate returns the rollout after a log entry that activates a set. It returns false and the rollout unchanged if
// another set was agreed on meanwhile or the set is already active.
func (r Rollout) Activate(fingerprint string, index uint64) (Rollout, bool) {
	if fingerprint != r.Agreed || r.Active == r.Agreed {
		return r, false
	}
	r.Active = fingerprint
	r.ActiveIndex = index
	return r, true
}

// IsPending reports whether the agreed set is not active yet.
func (r Rollout) IsPending() bool { return r.Agreed != r.Active }

// SidecarReport is the latest report of a sidecar to the leader.
type SidecarReport struct {
	Name         string
	Received     string // fingerprint of the set that it has received
	Unresponsive bool   // the sidecar did not answer
}

// CanActivate reports whether the agreed set may be activated, and otherwise what that waits for: each sidecar must
// have received the set, or have had enough time to be fenced. since is how long this leader has known that the set is
// agreed on. The very first set waits for all sidecars, since a sidecar that never received any set is not fenced.
func (r Rollout) CanActivate(reports []SidecarReport, since time.Duration) (ok bool, waitsFor string) {
	if !r.IsPending() {
		return false, ""
	}
	var notReceived []string
	for _, report := range reports {
		if report.Unresponsive || report.Received != r.Agreed {
			notReceived = append(notReceived, report.Name)
		}
	}
	if len(notReceived) == 0 || r.ActiveIndex > 0 && since >= activationTimeout {
		return true, ""
	}
	return false, fmt.Sprintf("%d sidecars have not reported that they have received it, the first %s", len(notReceived), notReceived[0])
}
