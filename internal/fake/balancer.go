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
	Limit int // 0: none
	l     net.Listener
	srv   *http.Server

	mu    sync.Mutex // guards rng and calls
	rng   *rand.Rand
	hosts map[string][]string
	calls map[string]int
	out   map[string]int // by host
}

// NewBalancer starts one on a free loopback port; hosts are the addresses of each host's servers.
func NewBalancer(limit int, hosts map[string][]string, seed uint64) (*Balancer, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	b := &Balancer{Limit: limit, l: l, rng: rand.New(rand.NewPCG(seed, 0xba1)), hosts: hosts, calls: map[string]int{}, out: map[string]int{}}
	b.srv = &http.Server{Handler: b}
	go b.srv.Serve(l)
	return b, nil
}

// Addr is where it listens.
func (b *Balancer) Addr() string { return b.l.Addr().String() }

// Close ends it.
func (b *Balancer) Close() { b.srv.Close() }

type addrKey struct{}

var forward = &httputil.ReverseProxy{
	Director: func(r *http.Request) {
		r.URL.Scheme, r.URL.Host = "http", r.Context().Value(addrKey{}).(string)
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
	addr := b.take(r.Host)
	if addr == "" {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.give(r.Host, addr)
	ctx := context.WithValue(r.Context(), addrKey{}, addr)
	if left := timeLeft(r); left > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, left-left/50-time.Millisecond)
		defer cancel()
	}
	forward.ServeHTTP(w, r.WithContext(ctx))
}

func (b *Balancer) take(host string) string {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.hosts[host]
	if len(l) == 0 || b.Limit > 0 && b.out[host] >= b.Limit*len(l) {
		return ""
	}
	x, y := l[b.rng.IntN(len(l))], l[b.rng.IntN(len(l))]
	if b.calls[y] < b.calls[x] {
		x = y
	}
	b.calls[x]++
	b.out[host]++
	return x
}

func (b *Balancer) give(host, addr string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.calls[addr]--
	b.out[host]--
}
