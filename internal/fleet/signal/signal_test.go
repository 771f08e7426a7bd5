package signal

import (
	"errors"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cranegrade/internal/fleet/rotation"
)

const s = time.Second

func book(me uint64, servers ...string) *Book {
	b := NewBook(1, me)
	boots := map[string]time.Duration{}
	for _, n := range servers {
		boots[n] = 0
	}
	b.List(boots, len(servers))
	return b
}

func all(string) []uint64 { return []uint64{1, 2, 3, 4} }

// TestCourse follows a server that fails: one member's two failures make the others careful, each tries it in turn, and a
// good ending anywhere has it back.
func TestCourse(t *testing.T) {
	names := []string{"a", "b", "c", "d", "e"}
	x, y := book(1, names...), book(2, names...)
	x.Ended(10*s, "a", true, true)
	d, is := x.Digest(10 * s)
	if !is || len(d.Facts) != 1 {
		t.Fatalf("%+v, %v", d, is)
	}
	y.Heard(10*s, "x", 1, 1, d)
	if v := y.Verdicts(10*s, all, rotation.Place); len(v) != 0 {
		t.Fatalf("one failure puts it aside: %+v", v)
	}
	x.Ended(10*s, "a", true, true)
	d, _ = x.Digest(10 * s)
	y.Heard(10*s, "x", 1, 1, d)
	v := y.Verdicts(10*s, all, rotation.Place)
	if len(v) != 1 || v[0].Server != "a" || v[0].Until <= 10*s || v[0].Until > 10*s+longest {
		t.Fatalf("%+v", v)
	}
	y.Heard(10*s+1, "x", 1, 1, d) // again: nothing new
	if w := y.Verdicts(10*s+1, all, rotation.Place); !reflect.DeepEqual(v, w) {
		t.Fatalf("%+v became %+v", v, w)
	}
	if w := y.Verdicts(v[0].Until, all, rotation.Place); len(w) != 0 {
		t.Fatalf("its turn does not come: %+v", w)
	}
	y.Ended(v[0].Until, "a", false, true) // it tries, and finds it well
	x.Ended(v[0].Until, "a", true, true)
	d, _ = x.Digest(v[0].Until)
	y.Heard(v[0].Until+1, "x", 1, 1, d)
	if w := y.Verdicts(v[0].Until+1, all, rotation.Place); len(w) != 0 {
		t.Fatalf("it believes others more than itself: %+v", w)
	}
	if d, is := y.Digest(v[0].Until + 1); !is || d.Facts[0].Good == 0 {
		t.Errorf("it does not defend it: %+v, %v", d, is)
	}
}

// TestHarm: whatever members tell, at any time, no verdict lasts longer than it may, and one member alone puts few aside.
func TestHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"}
		b := book(9, names...)
		now := 100 * s
		from := rapid.SampledFrom([][]string{{"x"}, {"x", "y", "z"}}).Draw(t, "members")
		for i := range 60 {
			now += time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond
			who := rapid.IntRange(0, len(from)-1).Draw(t, "who")
			d := Digest{Pool: 1, Seq: uint32(i + 1), Draws: uint16(rapid.IntRange(0, 65535).Draw(t, "draws"))}
			for range rapid.IntRange(0, MaxFacts).Draw(t, "facts") {
				d.Facts = append(d.Facts, Fact{
					ID(rapid.SampledFrom(names).Draw(t, "server")), 0, rapid.Byte().Draw(t, "bad"), rapid.Byte().Draw(t, "good"),
					rapid.Byte().Draw(t, "streak"), rapid.Byte().Draw(t, "age"),
				})
			}
			b.Heard(now, from[who], uint64(who), 1, d)
			for _, v := range b.Verdicts(now, all, rotation.Place) {
				if v.Until > now+longest {
					t.Fatalf("aside until %v at %v", v.Until, now)
				}
			}
			if l := b.Verdicts(now, all, rotation.Place); len(from) == 1 && len(l) > 1 {
				t.Fatalf("one member puts %d of %d aside", len(l), len(names))
			}
			b.Ended(now, rapid.SampledFrom(names).Draw(t, "tried"), rapid.Bool().Draw(t, "ends"), true)
		}
		if len(b.others) > len(from) || len(b.doubts) > len(names)*len(from) {
			t.Fatalf("%d members, %d doubts kept", len(b.others), len(b.doubts))
		}
	})
}

func TestTurns(t *testing.T) {
	members := []uint64{1, 2, 3, 4, 5}
	firsts := map[uint64]int{}
	for epoch := range uint64(500) {
		places := map[int]bool{}
		for _, m := range members {
			p := rotation.Place(7, epoch, members, m)
			if places[p] = true; p == 0 {
				firsts[m]++
			}
		}
		if len(places) != len(members) {
			t.Fatalf("places %v", places)
		}
	}
	for m, n := range firsts {
		if n < 60 || n > 140 {
			t.Errorf("%d is the first %d times of 500", m, n)
		}
	}
	if rotation.Wait(1000, s) > 8*s {
		t.Error("a turn that never comes")
	}
}

func FuzzDecode(f *testing.F) {
	f.Add(Digest{Pool: 1, Seq: 2, Draws: 3, Facts: []Fact{{4, 5, 6, 7, 8, 9}}}.Encode())
	f.Fuzz(func(t *testing.T, b []byte) {
		d, err := Decode(b)
		if err != nil {
			if !errors.Is(err, ErrDigest) {
				t.Error(err)
			}
			return
		}
		again, err := Decode(d.Encode())
		if err != nil || !reflect.DeepEqual(again, d) || len(d.Encode()) > MaxDigest {
			t.Errorf("%x is read as %+v, and that as %+v, %v", b, d, again, err)
		}
	})
}
