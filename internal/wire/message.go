package wire

import (
	"fmt"
	"time"

	"cranegrade/balancer"
)

// Kind says what a Message is.
type Kind int

// Kinds of messages.
const (
	BatchStart    Kind = iota // a batch begins; Now is set
	InstanceStart             // a new instance; Seed and Settings are set
	Event                     // an event for an instance; Event is set
	InstanceStop              // the instance was killed
	Ignored                   // a known message that the module has no use for
	BatchEnd                  // the batch is complete; a reply is due
)

// String names the kind.
func (k Kind) String() string {
	switch k {
	case BatchStart:
		return "batch start"
	case InstanceStart:
		return "instance start"
	case Event:
		return "event"
	case InstanceStop:
		return "instance stop"
	case Ignored:
		return "ignored"
	case BatchEnd:
		return "batch end"
	}
	return fmt.Sprintf("Kind(%d)", int(k))
}

// Message is one message of a batch, with what it refers to resolved.
type Message struct {
	Kind     Kind
	Instance int           // that it is for, except in BatchStart and BatchEnd
	Now      time.Duration // the simulator's clock
	Seed     uint64        // for the instance's random numbers
	Settings balancer.Settings
	Event    balancer.Event
}

// Names of the messages that are read.
const (
	nameBatchStart    = "sync"
	nameBatchEnd      = "eob"
	nameAddress       = "about"
	nameList          = "list"
	nameListItem      = "item"
	nameInstanceStart = "hello"
	nameInstanceStop  = "crash_now"
	nameServerList    = "announce"
	nameRequest       = "job_in"
	nameTimer         = "ring"
	nameOutcome       = "outcome"
	nameClientGone    = "timed_out_client"
	nameStarted       = "flowing"
	nameProbeResult   = "checked"
	namePeerMessage   = "mail"
)

// Names of the messages that are written.
const (
	nameReplyAddress = "instance"
	nameReplyEnd     = "yield"
	nameSend         = "forward"
	nameCancel       = "retract"
	nameReject       = "turn_away"
	nameFail         = "report_failure"
	nameWake         = "remind"
	nameSubscribe    = "subscribe"
)
