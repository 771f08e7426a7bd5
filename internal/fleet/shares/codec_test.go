package shares

import (
	"testing"
	"time"
)

func FuzzDecode(f *testing.F) {
	f.Add(Encode([]Want{{1, 0.5}}, []Loan{{1, 0.25, time.Second}}))
	f.Fuzz(func(t *testing.T, b []byte) {
		w, l, err := Decode(b)
		if err != nil {
			return
		}
		w2, l2, err := Decode(Encode(w, l))
		if err != nil || len(w2) != len(w) || len(l2) != len(l) {
			t.Fatalf("%x: %v %v, %v %v, %v", b, w, l, w2, l2, err)
		}
		book := NewBook(time.Second)
		book.Heard(10*time.Second, "x", w, l, 10*time.Second)
		for _, x := range l {
			if part, until := book.Part(10*time.Second, x.Ration, 0.5); part > 1 || until > 11*time.Second && book.Borrowed(10*time.Second, x.Ration) > 0 {
				t.Errorf("%+v: %v until %v", x, part, until)
			}
			if part, _ := book.Part(12*time.Second, x.Ration, 0.5); part != 0.5 {
				t.Errorf("%+v: a loan of a second gives %v after two", x, part)
			}
		}
	})
}
