package transport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The protocol version is the one that earlier builds announce.
func TestProtocolVersionOfEarlierBuild(t *testing.T) {
	assert.Equal(t, ProtocolVersion, 2)
}

// The names of message types in traffic counters must not change, since tools of other builds read them.
func TestMessageTypesOfEarlierBuild(t *testing.T) {
	assert.DeepEqual(t, messageTypes[:], []string{
		"none", "hello", "beat", "request", "piece", "answer", "credit", "cancel", "records",
		"items", "members", "core", "ask", "told", "outs", "bound",
	})
}
