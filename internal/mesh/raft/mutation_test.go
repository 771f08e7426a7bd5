package raft

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
)

// planted is an error that is put into the package's source for one run of its tests.
type planted struct {
	name, file, right, wrong string
	by                       string // the test that finds it; "": TestRandomSchedules
}

var plantedErrors = []planted{
	{"an answer before the sync", "ready.go",
		"	ready.Entries = r.log.takeUnsaved()\n",
		"	ready.Entries = r.log.takeUnsaved()\n	if len(ready.Entries) > 0 {\n		ready.MessagesBeforeSave, ready.MessagesAfterSave = append(ready.MessagesBeforeSave, ready.MessagesAfterSave...), nil\n	}\n", ""},
	{"a vote not synced", "ready.go",
		"&HardState{Term: r.term, Vote: r.vote}", "&HardState{Term: r.term}", "TestOrdersOfTwoCandidates"},
	{"entries of earlier terms committed by counting", "replication.go",
		"if term, _ := r.log.termAt(index); term != r.term {", "if term, _ := r.log.termAt(index); term > r.term {", "TestEarlierTermNotCounted"},
	{"an answer under way taken for a new life's", "leave.go",
		"p.leaveGranted && !m.Leaving &&", "p.leaveGranted &&", ""},
	{"a lease by the local clock", "read_index.go",
		"if r.log.configuration.isSoleVoter(r.config.Self.ID) {", "if r.HasQuorumContact(r.now) {", ""},
	{"a leader that is taken out counts itself", "replication.go",
		"if r.log.configuration.hasQuorum(func(id ID) bool { return r.matchIndex(id) >= index }) {",
		"if c := r.log.configuration; c.hasQuorum(func(id ID) bool {\n			return r.matchIndex(id) >= index || r.log.savedIndex >= index && !containsMember(c.Members, r.config.Self.ID) && id == c.Members[0].ID\n		}) {", ""},
	{"an exchange by a majority of the new members alone", "configuration.go",
		"return hasMajority(c.Members, counts) && (!c.isJoint() || hasMajority(c.Outgoing, counts))", "return hasMajority(c.Members, counts)", ""},
	{"a learner that is counted", "replication.go",
		"if r.log.configuration.hasQuorum(func(id ID) bool { return r.matchIndex(id) >= index }) {",
		"k := 0\n		for _, p := range r.peers {\n			if p.match >= index {\n				k++\n			}\n		}\n		if r.log.savedIndex >= index && k >= len(r.log.configuration.Members)/2 {", ""},
	{"a snapshot without the members", "log.go",
		"		Members:            configuration.Members,\n", "", ""},
	{"a snapshot with the members of the log's end", "log.go",
		"l.entriesFrom(index)[0], l.configurationAt(index)", "l.entriesFrom(index)[0], l.configuration", ""},
	{"a snapshot installed over newer entries", "snapshot_receive.go",
		"if snapshot.Index <= r.log.committed {", "if snapshot.Index == r.log.committed {", ""},
	{"a snapshot's sum not compared", "snapshot_receive.go",
		"if crc32.Checksum(incoming.data, castagnoli) != incoming.checksum {", "if false && crc32.Checksum(nil, castagnoli) != 0 {", "TestInvalidSnapshotRejected"},
	{"a member let go at once", "leave.go",
		"(r.mayGrantLeave(p) || r.areAllVotersLeaving()) {", "true {", ""},
	{"a wiped voter that keeps its id", "schedule_test.go",
		"self: Member{s.nextID, n.self.Addr}, now", "self: n.self, snapshot: BootstrapSnapshot(s.founders), now", ""},
	{"a place cleared before the learner has caught up", "membership.go",
		"if version < 1 {", "if true {", "TestReplacement"},
	{"no vote for a member that is not known", "election.go",
		"if !granted && !r.log.configuration.isVoter(m.From) {", "if !r.log.configuration.isVoter(m.From) {", "TestVoteForUnknownMember"},
	{"a whole snapshot at every heartbeat", "snapshot_send.go",
		"const wholeSnapshotResendFactor = 8", "const wholeSnapshotResendFactor = 0", "TestSnapshotForLegacyMember"},
	{"heartbeats left out while a snapshot is sent", "replication.go",
		"			r.sendHeartbeat(p)\n", "", "TestSnapshotOverLossyLink"},
}

// longToFind are those that take more than a hundred schedules: RAFT_MUTATIONS=all has them looked for, too.
var longToFind = map[string]bool{
	"a lease by the local clock": true, "a snapshot installed over newer entries": true,
	"an exchange by a majority of the new members alone": true, "a wiped voter that keeps its id": true,
}

// Each planted error is found, most of them by random schedules.
func TestMutations(t *testing.T) {
	if testing.Short() || testkit.Race || os.Getenv("RAFT_SCHEDULES") != "" {
		t.Skip("it builds the package for each planted error; go test without -race and -short does")
	}
	together := make(chan struct{}, 4) // at once
	for _, x := range plantedErrors {
		if longToFind[x.name] && os.Getenv("RAFT_MUTATIONS") != "all" {
			continue
		}
		t.Run(x.name, func(t *testing.T) {
			t.Parallel()
			together <- struct{}{}
			defer func() { <-together }()
			text := x.run(t)
			if x.by != "" {
				assert.Assert(t, strings.Contains(text, "--- FAIL: "+x.by), "%s", text)
				return
			}
			seed := regexp.MustCompile(`seed (\d+): (.*)`).FindStringSubmatch(text)
			assert.Assert(t, seed != nil, "not found: %s", text)
			t.Logf("found at schedule %s: %s", seed[1], seed[2])
		})
	}
}

// run plays the test that is to find it on the source with the error, and gives its output.
func (x planted) run(t *testing.T) string {
	source, err := os.ReadFile(x.file)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(source), x.right), 1, "%s does not hold this once: %s", x.file, x.right)
	dir := t.TempDir()
	wrong := filepath.Join(dir, "wrong.go")
	assert.NilError(t, os.WriteFile(wrong, []byte(strings.Replace(string(source), x.right, x.wrong, 1)), 0o600))
	path, err := filepath.Abs(x.file)
	assert.NilError(t, err)
	overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{path: wrong}})
	assert.NilError(t, err)
	file := filepath.Join(dir, "overlay.json")
	assert.NilError(t, os.WriteFile(file, overlay, 0o600))
	by := x.by
	if by == "" {
		by = "TestRandomSchedules"
	}
	cmd := exec.Command("go", "test", "-count=1", "-vet=off", "-overlay", file, "-run", fmt.Sprintf("^%s$", by), ".")
	cmd.Env = append(os.Environ(), "RAFT_SCHEDULES=2000")
	text, err := cmd.CombinedOutput()
	assert.Assert(t, err != nil, "the tests pass with it")
	assert.Assert(t, !strings.Contains(string(text), "build failed"), "%s", text)
	return string(text)
}
