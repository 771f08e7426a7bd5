package raft

import (
	"bytes"
	"encoding/json"
	"fmt"
	"testing"
)

// record keeps every Ready in the schedule's log.
func (s *randomSchedule) record() {
	s.observe = func(n *testMember, r Ready) {
		text, err := json.Marshal(r)
		if err != nil {
			panic(err)
		}
		fmt.Fprintf(&s.log, "%d %s\n", n.self.ID, text)
	}
}

// The same events must give the same Readys, byte for byte: the package must not depend on map order, clocks or other sources of
// nondeterminism.
func TestReplay(t *testing.T) {
	for seed := range uint64(12) {
		var logs [2][]byte
		for i := range logs {
			s := newRandomSchedule(seed, 3, 2)
			s.record()
			if err := s.run(1500); err != nil {
				t.Fatalf("seed %d: %v", seed, err)
			}
			logs[i] = s.log.Bytes()
		}
		if !bytes.Equal(logs[0], logs[1]) {
			a, b := bytes.Split(logs[0], []byte("\n")), bytes.Split(logs[1], []byte("\n"))
			for i := range min(len(a), len(b)) {
				if !bytes.Equal(a[i], b[i]) {
					t.Fatalf("seed %d: Ready %d differs between two runs:\n%s\n%s", seed, i, a[i], b[i])
				}
			}
			t.Fatalf("seed %d: the two runs gave %d and %d lines", seed, len(a), len(b))
		}
	}
}
