package sidecar

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// Records that another sidecar handed over are found by its address and the key until they expire. An existing record is not replaced.
func TestInheritedResponses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var i inheritedResponses
		record := func(body string, ttl time.Duration) []*wire.StoredResponseT {
			return []*wire.StoredResponseT{{Key: "k", Found: true, Status: 200, Body: []byte(body), TtlUs: ttl.Microseconds()}}
		}
		i.add("a", record("first", time.Minute))
		i.add("a", record("second", time.Hour))
		i.add("b", record("of b", time.Hour))
		assert.Equal(t, string(i.get("a", "k").Body), "first")
		assert.Equal(t, string(i.get("b", "k").Body), "of b")
		assert.Assert(t, i.get("c", "k") == nil && i.get("a", "other") == nil)
		time.Sleep(time.Minute)
		assert.Assert(t, i.get("a", "k") == nil, "the record has expired")
		time.Sleep(time.Nanosecond)
		i.add("a", record("third", time.Minute))
		assert.Equal(t, string(i.get("a", "k").Body), "third")
		assert.Equal(t, i.bytes, len("third")+len("of b"))
	})
}

func TestInheritedResponsesAreBounded(t *testing.T) {
	var i inheritedResponses
	body := make([]byte, maxStoredResponseBytes)
	for n := range 2 * maxStoredBytes / maxStoredResponseBytes {
		i.add("a", []*wire.StoredResponseT{{Key: fmt.Sprint(n), Body: body, TtlUs: time.Hour.Microseconds()}})
	}
	assert.Equal(t, i.bytes, maxStoredBytes)
	assert.Assert(t, i.get("a", "0") != nil, "the first records must be kept")
}
