// Package goldenrecord compares what a pure package decides on drawn inputs, and the JSON that it stores, with what was
// recorded before. For tests only.
package goldenrecord

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash"
	"math/rand/v2"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

// Record is what a package decides, in order, as hashes. Texts for people are hashed separately from the decisions, so that
// a change of wording shows as just that.
type Record struct {
	decisions, texts hash.Hash
	counts           map[string]int
}

// newRecord returns an empty record.
func newRecord() *Record {
	return &Record{decisions: sha256.New(), texts: sha256.New(), counts: map[string]int{}}
}

// Decide adds a decision. Only values must go in, and JSON as it is stored: no name of the code.
func (r *Record) Decide(values ...any) { r.decisions.Write(fmt.Appendln(nil, values...)) }

// Say adds a text for people.
func (r *Record) Say(text string) { r.texts.Write(fmt.Appendf(nil, "%q\n", text)) }

// Count counts an outcome, which shows that the draws come to it.
func (r *Record) Count(outcome string) { r.counts[outcome]++ }

// Play draws inputs and records what the package decides on them.
type Play func(draw *rand.Rand, r *Record)

// fileName is the golden file of each package, in its folder testdata.
const fileName = "golden.json"

// drawStream is the second half of each seed.
const drawStream = 57

// Assert plays each of some parts with the seeds from 0 on, and compares the records with testdata/golden.json of the package
// under test. With -update it writes that file.
func Assert(t *testing.T, seeds uint64, parts map[string]Play) {
	t.Helper()
	type section struct {
		Decisions string         `json:"decisions"`
		Texts     string         `json:"texts"`
		Counts    map[string]int `json:"counts"`
	}
	sections := map[string]section{}
	for name, play := range parts {
		r := newRecord()
		for seed := range seeds {
			play(rand.New(rand.NewPCG(seed, drawStream)), r)
		}
		sections[name] = section{
			Decisions: hex.EncodeToString(r.decisions.Sum(nil)),
			Texts:     hex.EncodeToString(r.texts.Sum(nil)),
			Counts:    r.counts,
		}
	}
	AssertFile(t, sections, "  ")
}

// AssertFile compares a record, as JSON that is indented by indent, with testdata/golden.json of the package under test.
// With -update it writes that file.
func AssertFile(t *testing.T, record any, indent string) {
	t.Helper()
	text, err := json.MarshalIndent(record, "", indent)
	assert.NilError(t, err)
	golden.Assert(t, string(text)+"\n", fileName)
}

// ReadFile reads testdata/golden.json of the package under test into record, a pointer.
func ReadFile(t *testing.T, record any) {
	t.Helper()
	assert.NilError(t, json.Unmarshal(golden.Get(t, fileName), record))
}

// JSON is a value as it is stored or sent. It panics where there is none.
func JSON(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return string(text)
}

// AssertJSON sees that a value has that form as JSON, and that the form is read as that value.
func AssertJSON(t *testing.T, v any, want string) {
	t.Helper()
	text, err := json.Marshal(v)
	assert.NilError(t, err)
	assert.Equal(t, string(text), want)
	read := reflect.New(reflect.TypeOf(v))
	assert.NilError(t, json.Unmarshal(text, read.Interface()))
	assert.DeepEqual(t, read.Elem().Interface(), v)
}

// Pick draws one of some values.
func Pick[T any](draw *rand.Rand, values ...T) T { return values[draw.IntN(len(values))] }
