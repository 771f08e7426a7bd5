package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// A record is equal to itself after it was encoded and decoded.
func TestRecordRoundTrip(t *testing.T) {
	record := Record{Addr: "c", State: ServerDraining, Leaving: true, Warmup: time.Second, Slots: 3}
	assert.DeepEqual(t, FromWire(ToWire([]Record{record})), []Record{record})
}
