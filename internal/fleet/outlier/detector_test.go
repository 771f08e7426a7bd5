package outlier

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is the elapsed time at which the tests begin.
const start = 10 * time.Second

func newTestDetector(self uint64, servers ...string) *Detector {
	d := NewDetector(1, self)
	startedAt := map[string]time.Duration{}
	for _, name := range servers {
		startedAt[name] = 0
	}
	d.SetServers(startedAt, len(servers))
	return d
}

// usedByAllMembers returns the same four members as users of each server.
func usedByAllMembers(string) []uint64 { return []uint64{1, 2, 3, 4} }

func wantNoEjections(t *testing.T, d *Detector, now time.Duration, when string) {
	t.Helper()
	if ejections := d.Ejections(now, usedByAllMembers); len(ejections) != 0 {
		t.Fatalf("%s the ejections are %+v, want none", when, ejections)
	}
}

// sendDigest delivers the digest of one detector to another one.
func sendDigest(t *testing.T, from, to *Detector, at time.Duration) Digest {
	t.Helper()
	digest, ok := from.Digest(at)
	if !ok {
		t.Fatal("the sender has no digest, want one")
	}
	to.Receive(at, "reporter", 1, 1, digest)
	return digest
}

// TestReportedServerIsEjectedUntilTurnToRetry reports the failures of a server to another member. The second failure ejects the server
// there until that member's turn to retry it. A success of its own then outweighs further reports.
func TestReportedServerIsEjectedUntilTurnToRetry(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	reporter, receiver := newTestDetector(1, names...), newTestDetector(2, names...)
	reporter.RecordFailure(start, "a")
	if digest := sendDigest(t, reporter, receiver, start); len(digest.Observations) != 1 {
		t.Fatalf("the digest is %+v, want one observation", digest)
	}
	wantNoEjections(t, receiver, start, "after one failure")

	reporter.RecordFailure(start, "a")
	digest := sendDigest(t, reporter, receiver, start)
	ejections := receiver.Ejections(start, usedByAllMembers)
	if len(ejections) != 1 || ejections[0].Server != "a" || ejections[0].Until <= start || ejections[0].Until > start+maxEjection {
		t.Fatalf("after two failures the ejections are %+v, want server a for at most %v", ejections, maxEjection)
	}
	receiver.Receive(start+1, "reporter", 1, 1, digest)
	if again := receiver.Ejections(start+1, usedByAllMembers); !reflect.DeepEqual(ejections, again) {
		t.Fatalf("a duplicate digest changes the ejections from %+v to %+v", ejections, again)
	}

	turn := ejections[0].Until
	wantNoEjections(t, receiver, turn, "at its turn")
	receiver.RecordSuccess(turn, "a")
	reporter.RecordFailure(turn, "a")
	digest, _ = reporter.Digest(turn)
	receiver.Receive(turn+1, "reporter", 1, 1, digest)
	wantNoEjections(t, receiver, turn+1, "after the receiver's own success")
	if digest, ok := receiver.Digest(turn + 1); !ok || digest.Observations[0].Successes == 0 {
		t.Errorf("the receiver's digest is %+v, %v; want the success at the reported server", digest, ok)
	}
}

// TestEjectionsAreBounded checks with random reports that no ejection lasts longer than maxEjection, and that the reports of a single
// member eject at most one of twelve servers.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		d := newTestDetector(9, names...)
		now := 100 * time.Second
		reporters := rapid.SampledFrom([][]string{{"x"}, {"x", "y", "z"}}).Draw(t, "reporters")
		for i := range 60 {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "elapsed ms")) * time.Millisecond
			reporter := rapid.IntRange(0, len(reporters)-1).Draw(t, "reporter")
			d.Receive(now, reporters[reporter], uint64(reporter), 1, drawDigest(t, uint32(i+1), names))
			for _, e := range d.Ejections(now, usedByAllMembers) {
				if e.Until > now+maxEjection {
					t.Fatalf("at %v a server is ejected until %v", now, e.Until)
				}
			}
			if ejections := d.Ejections(now, usedByAllMembers); len(reporters) == 1 && len(ejections) > 1 {
				t.Fatalf("the reports of one member eject %d of %d servers", len(ejections), len(names))
			}
			tried := rapid.SampledFrom(names).Draw(t, "tried")
			if failed := rapid.Bool().Draw(t, "failed"); failed {
				d.RecordFailure(now, tried)
			} else {
				d.RecordSuccess(now, tried)
			}
		}
		if len(d.peers) > len(reporters) || len(d.distrusted) > len(names)*len(reporters) {
			t.Fatalf("the detector holds %d peers and %d distrusted reports", len(d.peers), len(d.distrusted))
		}
	})
}

func drawDigest(t *rapid.T, seq uint32, names []string) Digest {
	digest := Digest{Pool: 1, Seq: seq, SubsetSize: uint16(rapid.IntRange(0, 65535).Draw(t, "subset size"))}
	for range rapid.IntRange(0, MaxObservations).Draw(t, "observations") {
		digest.Observations = append(digest.Observations, Observation{
			ServerID(rapid.SampledFrom(names).Draw(t, "server")), 0, rapid.Byte().Draw(t, "failures"), rapid.Byte().Draw(t, "successes"),
			rapid.Byte().Draw(t, "consecutive failures"), rapid.Byte().Draw(t, "age"),
		})
	}
	return digest
}
