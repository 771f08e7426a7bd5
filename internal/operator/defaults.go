package operator

import "time"

// Defaults of the process and its listeners.
const (
	defaultDescriptors = 1024
	defaultH2Streams   = 250
	defaultH2Window    = 1 << 20 // bytes
)

// Defaults of a pool.
const (
	defaultIdle                 = 15 * time.Second
	defaultConnect              = 250 * time.Millisecond
	defaultConnectionsPerServer = 4
	defaultStreamsPerConnection = 100
	defaultAttempts             = 3
	defaultRetryAfter           = 2 * time.Second
	defaultColdFrom             = 0.33 // share of the full capacity
	defaultWarmAfter            = 10 * time.Second
	defaultFallMultiple         = 4
	defaultFallFor              = 1500 * time.Millisecond
	defaultWhole                = 0.55 // weights of the balancer's score, as are the next three
	defaultWorstClass           = 0.3
	defaultWorstTenant          = 0.1
	defaultOverQuota            = 0.2
	// balancerTick is the resolution of the balancer's timers.
	balancerTick = time.Millisecond
)

// Defaults of [ext_proc].
const (
	defaultDecisionTimeout    = 150 * time.Millisecond
	defaultLinger             = 500 * time.Millisecond
	defaultExtProcStreams     = 10_000
	defaultRememberedRequests = 100_000
	defaultIDHeader           = "x-request-id"
	defaultRetryHeader        = "x-cranegrade-retry"
)

// Defaults of [xds].
const (
	defaultResourceTimeout = 15 * time.Second // as the xDS specification says
	defaultEmptyGrace      = 30 * time.Second
	defaultMaxResponse     = 16 << 20 // bytes
)

// Defaults of [fleet].
const (
	defaultLease  = 5 * time.Second
	defaultSettle = time.Second
	defaultProbe  = 300 * time.Millisecond
)
