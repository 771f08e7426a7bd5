package raft

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/testkit"
	"cranegrade/internal/testkit/mutation"
)

var updateMutations = flag.Bool("update-mutations", false,
	"rewrite testdata/mutations.json; needs RAFT_MUTATIONS=all, so that no mutation is left out")

const (
	mutationsFile = "testdata/mutations.json"
	// baselineFile records which tests found each mutation before the package was restructured, and which of 2,000 random schedules was the
	// first to find it (of 8,000 for the voter that keeps its ID).
	baselineFile = "testdata/mutations_landed.json"
)

// mutationSchedules is the number of random schedules that are run with a mutation.
const mutationSchedules = 3000

// edit is a mutation.Edit whose fields the mutation tables may give without names.
type edit struct{ file, original, replacement string }

// mutant is the package with an error inserted into its source, for one run of a test.
type mutant struct {
	name  string
	edits []edit
	test  string // the test that finds the error; TestRandomSchedules if empty
	// maskedBy says which other rule keeps the error from doing harm, so that no test can find it alone. Together with the edits of with,
	// which break that rule, it is found.
	maskedBy string
	with     []edit
	slow     bool // finding it takes more than a hundred schedules, so it is only run with RAFT_MUTATIONS=all
}

// finding describes how a mutation is found.
type finding struct {
	Mutation string `json:"mutation"`
	MaskedBy string `json:"maskedBy,omitempty"`
	Test     string `json:"test"`
	Schedule int    `json:"schedule"` // the first random schedule that finds it; -1 if another test than TestRandomSchedules finds it
}

// baselineFinding describes how a mutation was found before the restructuring, with the current names of the tests.
type baselineFinding struct {
	Mutation string   `json:"mutation"`
	Tests    []string `json:"tests"`
	Schedule int      `json:"schedule"` // the first random schedule that found it; -1 if none did
}

// readTable reads a table of findings from a JSON file.
func readTable[T any](t *testing.T, file string) (table []T) {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(text, &table))
	return table
}

// Each mutation is found by the same random schedule as in the baseline, or by a test that found it then or was added since. A refactoring
// must not weaken the tests.
func TestMutationsMatchBaseline(t *testing.T) {
	baseline := map[string]baselineFinding{}
	for _, row := range readTable[baselineFinding](t, baselineFile) {
		baseline[row.Mutation] = row
	}
	table := readTable[finding](t, mutationsFile)
	assert.Equal(t, len(table), len(mutations))
	for i, row := range table {
		assert.Equal(t, row.Mutation, mutations[i].name)
		before, known := baseline[row.Mutation]
		assert.Assert(t, known, row.Mutation)
		if row.Schedule >= 0 && row.MaskedBy == "" {
			assert.Equal(t, row.Schedule, before.Schedule, row.Mutation)
		}
		if row.Schedule < 0 && !slices.Contains(before.Tests, row.Test) {
			assert.Assert(t, slices.Contains(testsAfterBaseline, row.Test), "%s is now found by %s; in the baseline it was found by %v",
				row.Mutation, row.Test, before.Tests)
		}
	}
}

// testsAfterBaseline were added after baselineFile was recorded.
var testsAfterBaseline = []string{
	"TestMembershipChangeWaitsForOwnTerm", "TestMembershipChangeWaitsForPreviousChange", "TestJointChangeCompletedOnceCommitted",
	"TestTruncatedConfigurationReverted", "TestLeaveWaitsForReplacement", "TestLeaveWaitsForResponses", "TestLeaveWaitsForMembershipChange",
	"TestLeaveCapsAcknowledgementAtCommit", "TestMessageForFormerMemberIgnored", "TestSoleVoterSavesItsTermFirst", "TestLearnerCatchesUpFirst",
	"TestReadsRejectedOnStepDown", "TestReadNeedsLaterHeartbeatRound", "TestReadNeedsQuorum", "TestLeaderCountsItselfOnceSaved",
	"TestSnapshotAcknowledgedUpToCommit", "TestOnlyComparedEntriesAcknowledged", "TestLogIsUpToDate", "TestOneVotePerTerm",
	"TestDelayedAppendDoesNotTruncate", "TestSnapshotReplacesConflictingLog",
}

// Each mutation is found by the test that mutationsFile names, and by the first random schedule that it names.
func TestMutations(t *testing.T) {
	if testing.Short() || testkit.Race || os.Getenv("RAFT_SCHEDULES") != "" {
		t.Skip("it builds the package for each mutation; go test without -race and -short does")
	}
	want := map[string]finding{}
	if !*updateMutations {
		for _, row := range readTable[finding](t, mutationsFile) {
			want[row.Mutation] = row
		}
		assert.Equal(t, len(want), len(mutations))
	}
	var mutex sync.Mutex // guards found
	found := map[string]finding{}
	slots := make(chan struct{}, 4) // limits the mutants that are tested at once
	t.Run("all", func(t *testing.T) {
		for _, m := range mutations {
			if m.slow && os.Getenv("RAFT_MUTATIONS") != "all" {
				continue
			}
			t.Run(m.name, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				got := m.find(t)
				if !*updateMutations {
					assert.Equal(t, got, want[m.name])
				}
				mutex.Lock()
				defer mutex.Unlock()
				found[m.name] = got
			})
		}
	})
	if *updateMutations {
		var table []finding
		for _, m := range mutations {
			table = append(table, found[m.name])
		}
		text, err := json.MarshalIndent(table, "", "\t")
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(mutationsFile, append(text, '\n'), 0o644))
	}
}

// find runs the test that has to find the mutation on the mutated source, and returns how it was found.
func (m mutant) find(t *testing.T) finding {
	test := m.test
	if test == "" {
		test = "TestRandomSchedules"
	}
	if m.maskedBy != "" && os.Getenv("RAFT_MUTATIONS") == "all" {
		text, failed := runEdited(t, m.edits, test)
		assert.Assert(t, !failed, "the test fails although the mutation should be masked: %s", text)
	}
	text, failed := runEdited(t, slices.Concat(m.edits, m.with), test)
	assert.Assert(t, failed, "the test passes with the mutation")
	found := finding{Mutation: m.name, MaskedBy: m.maskedBy, Test: test, Schedule: -1}
	if m.test != "" {
		assert.Assert(t, strings.Contains(text, "--- FAIL: "+m.test), "%s", text)
		return found
	}
	seed := regexp.MustCompile(`seed (\d+): (.*)`).FindStringSubmatch(text)
	assert.Assert(t, seed != nil, "no random schedule found the mutation: %s", text)
	t.Logf("found at schedule %s: %s", seed[1], seed[2])
	var err error
	found.Schedule, err = strconv.Atoi(seed[1])
	assert.NilError(t, err)
	return found
}

// runEdited runs a test on the edited source, and returns its output and whether it failed.
func runEdited(t *testing.T, edits []edit, test string) (output string, failed bool) {
	t.Helper()
	var replaced []mutation.Edit
	for _, e := range edits {
		replaced = append(replaced, mutation.Edit{File: e.file, Original: e.original, Replacement: e.replacement})
	}
	return mutation.RunTest(t, replaced, test, fmt.Sprint("RAFT_SCHEDULES=", mutationSchedules))
}
