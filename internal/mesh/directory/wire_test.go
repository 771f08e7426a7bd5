package directory

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestRecordSurvivesTheWire(t *testing.T) {
	record := Record{Addr: "c", State: ServerDraining, Leaving: true, Warmup: time.Second, Slots: 3}
	assert.DeepEqual(t, FromWire(ToWire([]Record{record})), []Record{record})
}
