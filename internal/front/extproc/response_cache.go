package extproc

import (
	"sync"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"

	"cranegrade/internal/extproc/stream"
)

// maxCachedResponses bounds the cache; when it is full all of it is dropped and built anew.
const maxCachedResponses = 20_000

// responseCache keeps the messages of decisions by endpoint. Decisions without fallbacks and time left differ in their
// endpoint alone, and endpoints are few. The zero value is empty; it may be used from any goroutine.
type responseCache struct {
	mu         sync.RWMutex // guards byEndpoint
	byEndpoint map[string]*extproc.ProcessingResponse
}

// response returns the message of a decision. It is shared and must not be changed.
func (c *responseCache) response(d stream.Decision) *extproc.ProcessingResponse {
	c.mu.RLock()
	response := c.byEndpoint[d.Endpoint]
	c.mu.RUnlock()
	if response != nil {
		return response
	}
	response = d.Response()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.byEndpoint == nil || len(c.byEndpoint) >= maxCachedResponses {
		c.byEndpoint = map[string]*extproc.ProcessingResponse{}
	}
	c.byEndpoint[d.Endpoint] = response
	return response
}
