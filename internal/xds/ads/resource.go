package ads

import (
	"crypto/sha256"
	"fmt"
	"strings"
	"time"

	"google.golang.org/protobuf/types/known/anypb"
)

// Type describes a resource type to the machine.
type Type struct {
	URL string
	// AllResourcesRequiredInSotW says that a SotW response of this type names every resource that exists,
	// so that a resource it does not name has been removed (clusters). For the other types a resource that
	// is not named is merely unchanged (endpoints).
	AllResourcesRequiredInSotW bool
	// Decode parses and validates a resource. It returns the name whenever the name can be read, also
	// beside an error, so that the NACK can say which resource is bad. prev is the value currently stored
	// under the name, or nil; it may make decoding cheaper and must not change the result.
	Decode func(resource *anypb.Any, prev any) (name string, value any, err error)
	// ResourceName reads only the name, to look up prev. It is nil if Decode does not use prev.
	ResourceName func(resource *anypb.Any) string
}

// Status is what is known about the existence of a resource.
type Status int

// Statuses of a resource.
const (
	Requested    Status = iota // subscribed to, nothing received yet
	Received                   // a version was accepted and is in use
	DoesNotExist               // it did not come in time, or it was removed
)

// String returns the status as the dump shows it.
func (s Status) String() string {
	switch s {
	case Requested:
		return "requested"
	case Received:
		return "received"
	case DoesNotExist:
		return "missing"
	}
	return fmt.Sprintf("Status(%d)", int(s))
}

// Resource is the stored state of one resource. Times are those of the caller's clock.
type Resource struct {
	Name            string
	Version         string
	Value           any // from the type's Decode; nil unless Received
	Status          Status
	ChangedAt       time.Duration // when Value or Status last changed
	RejectionReason string        // why its latest update was rejected; "" if it was accepted
	RejectedAt      time.Duration // of RejectionReason

	digest            [sha256.Size]byte // of the serialized value, to recognize an unchanged resource
	expiresAt         time.Duration     // end of its time to live; 0 means it has none
	existenceDeadline time.Duration     // while Requested: when it is taken not to exist; 0 means no stream is open
	confirmed         bool              // named by the current control plane since the machine moved to it
}

// setTTL replaces the time to live; a resource without one lives until it is removed.
func (r *Resource) setTTL(now time.Duration, ttl timeToLive) {
	r.expiresAt = 0
	if ttl.present && ttl.duration > 0 {
		r.expiresAt = now + ttl.duration
	}
}

// timeToLive is the optional ttl field of a resource.
type timeToLive struct {
	present  bool
	duration time.Duration
}

// shortTypeName is the last part of a type URL.
func shortTypeName(url string) string { return url[strings.LastIndexByte(url, '.')+1:] }
