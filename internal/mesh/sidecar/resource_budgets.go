package sidecar

import (
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/pool"
)

const (
	// defaultMaxFiles and defaultMemoryBytes are the limits of the process unless the settings name others.
	defaultMaxFiles    = 4096
	defaultMemoryBytes = 256 << 20
	bytesPerMegabyte   = 1 << 20
	// reservedFiles is the number of file descriptors kept for files, connections to other sidecars and local calls, and
	// minFiles the number that are shared out whatever the limit is.
	reservedFiles = 256
	minFiles      = 128
	// Three of four file descriptors are for connections of callers, and the fourth is for those to servers.
	callerFilesNumerator = 3
	filesDenominator     = 4
	// Parts of the memory limit: for bodies of requests, for streamed responses to callers, and for those of the local
	// server. The other half is for all else.
	bodyMemoryDivisor     = 4
	responseMemoryDivisor = 8
	// maxCalls bounds the requests of callers at a time, and maxHeldCalls those of them that wait for a server.
	maxCalls     = 4096
	maxHeldCalls = 1024
)

// resourceBudgets bounds the resources of the process: calls, bytes and file descriptors. Each of them is shared by the
// pools of all services.
type resourceBudgets struct {
	calls       *pool.Share // requests of callers
	held        *pool.Share // of these, those that wait for a server
	bodies      *pool.Share // bytes of requests' bodies
	longAnswers *pool.Share // bytes of streamed responses
	callers     *pool.Share // callers' connections
	servers     *pool.Share // connections to servers
	toServer    *pool.Share // bytes of streamed responses of the local server
}

// newResourceBudgets divides the limits of the settings.
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
		calls:       newBudget(maxCalls),
		held:        newBudget(maxHeldCalls),
		bodies:      newBudget(memory / bodyMemoryDivisor),
		longAnswers: newBudget(memory / responseMemoryDivisor),
		callers:     newBudget(files * callerFilesNumerator / filesDenominator),
		servers:     newBudget(files / filesDenominator),
		toServer:    newBudget(memory / responseMemoryDivisor),
	}
}

// newBudget returns the one share of a budget.
func newBudget(total int64) *pool.Share {
	budget := pool.NewBudget(total)
	share := budget.NewShare()
	_ = budget.Configure(total, map[*pool.Share]pool.Quota{share: {}}) // one share without a quota always fits
	return share
}

// poolShares returns the budgets as a pool takes them.
func (b *resourceBudgets) poolShares() pool.Shares {
	return pool.Shares{
		Calls:           b.calls,
		PendingCalls:    b.held,
		Connections:     b.servers,
		RequestBodies:   b.bodies,
		ResponseBuffers: b.longAnswers,
	}
}
