package config

import "time"

// The types of this file read the JSON of the configuration pages. Their field names and tags are the pages' own; validate tags
// name other fields by their Go names.

// Seconds is a duration as the pages write it.
type Seconds float64

// Duration converts it.
func (s Seconds) Duration() time.Duration { return time.Duration(float64(s) * float64(time.Second)) }

// RouteSpec is the content of a route.
type RouteSpec struct {
	Name string `json:"Name" validate:"required,max=512"`
	// RouteType says how often a request may run: idempotent and download, whose responses are long, any number of times;
	// non_idempotent at most once; keyed at most once for each idempotency key.
	RouteType string `json:"RouteType" validate:"oneof=idempotent non_idempotent keyed download"`
	// TargetLatencyS is the latency target (SLO), in seconds from the client's first attempt.
	TargetLatencyS Seconds `json:"TargetLatencyS" validate:"gte=0"`
	Priority       int     `json:"Priority" validate:"gte=0,lte=1000"` // which requests go first under overload; 0 is the highest
	ConfigVersion  int64   `json:"ConfigVersion"`
	MatchCriteria  struct {
		// PathPrefix is matched in whole segments: it begins and ends with a slash. The longest prefix wins.
		PathPrefix string `json:"PathPrefix" validate:"startswith=/,endswith=/,max=4096"`
	} `json:"MatchCriteria"`
	ForwardAction struct {
		Service      string            `json:"Service" validate:"required_without=TrafficSplit"` // unless there is a TrafficSplit
		TrafficSplit []WeightedService `json:"TrafficSplit" validate:"max=256,dive"`
		// TimeoutS is the longest that a request may take, in seconds, with its retries.
		TimeoutS Seconds `json:"TimeoutS" validate:"gt=0,lte=86400"`
		// RetryCount is how many servers one attempt of a client may be sent to, the first one included.
		RetryCount int `json:"RetryCount" validate:"gt=0,lte=1000"`
	} `json:"ForwardAction"`
}

// WeightedService is a service that gets a part of a route's requests, in proportion to its weight.
type WeightedService struct {
	Service string  `json:"Service" validate:"required"`
	Weight  float64 `json:"Weight" validate:"gte=0"`
}

// Destinations returns the services that the route sends to, each with its weight.
func (r *RouteSpec) Destinations() []WeightedService {
	if len(r.ForwardAction.TrafficSplit) > 0 {
		return r.ForwardAction.TrafficSplit
	}
	return []WeightedService{{r.ForwardAction.Service, 1}}
}

// IsAtMostOnce reports whether an attempt of a request may run once at most.
func (r *RouteSpec) IsAtMostOnce() bool {
	return r.RouteType == RouteTypeKeyed || r.RouteType == RouteTypeNonIdempotent
}

// Values of RouteSpec.RouteType.
const (
	RouteTypeNonIdempotent = "non_idempotent" // each attempt may run once at most
	RouteTypeKeyed         = "keyed"          // requests of one idempotency key run once at most
	RouteTypeIdempotent    = "idempotent"     // requests may run any number of times
	RouteTypeDownload      = "download"       // the same, with large responses
)

// maxTargetExcessS is by how many seconds, exclusively, a route's latency target may exceed its time-out.
const maxTargetExcessS = 60

// validate checks the fields one by one, and then against each other.
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
	case !(totalWeight > 0): // also if it is no number
		return newFieldError(label, "ForwardAction.TrafficSplit", "the weights sum to %v", totalWeight)
	case r.TargetLatencyS >= r.ForwardAction.TimeoutS+maxTargetExcessS:
		return newFieldError(label, "TargetLatencyS", "%v exceeds TimeoutS %v by a minute or more", r.TargetLatencyS, r.ForwardAction.TimeoutS)
	}
	return nil
}

// ServiceSpec is the content of a service.
type ServiceSpec struct {
	Name           string `json:"Name" validate:"required,max=512"`
	HealthPath     string `json:"HealthPath"`                      // of health checks; without it none are made
	MaxConnections int    `json:"MaxConnections" validate:"gte=0"` // that a server accepts from all callers together; not used
	Protocol       string `json:"Protocol"`                        // "h1"; not used
	TLSEnabled     bool   `json:"TlsEnabled"`                      // not used
	DedupEnabled   bool   `json:"DedupEnabled"`                    // its servers drop repeats of an idempotency key themselves; not used
	ConfigVersion  int64  `json:"ConfigVersion"`
}

// LimitsSpec is the content of the one item of limits. A zero leaves that limit to the settings.
type LimitsSpec struct {
	MaxHeaderBytes int     `json:"MaxHeaderBytes" validate:"gte=0"` // of a request's header section
	MaxBodyBytes   int64   `json:"MaxBodyBytes" validate:"gte=0"`   // of a request's body
	HeaderTimeoutS Seconds `json:"HeaderTimeoutS" validate:"gte=0"` // for a header section to arrive
	IdleTimeoutS   Seconds `json:"IdleTimeoutS" validate:"gte=0"`   // of a connection without a request
	ConfigVersion  int64   `json:"ConfigVersion"`
}
