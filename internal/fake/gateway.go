package fake

import (
	"fmt"
	"io"
	"log"
	"net"
	"net/http"
	"net/http/httputil"
	"net/url"
	"sync"
)

// Gateway translates between HTTP/1.1, which the fake servers and callers speak, and a protocol under test on the side of the program.
// Each request is forwarded once. Towards a server it has a connection of its own, so that the HTTP library finds nothing to send
// again. A request that fails is reset without an answer.
type Gateway struct {
	listener      net.Listener
	server        *http.Server
	closeUpstream func() // closes idle connections to whatever the gateway forwards to
	goroutines    sync.WaitGroup
}

// NewH2ServerGateway starts a gateway that accepts HTTP/2 for a server that speaks HTTP/1.1.
func NewH2ServerGateway(server string) (*Gateway, error) {
	upstream := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return newH2Gateway(server, upstream, true)
}

// NewH2ClientGateway starts a gateway that accepts HTTP/1.1 of callers and forwards to a node over HTTP/2, on few connections.
func NewH2ClientGateway(node string) (*Gateway, error) {
	upstream := &http.Transport{Protocols: new(http.Protocols), DisableCompression: true}
	upstream.Protocols.SetUnencryptedHTTP2(true)
	return newH2Gateway(node, upstream, false)
}

func newH2Gateway(target string, upstream *http.Transport, acceptH2 bool) (*Gateway, error) {
	targetURL := &url.URL{Scheme: "http", Host: target}
	proxy := &httputil.ReverseProxy{
		Transport: upstream,
		ErrorLog:  discardLogger(),
		Rewrite: func(r *httputil.ProxyRequest) {
			r.SetURL(targetURL)
			r.Out.Host = r.In.Host
		},
		ErrorHandler: func(http.ResponseWriter, *http.Request, error) {
			panic(http.ErrAbortHandler) // resets the stream, or closes the connection
		},
	}
	return startGateway(proxy, acceptH2, upstream.CloseIdleConnections)
}

// startGateway serves a handler on a free loopback port, by HTTP/2 or by HTTP/1.1.
func startGateway(handler http.Handler, acceptH2 bool, closeUpstream func()) (*Gateway, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, fmt.Errorf("starting a gateway: %w", err)
	}
	server := &http.Server{Handler: handler, ErrorLog: discardLogger(), Protocols: new(http.Protocols)}
	server.Protocols.SetHTTP1(!acceptH2)
	server.Protocols.SetUnencryptedHTTP2(acceptH2)
	g := &Gateway{listener: listener, server: server, closeUpstream: closeUpstream}
	g.goroutines.Go(func() { _ = server.Serve(listener) }) // until Close closes the server
	return g, nil
}

// Addr is the address that the gateway listens on.
func (g *Gateway) Addr() string { return g.listener.Addr().String() }

// Close ends the gateway at once.
func (g *Gateway) Close() {
	g.server.Close()
	g.goroutines.Wait()
	g.closeUpstream()
}

func discardLogger() *log.Logger { return log.New(io.Discard, "", 0) }
