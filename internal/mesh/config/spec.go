package config

import (
	"slices"
	"time"

	"cranegrade/internal/mesh/duration"
)

// The types of this file represent the JSON format of the configuration, which determines their field names and json tags. validate
// tags refer to other fields by their Go names.

// Seconds is a duration in the JSON format.
type Seconds float64

// Duration converts the seconds into a time.Duration; see duration.FromSeconds for the limits.
func (s Seconds) Duration() time.Duration { return duration.FromSeconds(float64(s)) }

// RouteSpec is the content of a route.
type RouteSpec struct {
	Name string `json:"Name" validate:"required,max=512"`
	// RouteType determines how often a request may run: for idempotent and download (which has large responses) any number of
	// times, for non_idempotent at most once, and for keyed at most once per idempotency key.
	RouteType string `json:"RouteType" validate:"oneof=idempotent non_idempotent keyed download"`
	// TargetLatencyS is the latency target (SLO), in seconds from the client's first attempt.
	TargetLatencyS Seconds `json:"TargetLatencyS" validate:"gte=0"`
	Priority       int     `json:"Priority" validate:"gte=0,lte=1000"` // order in which requests are served under overload; 0 is the highest
	ConfigVersion  int64   `json:"ConfigVersion"`
	MatchCriteria  struct {
		// PathPrefix begins and ends with a slash, so that it matches whole path segments. The longest matching prefix wins.
		PathPrefix string `json:"PathPrefix" validate:"startswith=/,endswith=/,max=4096"`
	} `json:"MatchCriteria"`
	ForwardAction struct {
		Service      string            `json:"Service" validate:"required_without=TrafficSplit"` // used if there is no TrafficSplit
		TrafficSplit []WeightedService `json:"TrafficSplit" validate:"max=256,dive"`
		// TimeoutS is the time limit of a request including its retries, in seconds.
		TimeoutS Seconds `json:"TimeoutS" validate:"gt=0,lte=86400"`
		// RetryCount is the maximum number of servers that one attempt of a client may be sent to, including the first one.
		RetryCount int `json:"RetryCount" validate:"gt=0,lte=1000"`
	} `json:"ForwardAction"`
}

// WeightedService is a service that receives a share of a route's requests in proportion to its weight.
type WeightedService struct {
	Service string  `json:"Service" validate:"required"`
	Weight  float64 `json:"Weight" validate:"gte=0"`
}

// Destinations returns the services that requests of the route are sent to, each of them once, with their weights. A
// TrafficSplit may name a service in several parts, whose weights are added up.
func (r *RouteSpec) Destinations() []WeightedService {
	if len(r.ForwardAction.TrafficSplit) == 0 {
		return []WeightedService{{r.ForwardAction.Service, 1}}
	}
	destinations := make([]WeightedService, 0, len(r.ForwardAction.TrafficSplit))
	for _, part := range r.ForwardAction.TrafficSplit {
		i := slices.IndexFunc(destinations, func(d WeightedService) bool { return d.Service == part.Service })
		if i < 0 {
			destinations = append(destinations, part)
			continue
		}
		destinations[i].Weight += part.Weight
	}
	return destinations
}

// IsAtMostOnce reports whether each attempt of a request may run at most once.
func (r *RouteSpec) IsAtMostOnce() bool {
	return r.RouteType == RouteTypeKeyed || r.RouteType == RouteTypeNonIdempotent
}

// Values of RouteSpec.RouteType.
const (
	RouteTypeNonIdempotent = "non_idempotent" // each attempt runs at most once
	RouteTypeKeyed         = "keyed"          // of all requests with the same idempotency key at most one runs
	RouteTypeIdempotent    = "idempotent"     // requests may run any number of times
	RouteTypeDownload      = "download"       // like RouteTypeIdempotent, with large responses
)

// maxTargetExcessS is the exclusive limit, in seconds, by which a route's latency target may exceed its timeout.
const maxTargetExcessS = 60

// validate checks each field, and then the fields against each other.
func (r *RouteSpec) validate() *FieldError {
	label := Key{KindRoute, r.Name}.label()
	if err := checkTags(label, r); err != nil {
		return err
	}
	totalWeight := 0.0
	for _, destination := range r.Destinations() {
		totalWeight += destination.Weight
	}
	switch {
	case !(totalWeight > 0): // also rejects NaN
		return newFieldError(label, "ForwardAction.TrafficSplit", "the weights sum to %v", totalWeight)
	case r.TargetLatencyS >= r.ForwardAction.TimeoutS+maxTargetExcessS:
		return newFieldError(label, "TargetLatencyS", "%v exceeds TimeoutS %v by a minute or more", r.TargetLatencyS, r.ForwardAction.TimeoutS)
	}
	return nil
}

// ServiceSpec is the content of a service.
type ServiceSpec struct {
	Name           string `json:"Name" validate:"required,max=512"`
	HealthPath     string `json:"HealthPath"`                      // path of health checks; if empty, there are none
	MaxConnections int    `json:"MaxConnections" validate:"gte=0"` // that a server accepts from all callers in total; not used
	Protocol       string `json:"Protocol"`                        // "h1"; not used
	TLSEnabled     bool   `json:"TlsEnabled"`                      // not used
	DedupEnabled   bool   `json:"DedupEnabled"`                    // whether its servers drop duplicates of an idempotency key; not used
	ConfigVersion  int64  `json:"ConfigVersion"`
}

// LimitsSpec is the content of the limits item. For a limit of zero the value of the settings file applies.
type LimitsSpec struct {
	MaxHeaderBytes int     `json:"MaxHeaderBytes" validate:"gte=0"` // of a request's header section
	MaxBodyBytes   int64   `json:"MaxBodyBytes" validate:"gte=0"`   // of a request's body
	HeaderTimeoutS Seconds `json:"HeaderTimeoutS" validate:"gte=0"` // maximum time to receive a header section
	IdleTimeoutS   Seconds `json:"IdleTimeoutS" validate:"gte=0"`   // maximum time that a connection stays open without a request
	ConfigVersion  int64   `json:"ConfigVersion"`
}
