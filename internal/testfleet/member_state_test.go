package testfleet

import (
	"context"
	"testing"

	"cranegrade/internal/admin"
	"cranegrade/internal/fake"
)

// TestRestartWithAnyState starts a member again with its state, with an older copy, with a truncated one, with none and with another
// member's. It starts each time, takes its place, and follows the operators' orders that its state holds.
func TestRestartWithAnyState(t *testing.T) {
	t.Parallel()
	f := startFleet(t, FleetConfig{MemberCount: 3, ServerCount: 4, Seed: 13, ExtraSettings: stateSettings})
	f.awaitAgreement(t, true, 0, 1, 2)
	must := func(err error) {
		t.Helper()
		if err != nil {
			t.Fatal(err)
		}
	}
	m, other := f.Members[1], f.Members[2]
	m.Kill()
	must(m.SaveState("before"))
	must(m.Start())
	sendOperatorCommand(t, m, admin.SetDown, "s-00")
	other.Kill()
	must(other.SaveState("another's"))
	must(other.Start())
	for _, c := range []struct {
		name   string
		change func() error
		isDown bool // the server that was set down stays out of use
	}{
		{"its own", func() error { return m.SaveState("after") }, true},
		{"an older copy", func() error { return m.RestoreState("before") }, false},
		{"its own once more", func() error { return m.RestoreState("after") }, true},
		{"a truncated one", m.TruncateState, false},
		{"another's", func() error { return m.RestoreState("another's") }, false},
		{"none", m.ClearState, false},
	} {
		m.Kill()
		must(c.change())
		must(m.Start())
		f.awaitAgreement(t, true, 0, 1, 2)
		got := f.countRequests(m, "s-00", 60)
		if c.isDown != (got == 0) {
			t.Errorf("with %s the server that was set down got %d of 60", c.name, got)
		}
	}
	assertRulesKept(t, f)
}

// sendOperatorCommand sends an operators' command to a member until it is accepted: its list may not have arrived yet.
func sendOperatorCommand(t *testing.T, m *Member, verb admin.Verb, id string) {
	t.Helper()
	addr, err := m.Process.OperatorAddr()
	if err != nil {
		t.Fatal(err)
	}
	if !Await(eventTimeout, func() bool {
		ctx, cancel := context.WithTimeout(t.Context(), eventTimeout)
		defer cancel()
		accepted, _, err := admin.Send(ctx, addr, admin.Command{Verb: verb, ID: id})
		return accepted && err == nil
	}) {
		t.Fatalf("%s %s is refused", verb, id)
	}
}

// countRequests sends requests to a member and returns how many of them reached a server.
func (f *Fleet) countRequests(m *Member, server string, requests int) (count int) {
	from := f.Recorder.Now()
	for range requests {
		m.Callers.Do(fake.Stream{Host: Host, Class: ReadClass})
	}
	for _, a := range f.Recorder.History().Arrivals {
		if a.FirstByteAt > from && a.Server == server {
			count++
		}
	}
	return count
}
