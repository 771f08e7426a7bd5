package sidecar

import "time"

const (
	// maxShutdownReserve bounds the part of the grace period that is reserved for closing connections and listeners
	// after requests have been finished. In a short grace period it is the part that shutdownReserveDivisor gives.
	maxShutdownReserve     = 700 * time.Millisecond
	shutdownReserveDivisor = 8
	// maxBlockedRequestReserve bounds the time before the end of requests in which the responses to pipelined requests
	// are written that were blocked by an abandoned one.
	maxBlockedRequestReserve = 300 * time.Millisecond
	// In the last sixth of a grace period a request may be given up although its server is working. Before it none may.
	givingUpDivisor = 6
)

// shutdownLimits are the times since the beginning of a shutdown at which requests are given up.
type shutdownLimits struct {
	// blockedRequests is when requests are abandoned that wait for a server, or that block the responses to later ones
	// on their connection.
	blockedRequests time.Duration
	// requests is when all other requests end with their connections.
	requests time.Duration
}

// newShutdownLimits returns the limits of a grace period.
func newShutdownLimits(grace time.Duration) shutdownLimits {
	requests := grace - min(maxShutdownReserve, grace/shutdownReserveDivisor)
	return shutdownLimits{
		blockedRequests: max(grace-grace/givingUpDivisor, requests-maxBlockedRequestReserve),
		requests:        requests,
	}
}
