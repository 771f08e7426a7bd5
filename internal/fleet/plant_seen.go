//go:build plant_seen

package fleet

const (
	plantSeen     = true
	plantStalled  = false
	plantLiar     = false
	plantGullible = false
)
