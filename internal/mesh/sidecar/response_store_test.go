package sidecar

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

func TestResponseStore(t *testing.T) {
	k := newResponseStore()
	_, ok := k.begin("a", "t1", 0, time.Minute)
	assert.Assert(t, ok)
	was, ok := k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, !ok && was.state == keyClaiming && was.token == "t1")
	k.setState("a", keyRunning, nil)
	k.markNotExecuted("a") // it never ran
	_, ok = k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, ok)
	k.setState("a", keyAnswered, &wire.ResponseT{Status: 201, Body: []byte("text")})
	was, ok = k.begin("a", "t3", 0, time.Minute)
	assert.Assert(t, !ok && was.state == keyAnswered && was.response.Status == 201)
	// It is bounded: of the oldest the answers go, not that they ran.
	body := make([]byte, maxStoredResponseBytes)
	for n := range 2 * maxStoredBytes / maxStoredResponseBytes {
		key := fmt.Sprint(n)
		k.begin(key, "t", 0, time.Minute)
		k.setState(key, keyAnswered, &wire.ResponseT{Body: body})
	}
	assert.Assert(t, k.storedBytes <= maxStoredBytes)
	was, ok = k.begin("a", "t4", 0, time.Minute)
	assert.Assert(t, !ok && was.state == keyAnswered && was.response == nil)
	// Past its window a key is forgotten.
	for _, x := range k.records {
		x.claimedAt = x.claimedAt.Add(-2 * time.Minute)
	}
	_, ok = k.begin("b", "t", 0, time.Minute)
	assert.Assert(t, ok && len(k.records) == 1 && k.storedBytes == 0)
}

// A request that ends after its key was claimed by another does not change the record of that one.
func TestResponseStoreOutlastedLease(t *testing.T) {
	k := newResponseStore()
	k.begin("a", "t1", 0, time.Minute)
	k.setState("a", keyRunning, nil)
	k.records["a"].claimedAt = k.records["a"].claimedAt.Add(-2 * time.Minute)
	_, ok := k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, ok)
	k.setState("a", keyRunning, nil)
	k.finish("a", "t1", keyOutcomeUnknown, nil)
	was, _ := k.get("a")
	assert.Equal(t, was.state, keyRunning)
	k.finish("a", "t2", keyAnswered, &wire.ResponseT{Status: 200})
	was, _ = k.get("a")
	assert.Equal(t, was.state, keyAnswered)
}
