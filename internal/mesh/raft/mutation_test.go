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

var updateMutations = flag.Bool("update-mutations", false, "write testdata/mutations.json anew; with RAFT_MUTATIONS=all for all of them")

const (
	mutationsFile = "testdata/mutations.json"
	// landedFile says how each mutation was found before the package got its present names and tests, by all of its tests and by 2,000
	// random schedules (8,000 for the voter that keeps its ID).
	landedFile = "testdata/mutations_landed.json"
)

// schedulesPlayed is how many random schedules look for a mutation.
const schedulesPlayed = 3000

// edit is a mutation.Edit, as the tables of mutations name it without its fields.
type edit struct{ file, original, replacement string }

// mutant is the package with an error put into its source, for one run of a test.
type mutant struct {
	name  string
	edits []edit
	test  string // the test that finds it; "": TestRandomSchedules
	// maskedBy says which other line keeps the error from doing harm, so that no test can find it alone. With that line wrong as
	// well, as with says, it is found.
	maskedBy string
	with     []edit
	slow     bool // it takes more than a hundred schedules: RAFT_MUTATIONS=all has it looked for
}

// finding is how a mutation is found.
type finding struct {
	Mutation string `json:"mutation"`
	MaskedBy string `json:"maskedBy,omitempty"`
	Test     string `json:"test"`
	Schedule int    `json:"schedule"` // the first random schedule that finds it; -1: it is found by a test of another kind
}

// landedFinding is how a mutation was found before, with the tests' present names.
type landedFinding struct {
	Mutation string   `json:"mutation"`
	Tests    []string `json:"tests"`
	Schedule int      `json:"schedule"` // -1: by none
}

// readTable reads one of the tables of this file, which are JSON.
func readTable[T any](t *testing.T, file string) (table []T) {
	t.Helper()
	text, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.NilError(t, json.Unmarshal(text, &table))
	return table
}

// The random schedules find the same mutations at the same place as before, and so do the tests that there were.
func TestMutationsFoundAsLanded(t *testing.T) {
	landed := map[string]landedFinding{}
	for _, row := range readTable[landedFinding](t, landedFile) {
		landed[row.Mutation] = row
	}
	table := readTable[finding](t, mutationsFile)
	assert.Equal(t, len(table), len(mutations))
	for i, row := range table {
		assert.Equal(t, row.Mutation, mutations[i].name)
		before, known := landed[row.Mutation]
		assert.Assert(t, known, row.Mutation)
		if row.Schedule >= 0 && row.MaskedBy == "" {
			assert.Equal(t, row.Schedule, before.Schedule, row.Mutation)
		}
		if row.Schedule < 0 && !slices.Contains(before.Tests, row.Test) {
			assert.Assert(t, slices.Contains(ruleTests, row.Test), "%s is found by %s now, and was by %v", row.Mutation, row.Test, before.Tests)
		}
	}
}

// ruleTests are younger than landedFile.
var ruleTests = []string{
	"TestMembershipChangeWaitsForOwnTerm", "TestMembershipChangeWaitsForTheLastOne", "TestJointChangeCompletedOnceCommitted",
	"TestConfigurationCutOff", "TestLeaveWaitsForReplacement", "TestLeaveWaitsForAnswers", "TestLeaveWaitsForMembershipChange",
	"TestAcknowledgementBeforeLeaveIsCapped", "TestMessageForAnother", "TestSoleVoterSavesItsTermFirst", "TestLearnerCatchesUpFirst",
	"TestReadsRejectedOnStepDown", "TestReadNeedsALaterRound", "TestReadNeedsAQuorum", "TestLeaderCountsItselfOnceSaved",
	"TestSnapshotAcknowledgedUpToCommit", "TestOnlyComparedEntriesCount", "TestLogIsUpToDate", "TestVoteHoldsForOneTerm",
	"TestLateAppendCutsNothingOff", "TestSnapshotReplacesConflictingLog",
}

// Each mutation is found: by the test that the committed table names, and of random schedules by the one that it names.
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
	together := make(chan struct{}, 4) // at once
	t.Run("all", func(t *testing.T) {
		for _, x := range mutations {
			if x.slow && os.Getenv("RAFT_MUTATIONS") != "all" {
				continue
			}
			t.Run(x.name, func(t *testing.T) {
				t.Parallel()
				together <- struct{}{}
				defer func() { <-together }()
				got := x.find(t)
				if !*updateMutations {
					assert.Equal(t, got, want[x.name])
				}
				mutex.Lock()
				defer mutex.Unlock()
				found[x.name] = got
			})
		}
	})
	if *updateMutations {
		var table []finding
		for _, x := range mutations {
			table = append(table, found[x.name])
		}
		text, err := json.MarshalIndent(table, "", "\t")
		assert.NilError(t, err)
		assert.NilError(t, os.WriteFile(mutationsFile, append(text, '\n'), 0o644))
	}
}

// find runs the test that is to find the mutation on the source with it, and says how it was found.
func (x mutant) find(t *testing.T) finding {
	test := x.test
	if test == "" {
		test = "TestRandomSchedules"
	}
	if x.maskedBy != "" && os.Getenv("RAFT_MUTATIONS") == "all" {
		text, failed := runEdited(t, x.edits, test)
		assert.Assert(t, !failed, "it is masked by nothing: %s", text)
	}
	text, failed := runEdited(t, slices.Concat(x.edits, x.with), test)
	assert.Assert(t, failed, "the tests pass with it")
	found := finding{Mutation: x.name, MaskedBy: x.maskedBy, Test: test, Schedule: -1}
	if x.test != "" {
		assert.Assert(t, strings.Contains(text, "--- FAIL: "+x.test), "%s", text)
		return found
	}
	seed := regexp.MustCompile(`seed (\d+): (.*)`).FindStringSubmatch(text)
	assert.Assert(t, seed != nil, "not found: %s", text)
	t.Logf("found at schedule %s: %s", seed[1], seed[2])
	var err error
	found.Schedule, err = strconv.Atoi(seed[1])
	assert.NilError(t, err)
	return found
}

// runEdited runs a test on the source with edits, and returns its output and whether it failed.
func runEdited(t *testing.T, edits []edit, test string) (output string, failed bool) {
	t.Helper()
	var replaced []mutation.Edit
	for _, e := range edits {
		replaced = append(replaced, mutation.Edit{File: e.file, Original: e.original, Replacement: e.replacement})
	}
	return mutation.RunTest(t, replaced, test, fmt.Sprint("RAFT_SCHEDULES=", schedulesPlayed))
}
