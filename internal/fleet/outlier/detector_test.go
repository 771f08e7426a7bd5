package outlier

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// start is when the tests begin, in elapsed time.
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

// drawnByAll has four members draw from every server.
func drawnByAll(string) []uint64 { return []uint64{1, 2, 3, 4} }

func wantNoEjections(t *testing.T, d *Detector, now time.Duration, when string) {
	t.Helper()
	if ejections := d.Ejections(now, drawnByAll); len(ejections) != 0 {
		t.Fatalf("%s the ejections are %+v, want none", when, ejections)
	}
}

// sendDigest has one detector receive the other's digest.
func sendDigest(t *testing.T, from, to *Detector, at time.Duration) Digest {
	t.Helper()
	digest, ok := from.Digest(at)
	if !ok {
		t.Fatal("there is nothing to tell")
	}
	to.Receive(at, "reporter", 1, 1, digest)
	return digest
}

// TestReportedServerIsEjectedUntilItsTurn follows a server that fails at one member: its second failure has another member avoid the server,
// which tries it when its turn comes and then believes itself.
func TestReportedServerIsEjectedUntilItsTurn(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	reporter, receiver := newTestDetector(1, names...), newTestDetector(2, names...)
	reporter.RecordFailure(start, "a")
	if digest := sendDigest(t, reporter, receiver, start); len(digest.Observations) != 1 {
		t.Fatalf("the digest is %+v, want one observation", digest)
	}
	wantNoEjections(t, receiver, start, "after one failure")

	reporter.RecordFailure(start, "a")
	digest := sendDigest(t, reporter, receiver, start)
	ejections := receiver.Ejections(start, drawnByAll)
	if len(ejections) != 1 || ejections[0].Server != "a" || ejections[0].Until <= start || ejections[0].Until > start+maxEjection {
		t.Fatalf("after two failures the ejections are %+v, want server a for at most %v", ejections, maxEjection)
	}
	receiver.Receive(start+1, "reporter", 1, 1, digest)
	if again := receiver.Ejections(start+1, drawnByAll); !reflect.DeepEqual(ejections, again) {
		t.Fatalf("a repeated digest turns %+v into %+v", ejections, again)
	}

	turn := ejections[0].Until
	wantNoEjections(t, receiver, turn, "at its turn")
	receiver.RecordSuccess(turn, "a")
	reporter.RecordFailure(turn, "a")
	digest, _ = reporter.Digest(turn)
	receiver.Receive(turn+1, "reporter", 1, 1, digest)
	wantNoEjections(t, receiver, turn+1, "after a success of its own")
	if digest, ok := receiver.Digest(turn + 1); !ok || digest.Observations[0].Successes == 0 {
		t.Errorf("its digest is %+v, %v; want the success at the reported server", digest, ok)
	}
}

// TestEjectionsAreBounded: whatever members report, at any time, no ejection lasts longer than maxEjection, and one member alone ejects
// one of twelve servers at the most.
func TestEjectionsAreBounded(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		d := newTestDetector(9, names...)
		now := 100 * time.Second
		reporters := rapid.SampledFrom([][]string{{"x"}, {"x", "y", "z"}}).Draw(t, "members")
		for i := range 60 {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			reporter := rapid.IntRange(0, len(reporters)-1).Draw(t, "who")
			d.Receive(now, reporters[reporter], uint64(reporter), 1, drawDigest(t, uint32(i+1), names))
			for _, e := range d.Ejections(now, drawnByAll) {
				if e.Until > now+maxEjection {
					t.Fatalf("at %v a server is ejected until %v", now, e.Until)
				}
			}
			if ejections := d.Ejections(now, drawnByAll); len(reporters) == 1 && len(ejections) > 1 {
				t.Fatalf("one member ejects %d of %d servers", len(ejections), len(names))
			}
			tried := rapid.SampledFrom(names).Draw(t, "tried")
			if failed := rapid.Bool().Draw(t, "ends"); failed {
				d.RecordFailure(now, tried)
			} else {
				d.RecordSuccess(now, tried)
			}
		}
		if len(d.peers) > len(reporters) || len(d.distrusted) > len(names)*len(reporters) {
			t.Fatalf("%d members and %d distrusted reports are kept", len(d.peers), len(d.distrusted))
		}
	})
}

func drawDigest(t *rapid.T, seq uint32, names []string) Digest {
	digest := Digest{Pool: 1, Seq: seq, SubsetSize: uint16(rapid.IntRange(0, 65535).Draw(t, "draws"))}
	for range rapid.IntRange(0, MaxObservations).Draw(t, "facts") {
		digest.Observations = append(digest.Observations, Observation{
			ServerID(rapid.SampledFrom(names).Draw(t, "server")), 0, rapid.Byte().Draw(t, "bad"), rapid.Byte().Draw(t, "good"),
			rapid.Byte().Draw(t, "streak"), rapid.Byte().Draw(t, "age"),
		})
	}
	return digest
}
