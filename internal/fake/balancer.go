package fake

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httputil"
	"strconv"
	"sync"
	"time"
)

const balancerIdlePerServer = 1000 // connections

// Balancer is a simple load balancer to compare the program with: of two servers drawn at random it takes the one with fewer open
// requests (power of two choices), it makes one attempt, and it rejects requests above a fixed limit. Its lists of servers are fixed.
type Balancer struct {
	Limit int // open requests for each server of a host; 0: none

	listener net.Listener
	server   *http.Server

	mu            sync.Mutex // guards the fields below
	rng           *rand.Rand
	hosts         map[string][]string
	callsByServer map[string]int // open requests
	callsByHost   map[string]int
}

// NewBalancer starts a balancer on a free loopback port. hosts are the addresses of each host's servers.
func NewBalancer(limit int, hosts map[string][]string, seed uint64) (*Balancer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		Limit: limit, listener: listener, rng: rand.New(rand.NewPCG(seed, 0xba1)), hosts: hosts,
		callsByServer: map[string]int{}, callsByHost: map[string]int{},
	}
	b.server = &http.Server{Handler: b}
	go func() { _ = b.server.Serve(listener) }() // until Close closes the server
	return b, nil
}

// Addr is the address that the balancer listens on.
func (b *Balancer) Addr() string { return b.listener.Addr().String() }

// Close ends the balancer.
func (b *Balancer) Close() { b.server.Close() }

// serverAddrKey is the context key of the chosen server's address.
type serverAddrKey struct{}

var reverseProxy = &httputil.ReverseProxy{
	Rewrite: func(r *httputil.ProxyRequest) {
		addr, _ := r.In.Context().Value(serverAddrKey{}).(string)
		r.Out.URL.Scheme, r.Out.URL.Host = "http", addr
	},
	Transport: &http.Transport{MaxIdleConnsPerHost: balancerIdlePerServer, DisableCompression: true},
	ErrorHandler: func(w http.ResponseWriter, _ *http.Request, err error) {
		if errors.Is(err, context.DeadlineExceeded) {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		w.WriteHeader(http.StatusBadGateway)
	},
}

// ServeHTTP forwards one request within the time that it has left.
func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr, ok := b.acquire(r.Host)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.release(r.Host, addr)
	ctx := context.WithValue(r.Context(), serverAddrKey{}, addr)
	if left := requestTimeLeft(r); left > 0 {
		// A little less than that, so that the time-out is answered in time.
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left-left/50-time.Millisecond)
		defer cancel()
	}
	reverseProxy.ServeHTTP(w, r.WithContext(ctx))
}

// acquire chooses a server for a request and counts the request as open. False: the host has no servers or is at its limit.
func (b *Balancer) acquire(host string) (addr string, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	servers := b.hosts[host]
	if len(servers) == 0 || b.Limit > 0 && b.callsByHost[host] >= b.Limit*len(servers) {
		return "", false
	}
	chosen, other := servers[b.rng.IntN(len(servers))], servers[b.rng.IntN(len(servers))]
	if b.callsByServer[other] < b.callsByServer[chosen] {
		chosen = other
	}
	b.callsByServer[chosen]++
	b.callsByHost[host]++
	return chosen, true
}

func (b *Balancer) release(host, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callsByServer[addr]--
	b.callsByHost[host]--
}
