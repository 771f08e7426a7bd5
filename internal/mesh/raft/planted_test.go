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
	by                       string // the test that finds it; "": TestSchedules
}

var plantedErrors = []planted{
	{"an answer before the sync", "ready.go",
		"	if c.dirtyFrom > 0 {", "	r.Before, r.After = append(r.Before, r.After...), nil\n	if c.dirtyFrom > 0 {", ""},
	{"a vote not synced", "ready.go",
		"&Hard{c.term, c.vote}, false", "&Hard{c.term, 0}, false", "TestOrdersOfTwoCandidates"},
	{"entries of earlier terms committed by counting", "leader.go",
		"if t, _ := c.termAt(n); t != c.term {", "if t, _ := c.termAt(n); t > c.term {", "TestEarlierTermNotCounted"},
	{"an answer under way taken for a new life's", "departure.go",
		"p.released && !m.Leaving &&", "p.released &&", ""},
	{"a lease by the local clock", "read.go",
		"if c.config.alone(c.cfg.Self.ID) {", "if c.InTouch(c.now) {", ""},
	{"a leader that is taken out counts itself", "leader.go",
		"if c.config.quorum(func(id ID) bool { return c.stored(id) >= n }) {",
		"if c.config.quorum(func(id ID) bool { return c.stored(id) >= n || c.saved >= n && !contains(c.config.Members, c.cfg.Self.ID) && id == c.config.Members[0].ID }) {", ""},
	{"an exchange by a majority of the new members alone", "configuration.go",
		"return majority(f.Members, counts) && (!f.joint() || majority(f.Outgoing, counts))", "return majority(f.Members, counts)", ""},
	{"a learner that is counted", "leader.go",
		"if c.config.quorum(func(id ID) bool { return c.stored(id) >= n }) {",
		"k := 0\n		for _, p := range c.peers {\n			if p.match >= n {\n				k++\n			}\n		}\n		if c.saved >= n && k >= len(c.config.Members)/2 {", ""},
	{"a snapshot without the members", "log.go",
		"View: f.Index, Members: f.Members,", "View: f.Index,", ""},
	{"a snapshot with the members of the log's end", "log.go",
		"e, f := c.from(index)[0], c.configurationAt(index)", "e, f := c.from(index)[0], c.config", ""},
	{"a snapshot installed over newer entries", "transfer.go",
		"if s.Index <= c.commit {", "if s.Index == c.commit {", ""},
	{"a snapshot's sum not compared", "transfer.go",
		"if crc32.Checksum(a.data, castagnoli) != a.sum {", "if false {", "TestSnapshotRefused"},
	{"a member let go at once", "departure.go",
		"(c.mayRelease(p) || c.nobodyStays()) {", "true {", ""},
	{"a wiped voter that keeps its id", "schedule_test.go",
		"self: Member{s.nextID, n.self.Addr}, now", "self: n.self, snap: Found(s.founders), now", ""},
	{"a place cleared before the learner has caught up", "members.go",
		"if version < 1 {", "if true {", "TestExchange"},
	{"no vote for a member that is not known", "elect.go",
		"if !yes && !c.config.votes(m.From) {", "if !c.config.votes(m.From) {", "TestVoteForOneUnknown"},
	{"a whole snapshot at every heartbeat", "transfer.go",
		"const wholeAgain = 8", "const wholeAgain = 0", "TestSnapshotForFirstBuild"},
	{"heartbeats left out while a snapshot is sent", "leader.go",
		"			c.heartbeat(p)\n", "", "TestLossyLink"},
}

// longToFind are those that take more than a hundred schedules: CORE_PLANTED=all has them looked for, too.
var longToFind = map[string]bool{
	"a lease by the local clock": true, "a snapshot installed over newer entries": true,
	"an exchange by a majority of the new members alone": true, "a wiped voter that keeps its id": true,
}

// Each planted error is found, most of them by random schedules.
func TestPlantedErrors(t *testing.T) {
	if testing.Short() || testkit.Race || os.Getenv("CORE_SCHEDULES") != "" {
		t.Skip("it builds the package for each planted error; go test without -race and -short does")
	}
	together := make(chan struct{}, 4) // at once
	for _, x := range plantedErrors {
		if longToFind[x.name] && os.Getenv("CORE_PLANTED") != "all" {
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
		by = "TestSchedules"
	}
	cmd := exec.Command("go", "test", "-count=1", "-vet=off", "-overlay", file, "-run", fmt.Sprintf("^%s$", by), ".")
	cmd.Env = append(os.Environ(), "CORE_SCHEDULES=2000")
	text, err := cmd.CombinedOutput()
	assert.Assert(t, err != nil, "the tests pass with it")
	assert.Assert(t, !strings.Contains(string(text), "build failed"), "%s", text)
	return string(text)
}
