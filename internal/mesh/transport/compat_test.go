package transport

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The version that a connection speaks is that of earlier builds.
func TestProtocolVersionOfEarlierBuild(t *testing.T) {
	assert.Equal(t, ProtocolVersion, 2)
}

// The names by which frames are counted are read by other builds' tools.
func TestMessageTypesOfEarlierBuild(t *testing.T) {
	assert.DeepEqual(t, messageTypes[:], []string{
		"none", "hello", "beat", "request", "piece", "answer", "credit", "cancel", "records",
		"items", "members", "core", "ask", "told", "outs", "bound",
	})
}
