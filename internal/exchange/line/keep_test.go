package line

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/trunk/wire"
)

func TestKeep(t *testing.T) {
	k := newKeep()
	_, ok := k.begin("a", "t1", 0, time.Minute)
	assert.Assert(t, ok)
	was, ok := k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, !ok && was.fate == claiming && was.ticket == "t1")
	k.set("a", running, nil)
	k.forget("a") // it never ran
	_, ok = k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, ok)
	k.set("a", done, &wire.AnswerT{Status: 201, Body: []byte("text")})
	was, ok = k.begin("a", "t3", 0, time.Minute)
	assert.Assert(t, !ok && was.fate == done && was.answer.Status == 201)
	// It is bounded: of the oldest the answers go, not that they ran.
	body := make([]byte, keepAnswer)
	for n := range 2 * keepBytes / keepAnswer {
		key := fmt.Sprint(n)
		k.begin(key, "t", 0, time.Minute)
		k.set(key, done, &wire.AnswerT{Body: body})
	}
	assert.Assert(t, k.bytes <= keepBytes)
	was, ok = k.begin("a", "t4", 0, time.Minute)
	assert.Assert(t, !ok && was.fate == done && was.answer == nil)
	// Past its window a key is forgotten.
	for _, x := range k.keys {
		x.at = x.at.Add(-2 * time.Minute)
	}
	_, ok = k.begin("b", "t", 0, time.Minute)
	assert.Assert(t, ok && len(k.keys) == 1 && k.bytes == 0)
}

// A run that ends when its key is another's says nothing of that one.
func TestKeepOutlasted(t *testing.T) {
	k := newKeep()
	k.begin("a", "t1", 0, time.Minute)
	k.set("a", running, nil)
	k.keys["a"].at = k.keys["a"].at.Add(-2 * time.Minute)
	_, ok := k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, ok)
	k.set("a", running, nil)
	k.end("a", "t1", unknown, nil)
	was, _ := k.get("a")
	assert.Equal(t, was.fate, running)
	k.end("a", "t2", done, &wire.AnswerT{Status: 200})
	was, _ = k.get("a")
	assert.Equal(t, was.fate, done)
}
