package goldenrecord

import (
	"encoding/hex"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// Records differ if values, their order or texts differ, and the same draws make the same record.
func TestRecordTellsApart(t *testing.T) {
	sum := func(record func(r *Record)) [2]string {
		r := newRecord()
		record(r)
		return [2]string{hex.EncodeToString(r.decisions.Sum(nil)), hex.EncodeToString(r.texts.Sum(nil))}
	}
	one := sum(func(r *Record) { r.Decide(1, "a"); r.Decide(2) })
	assert.Equal(t, one, sum(func(r *Record) { r.Decide(1, "a"); r.Decide(2) }))
	assert.Assert(t, one[0] != sum(func(r *Record) { r.Decide(2); r.Decide(1, "a") })[0])
	assert.Assert(t, one[0] != sum(func(r *Record) { r.Decide(1, "b"); r.Decide(2) })[0])
	said := sum(func(r *Record) { r.Decide(1, "a"); r.Say("x"); r.Decide(2) })
	assert.Equal(t, said[0], one[0])
	assert.Assert(t, said[1] != one[1])
	first, again := rand.New(rand.NewPCG(0, drawStream)), rand.New(rand.NewPCG(0, drawStream))
	for range 100 {
		assert.Equal(t, Pick(first, 1, 2, 3), Pick(again, 1, 2, 3))
	}
}

func TestAssertJSONReadsItBack(t *testing.T) {
	type item struct {
		Name string `json:"n"`
	}
	AssertJSON(t, item{"a"}, `{"n":"a"}`)
	assert.Equal(t, JSON(item{"a"}), `{"n":"a"}`)
}
