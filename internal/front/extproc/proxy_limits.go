package extproc

import (
	"context"
	"net"
	"net/netip"
	"time"

	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/peer"
)

// ProxyID is the key of the gRPC metadata by which a proxy identifies itself (initial_metadata of its grpc_service).
const ProxyID = "x-proxy-id"

// maxProxyIDBytes is how much of a proxy's id is significant.
const maxProxyIDBytes = 128

// proxyIdentity tells proxies apart: by the id that they send, else by their address without the port, since a proxy
// has a connection for each of its worker threads.
type proxyIdentity struct {
	id   string
	addr netip.Addr
}

// identityOf reads the identity of the proxy behind a stream. It formats no text, because that would grow the stack of
// each stream by half.
func identityOf(ctx context.Context) proxyIdentity {
	if ids := metadata.ValueFromIncomingContext(ctx, ProxyID); len(ids) == 1 && ids[0] != "" {
		return proxyIdentity{id: ids[0][:min(len(ids[0]), maxProxyIDBytes)]}
	}
	if p, ok := peer.FromContext(ctx); ok {
		if addr, ok := p.Addr.(*net.TCPAddr); ok {
			return proxyIdentity{addr: addr.AddrPort().Addr()}
		}
	}
	return proxyIdentity{}
}

// maxProxies bounds the identities that are told apart. All beyond it share one usage, so that invented identities cost
// no memory and together get no more than one proxy does.
const maxProxies = 4096

// sweepInterval is the least time between two searches for proxies that can be forgotten.
const sweepInterval = time.Second

// proxyLimits limits the streams and the request rate of each proxy, over all its connections. Its owner locks it.
type proxyLimits struct {
	rate    float64 // requests per second; 0 means no limit
	streams int     // open at once; 0 means no limit
	proxies map[proxyIdentity]*proxyUsage
	sweptAt time.Duration
}

// proxyUsage is what one proxy uses: a token bucket and its open streams.
type proxyUsage struct {
	tokens      float64
	refilledAt  time.Duration
	openStreams int
}

// usage finds a proxy's usage, or begins it.
func (l *proxyLimits) usage(now time.Duration, id proxyIdentity) *proxyUsage {
	if l.proxies == nil {
		l.proxies = map[proxyIdentity]*proxyUsage{}
	}
	if u := l.proxies[id]; u != nil {
		return u
	}
	if len(l.proxies) >= maxProxies && now-l.sweptAt >= sweepInterval {
		l.sweep(now)
	}
	if len(l.proxies) >= maxProxies {
		id = proxyIdentity{}
		if u := l.proxies[id]; u != nil {
			return u
		}
	}
	u := &proxyUsage{tokens: l.rate, refilledAt: now}
	l.proxies[id] = u
	return u
}

// sweep forgets proxies without streams whose bucket is full again after a second, so that nothing is lost with them.
func (l *proxyLimits) sweep(now time.Duration) {
	l.sweptAt = now
	for id, u := range l.proxies {
		if u.openStreams == 0 && now-u.refilledAt > sweepInterval {
			delete(l.proxies, id)
		}
	}
}

// openStream counts a new stream of a proxy, and says whether it is within the limit. It must be closed by closeStream
// in either case, since one beyond the limit exists until it has been answered.
func (l *proxyLimits) openStream(now time.Duration, id proxyIdentity) (u *proxyUsage, ok bool) {
	u = l.usage(now, id)
	u.openStreams++
	return u, l.streams == 0 || u.openStreams <= l.streams
}

// closeStream counts the end of a stream.
func (l *proxyLimits) closeStream(u *proxyUsage) { u.openStreams-- }

// takeToken reports whether a proxy may send one more request now. The burst is what the rate gives in one second.
func (l *proxyLimits) takeToken(now time.Duration, u *proxyUsage) bool {
	if l.rate == 0 {
		return true
	}
	u.tokens = min(l.rate, u.tokens+max(0, now-u.refilledAt).Seconds()*l.rate)
	u.refilledAt = max(u.refilledAt, now)
	if u.tokens < 1 {
		return false
	}
	u.tokens--
	return true
}
