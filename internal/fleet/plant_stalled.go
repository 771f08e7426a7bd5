//go:build plant_stalled && !plant_seen

package fleet

const (
	plantSeen     = false
	plantStalled  = true
	plantLiar     = false
	plantGullible = false
)
