package sidecar

import (
	"fmt"
	"time"

	"cranegrade/internal/mesh/transport/wire"
)

// keyState is the state of a key's request at this sidecar.
type keyState uint8

const (
	keyClaiming       keyState = iota // its lease was requested; the request has not run yet
	keyRunning                        // its lease was granted; the request may be running
	keyAnswered                       // the request ran; its response is stored unless it was too large or evicted
	keyOutcomeUnknown                 // the request may have run, and its response is lost
	keyNotExecuted                    // the request never ran, and will never run with that token
)

// String implements fmt.Stringer.
func (s keyState) String() string {
	switch s {
	case keyClaiming:
		return "claiming"
	case keyRunning:
		return "running"
	case keyAnswered:
		return "answered"
	case keyOutcomeUnknown:
		return "outcome_unknown"
	case keyNotExecuted:
		return "not_executed"
	}
	return fmt.Sprintf("keyState(%d)", uint8(s))
}

// keyRecord is the record of a key that was claimed at this sidecar.
type keyRecord struct {
	token     string
	attempt   uint32 // number of the attempt of the call that token identifies, from 0
	state     keyState
	response  *wire.ResponseT // set only in state keyAnswered; nil there if it was evicted or too large
	claimedAt time.Time       // when the lease was requested, which is before it was granted
}

// wireRecord converts a record to the wire format. A found record with status 0, and neither Running nor
// OutcomeUnknown, means that the request never ran.
func wireRecord(r *keyRecord) *wire.StoredResponseT {
	switch {
	case r.state == keyNotExecuted:
		return &wire.StoredResponseT{Found: true}
	case r.state == keyOutcomeUnknown, r.state == keyAnswered && r.response == nil:
		return &wire.StoredResponseT{Found: true, OutcomeUnknown: true}
	case r.state == keyAnswered:
		return &wire.StoredResponseT{
			Found:        true,
			Status:       r.response.Status,
			HeaderFields: r.response.HeaderFields,
			Body:         r.response.Body,
		}
	}
	return &wire.StoredResponseT{Found: true, Running: true}
}
