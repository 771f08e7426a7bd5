//go:build plant_gullible && !plant_seen && !plant_stalled && !plant_liar

package fleet

const (
	plantSeen     = false
	plantStalled  = false
	plantLiar     = false
	plantGullible = true
)
