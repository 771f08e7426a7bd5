package scale

// The size to design for, and the budgets there, as operations give them.
const (
	targetNodes      = 13_000
	targetServices   = 2_100
	targetCalls      = 580_000.0 // per second
	targetChanges    = 53_000.0  // per day
	targetRestarts   = 3_500.0   // per day, planned or not
	targetFailures   = 22.0      // per day
	targetMachines   = 23        // set aside for the control plane
	budgetProcessor  = 0.016     // cores of a node, for its control side
	budgetMemory     = 256e6     // bytes, for the same
	budgetBytes      = 4_000.0   // per second, for the same
	budgetInForce    = 5.0       // seconds from an acknowledgement until the change is in force everywhere
	budgetAdded      = 1.3       // milliseconds added to a call, 99th percentile
	secondsPerDay    = 86_400.0
	targetRestartsPS = (targetRestarts + targetFailures) / secondsPerDay
	targetChangesPS  = targetChanges / secondsPerDay
)

// Assumptions about what operations do not give.
const (
	assumedKeyedShare   = 0.2  // of calls, as in today's mix
	assumedRoutes       = 6300 // three a service
	assumedHeartbeat    = 1.5  // seconds
	assumedKeyWindow    = 62.0 // seconds that a key is leased: KeyWindowS and its slack
	assumedMemberCores  = 8.0
	assumedMemberLink   = 125e6 // bytes a second: 1 Gbit/s
	assumedMemberMemory = 16e9  // bytes
	assumedGarbage      = 1.5   // memory of a process for each byte of its heap after a collection
	leasesPerSecond     = targetCalls * assumedKeyedShare
)

// Bounds and times of the code, which are not measured.
const (
	codeMaxLeases      = 200_000 // idempotency.MaxLeases
	codeServingMembers = 3       // members with sidecars if the loss of one machine is to be tolerated
	codeRecordRefresh  = 5.0     // seconds after which a sidecar sends its record again
	codeSidecarBase    = 8e6     // bytes of a sidecar's process beside what grows, where no comparison shows it
)
