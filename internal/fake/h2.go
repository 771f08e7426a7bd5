package fake

import (
	"fmt"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// Sidecar is what turns one protocol into the other on the path between the program and what stands outside: servers
// and callers that speak HTTP/1.1 are met over HTTP/2 by it. Each request is passed on once, over a connection of its
// own towards a server, so that the library has nothing to send again; what fails is reset, and says nothing.
type Gateway struct {
	listener      net.Listener
	server        *http.Server
	closeUpstream func() // closes what is idle onward
	done          sync.WaitGroup
}

// Before is a sidecar that takes HTTP/2 for a server that speaks HTTP/1.1.
func NewH2ServerGateway(server string) (*Gateway, error) {
	onward := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return newH2Gateway(server, onward, true)
}

// Towards is a sidecar that takes HTTP/1.1 of callers and passes it on to a node over HTTP/2, all on few connections.
func NewH2ClientGateway(node string) (*Gateway, error) {
	onward := &http.Transport{Protocols: new(http.Protocols), DisableCompression: true}
	onward.Protocols.SetUnencryptedHTTP2(true)
	return newH2Gateway(node, onward, false)
}

func newH2Gateway(to string, onward *http.Transport, h2 bool) (*Gateway, error) {
	target := &url.URL{Scheme: "http", Host: to}
	proxy := &httputil.ReverseProxy{
		Transport: onward, ErrorLog: log.New(discardWriter{}, "", 0),
		Rewrite: func(r *httputil.ProxyRequest) { r.SetURL(target); r.Out.Host = r.In.Host },
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) {
			panic(http.ErrAbortHandler) // a stream is reset, a connection ends: whoever asked is told nothing
		},
	}
	return startGateway(proxy, h2, onward.CloseIdleConnections)
}

func startGateway(h http.Handler, h2 bool, onward func()) (*Gateway, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("a sidecar: %w", err)
	}
	s := &Gateway{listener: l, closeUpstream: onward, server: &http.Server{Handler: h, ErrorLog: log.New(discardWriter{}, "", 0), Protocols: new(http.Protocols)}}
	s.server.Protocols.SetHTTP1(!h2)
	s.server.Protocols.SetUnencryptedHTTP2(h2)
	s.done.Go(func() { s.server.Serve(l) })
	return s, nil
}

type discardWriter struct{}

func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// Addr is its address.
func (s *Gateway) Addr() string { return s.listener.Addr().String() }

// Close ends it at once.
func (s *Gateway) Close() {
	s.server.Close()
	s.done.Wait()
	s.closeUpstream()
}
