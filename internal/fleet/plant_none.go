//go:build !plant_seen && !plant_stalled && !plant_liar && !plant_gullible

package fleet

// Breaches that drills plant to see that they are found; none here.
const (
	plantSeen     = false // rations are divided by what is seen at once
	plantStalled  = false // a part is taken however old what it stands on
	plantLiar     = false // this member tells the others that all servers but one fail
	plantGullible = false // others' words are believed without bounds
)
