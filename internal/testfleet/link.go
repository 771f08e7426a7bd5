package testfleet

import "time"

// Link is what is wrong with the network from one process, or machine, to another, in that direction. The zero Link is sound.
type Link struct {
	Cut       bool          `json:"cut,omitempty"`       // nothing passes, and neither side is told
	Refuse    bool          `json:"refuse,omitempty"`    // connections are reset, new ones at once
	Loss      float64       `json:"loss,omitempty"`      // share of datagrams that are lost
	Duplicate float64       `json:"duplicate,omitempty"` // share of datagrams that arrive twice
	Delay     time.Duration `json:"delay,omitempty"`
	Jitter    time.Duration `json:"jitter,omitempty"` // random further delay up to this, by which datagrams overtake each other
	Rate      int           `json:"rate,omitempty"`   // bytes a second; 0: no limit
}

// bandwidth computes how long data waits for a rate-limited link. The zero value is a link that has sent nothing. Its owner guards it.
type bandwidth struct {
	idleAt time.Time // when the link has sent what it was given
}

// reserve returns how long data of a size takes from now until it is sent, after all that was reserved before.
func (b *bandwidth) reserve(size, bytesPerSecond int) time.Duration {
	now := time.Now()
	if b.idleAt.Before(now) {
		b.idleAt = now
	}
	b.idleAt = b.idleAt.Add(time.Duration(size) * time.Second / time.Duration(bytesPerSecond))
	return b.idleAt.Sub(now)
}
