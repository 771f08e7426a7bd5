package sidecar

import (
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/pool"
)

const (
	defaultMaxFiles    = 4096
	reservedFiles      = 256 // for files, connections to other sidecars and local calls
	minFiles           = 128
	defaultMemoryBytes = 256 << 20
	bytesPerMegabyte   = 1 << 20
	maxCalls           = 4096
	maxHeldCalls       = 1024
)

// resourceBudgets bounds the resources of the process: calls, bytes and file descriptors.
type resourceBudgets struct {
	calls       *pool.Share // requests of callers
	held        *pool.Share // of these, those that wait for a server
	bodies      *pool.Share // bytes of requests' bodies
	longAnswers *pool.Share // bytes of streamed responses
	callers     *pool.Share // callers' connections
	servers     *pool.Share // connections to servers
	toServer    *pool.Share // bytes of streamed responses of the local server
}

func newResourceBudgets(set settings.Settings) *resourceBudgets {
	share := func(total int64) *pool.Share {
		b := pool.NewBudget(total)
		s := b.NewShare()
		_ = b.Configure(total, map[*pool.Share]pool.Quota{s: {}}) // one share without a quota always fits
		return s
	}
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
		calls:       share(maxCalls),
		held:        share(maxHeldCalls),
		bodies:      share(memory / 4),
		longAnswers: share(memory / 8),
		callers:     share(files * 3 / 4),
		servers:     share(files / 4),
		toServer:    share(memory / 8),
	}
}
