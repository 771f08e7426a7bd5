//go:build plant_liar && !plant_seen && !plant_stalled

package fleet

const (
	plantSeen     = false
	plantStalled  = false
	plantLiar     = true
	plantGullible = false
)
