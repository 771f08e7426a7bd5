package sidecar

import (
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// Each ending of a request is counted as one outcome, and a reset keeps the open requests.
func TestRequestMetricsByOutcome(t *testing.T) {
	type counts struct{ answered, rejected, broken uint64 }
	for _, c := range []struct {
		name      string
		response  *wire.ResponseT
		truncated bool
		want      counts
	}{
		{"answered", &wire.ResponseT{Ending: codeAnswered}, false, counts{answered: 1}},
		{"server failed", &wire.ResponseT{Ending: codeServerFailed}, false, counts{answered: 1}},
		{"streamed", nil, false, counts{answered: 1}},
		{"streamed and truncated", nil, true, counts{broken: 1}},
		{"broken", &wire.ResponseT{Ending: codeBroken}, false, counts{broken: 1}},
		{"timed out", &wire.ResponseT{Ending: codeTimedOut}, false, counts{broken: 1}},
		{"overloaded", &wire.ResponseT{Ending: codeOverloaded}, false, counts{rejected: 1}},
		{"not accepted", &wire.ResponseT{Ending: codeNotAccepted}, false, counts{rejected: 1}},
		{"key not granted", &wire.ResponseT{Ending: codeKeyNotGranted}, false, counts{rejected: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			var m requestMetrics
			m.begin(kindKeyed)
			m.begin(kindKeyed)
			m.end(kindKeyed, c.response, c.truncated)
			keyed := m.snapshot()[kindKeyed]
			assert.Equal(t, keyed.Kind, "keyed")
			assert.Equal(t, int(keyed.Open), 1)
			assert.Equal(t, counts{uint64(keyed.Answered), uint64(keyed.Rejected), uint64(keyed.Broken)}, c.want)
			m.reset()
			assert.DeepEqual(t, m.snapshot()[kindKeyed], &wire.WorkCounterT{Kind: "keyed", Open: 1})
		})
	}
}
