package demo

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/testcluster"
)

func TestTrafficOutcomes(t *testing.T) {
	for _, x := range []struct {
		name     string
		status   int
		complete bool
		faulty   bool
		prints   string
	}{
		{"served", 200, true, false, "map[200:"},
		{"rejected", 503, true, false, "map[503:"},
		{"in flight", 409, true, false, "map[409:"},
		{"cut short", 200, false, true, "answers were not complete"},
		{"no answer", 0, true, true, "map[0:"},
		{"may have run", 502, true, true, "map[502:"},
	} {
		t.Run(x.name, func(t *testing.T) {
			c := newTraffic()
			made := make(chan struct{}, 1)
			c.startCalls("kind", time.Millisecond, func(int) (testcluster.Response, bool) {
				select {
				case made <- struct{}{}:
				default:
				}
				return testcluster.Response{Status: x.status}, x.complete
			})
			<-made
			c.stopCalls()
			var out bytes.Buffer
			assert.Equal(t, c.printOutcomes(&out, "then"), x.faulty)
			assert.Assert(t, strings.Contains(out.String(), x.prints), out.String())
		})
	}
}

func TestP99(t *testing.T) {
	var list []time.Duration
	assert.Equal(t, p99(list), time.Duration(0))
	for n := range 200 {
		list = append(list, time.Duration(200-n)*time.Millisecond)
	}
	assert.Equal(t, p99(list), 199*time.Millisecond)
}
