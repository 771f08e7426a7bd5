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
	earlier, ok := k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, !ok && earlier.state == keyClaiming && earlier.token == "t1")
	k.setState("a", keyRunning, nil)
	k.markNotExecuted("a")
	_, ok = k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, ok)
	k.setState("a", keyAnswered, &wire.ResponseT{Status: 201, Body: []byte("text")})
	earlier, ok = k.begin("a", "t3", 0, time.Minute)
	assert.Assert(t, !ok && earlier.state == keyAnswered && earlier.response.Status == 201)
	// The store is bounded: it evicts the oldest responses, but keeps the records that their requests ran.
	body := make([]byte, maxStoredResponseBytes)
	for n := range 2 * maxStoredBytes / maxStoredResponseBytes {
		key := fmt.Sprint(n)
		k.begin(key, "t", 0, time.Minute)
		k.setState(key, keyAnswered, &wire.ResponseT{Body: body})
	}
	assert.Assert(t, k.storedBytes <= maxStoredBytes)
	earlier, ok = k.begin("a", "t4", 0, time.Minute)
	assert.Assert(t, !ok && earlier.state == keyAnswered && earlier.response == nil)
	// Records are removed after the key window.
	for _, x := range k.records {
		x.claimedAt = x.claimedAt.Add(-2 * time.Minute)
	}
	_, ok = k.begin("b", "t", 0, time.Minute)
	assert.Assert(t, ok && len(k.records) == 1 && k.storedBytes == 0)
}

// A request that ends after another request has claimed its key does not change the record of the other.
func TestRequestOutlastsItsLease(t *testing.T) {
	k := newResponseStore()
	k.begin("a", "t1", 0, time.Minute)
	k.setState("a", keyRunning, nil)
	k.records["a"].claimedAt = k.records["a"].claimedAt.Add(-2 * time.Minute)
	_, ok := k.begin("a", "t2", 0, time.Minute)
	assert.Assert(t, ok)
	k.setState("a", keyRunning, nil)
	k.finish("a", "t1", keyOutcomeUnknown, nil)
	earlier, _ := k.get("a")
	assert.Equal(t, earlier.state, keyRunning)
	k.finish("a", "t2", keyAnswered, &wire.ResponseT{Status: 200})
	earlier, _ = k.get("a")
	assert.Equal(t, earlier.state, keyAnswered)
}
