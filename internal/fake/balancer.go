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

// Balancer is a plain balancer, as a yardstick: of two servers drawn the one with fewer calls out, one try,
// and more than Limit calls out for each server refused at once. It knows a fixed list for each host.
type Balancer struct {
	Limit    int // 0: none
	listener net.Listener
	server   *http.Server

	mu            sync.Mutex // guards rng and calls
	rng           *rand.Rand
	hosts         map[string][]string
	callsByServer map[string]int
	callsByHost   map[string]int // by host
}

// NewBalancer starts one on a free loopback port; hosts are the addresses of each host's servers.
func NewBalancer(limit int, hosts map[string][]string, seed uint64) (*Balancer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Balancer{Limit: limit, listener: l, rng: rand.New(rand.NewPCG(seed, 0xba1)), hosts: hosts, callsByServer: map[string]int{}, callsByHost: map[string]int{}}
	b.server = &http.Server{Handler: b}
	go b.server.Serve(l)
	return b, nil
}

// Addr is where it listens.
func (b *Balancer) Addr() string { return b.listener.Addr().String() }

// Close ends it.
func (b *Balancer) Close() { b.server.Close() }

type serverAddrKey struct{}

var reverseProxy = &httputil.ReverseProxy{
	Director: func(r *http.Request) {
		r.URL.Scheme, r.URL.Host = "http", r.Context().Value(serverAddrKey{}).(string)
	},
	Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true},
	ErrorHandler: func(w http.ResponseWriter, r *http.Request, err error) {
		if errors.Is(err, context.DeadlineExceeded) {
			w.WriteHeader(http.StatusGatewayTimeout)
			return
		}
		w.WriteHeader(http.StatusBadGateway)
	},
}

func (b *Balancer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	addr := b.acquire(r.Host)
	if addr == "" {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.release(r.Host, addr)
	ctx := context.WithValue(r.Context(), serverAddrKey{}, addr)
	if left := requestTimeLeft(r); left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left-left/50-time.Millisecond)
		defer cancel()
	}
	reverseProxy.ServeHTTP(w, r.WithContext(ctx))
}

func (b *Balancer) acquire(host string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.hosts[host]
	if len(l) == 0 || b.Limit > 0 && b.callsByHost[host] >= b.Limit*len(l) {
		return ""
	}
	x, y := l[b.rng.IntN(len(l))], l[b.rng.IntN(len(l))]
	if b.callsByServer[y] < b.callsByServer[x] {
		x = y
	}
	b.callsByServer[x]++
	b.callsByHost[host]++
	return x
}

func (b *Balancer) release(host, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.callsByServer[addr]--
	b.callsByHost[host]--
}
