package registry

import (
	"testing"

	"cranegrade/internal/testkit"
)

// FuzzParseList: what is accepted is a list whose every entry has an id, a known state and, unless it is
// deleted, an address.
func FuzzParseList(f *testing.F) {
	f.Add([]byte(testkit.ListMessage(3, true, testkit.Entry("a", "SERVING"), testkit.Entry("b", "DELETED"))))
	f.Add([]byte(`{"rev":1e400}`))
	f.Add([]byte(`{"targets":[{"uid":"a","state":"SERVING","endpoint":"x:1","boot_ms":1e300,"capacity_hint":-1}]}`))
	f.Add([]byte(`{"targets":null,"all":1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		l, err := ParseList(text)
		if err != nil {
			return
		}
		for i, s := range l.Update().Servers {
			if s.ID == "" || l.Targets[i].State != "DELETED" && s.Addr == "" {
				t.Fatalf("%+v", s)
			}
		}
	})
}
