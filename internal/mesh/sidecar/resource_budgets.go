package sidecar

import (
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/pool"
)

const (
	// defaultMaxFiles and defaultMemoryBytes are the limits of the process if the settings do not set them.
	defaultMaxFiles    = 4096
	defaultMemoryBytes = 256 << 20
	bytesPerMegabyte   = 1 << 20
	// reservedFiles is the number of file descriptors reserved for files, connections to other sidecars and local
	// calls. minFiles is the number that is available for the connections below even if the limit is lower.
	reservedFiles = 256
	minFiles      = 128
	// Three quarters of the file descriptors are for connections of callers, the rest for connections to servers.
	callerFilesNumerator = 3
	filesDenominator     = 4
	// A quarter of the memory limit is for request bodies, an eighth for streamed responses to callers, and an eighth
	// for streamed responses of the local server. The other half is for everything else.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 8
	// maxCalls bounds the concurrent requests of callers, and maxWaitingCalls those of them that wait for a server.
	maxCalls        = 4096
	maxWaitingCalls = 1024
)

// resourceBudgets bounds the calls, memory and file descriptors of the process. The pools of all services share each
// budget.
type resourceBudgets struct {
	calls                 *pool.Share // requests of callers
	waitingCalls          *pool.Share // requests of callers that wait for a server
	requestBodies         *pool.Share // bytes of request bodies
	responseBuffers       *pool.Share // bytes of streamed responses to callers
	callerConns           *pool.Share // connections of callers
	serverConns           *pool.Share // connections to servers
	serverResponseBuffers *pool.Share // bytes of streamed responses of the local server
}

// newResourceBudgets returns budgets that divide the limits of the settings.
func newResourceBudgets(set settings.Settings) *resourceBudgets {
	files := int64(set.Limits.MaxFds)
	if files == 0 {
		files = defaultMaxFiles
	}
	files = max(minFiles, files-reservedFiles)
	memory := int64(set.Limits.MemoryMB) * bytesPerMegabyte
	if memory == 0 {
		memory = defaultMemoryBytes
	}
	return &resourceBudgets{
		calls:                 newBudget(maxCalls),
		waitingCalls:          newBudget(maxWaitingCalls),
		requestBodies:         newBudget(memory / bodyMemoryDivisor),
		responseBuffers:       newBudget(memory / responseMemoryDivisor),
		callerConns:           newBudget(files * callerFilesNumerator / filesDenominator),
		serverConns:           newBudget(files / filesDenominator),
		serverResponseBuffers: newBudget(memory / responseMemoryDivisor),
	}
}

// newBudget returns a new budget as a single share of it.
func newBudget(total int64) *pool.Share {
	budget := pool.NewBudget(total)
	share := budget.NewShare()
	_ = budget.Configure(total, map[*pool.Share]pool.Quota{share: {}}) // one share without a quota always fits
	return share
}

// poolShares returns the budgets in the form that pools use.
func (b *resourceBudgets) poolShares() pool.Shares {
	return pool.Shares{
		Calls:           b.calls,
		PendingCalls:    b.waitingCalls,
		Connections:     b.serverConns,
		RequestBodies:   b.requestBodies,
		ResponseBuffers: b.responseBuffers,
	}
}
