package h2

import (
	"bufio"
	"io"
	"net"
	"strings"
	"sync"
	"testing"

	"golang.org/x/net/http2"
	"golang.org/x/net/http2/hpack"

	"cranegrade/internal/engine"
)

// rawConn is the server's side of a connection, frame by frame, for what no correct server does.
type rawConn struct {
	netConn net.Conn
	framer  *http2.Framer
}

// startRawServer passes each connection to serve once its preface is read and the server's SETTINGS are written. number
// counts the connections from 0.
func startRawServer(t *testing.T, settings []http2.Setting, serve func(number int, r *rawConn)) *engine.Endpoint {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var goroutines sync.WaitGroup
	stop := make(chan struct{})
	goroutines.Go(func() {
		for number := 0; ; number++ {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			goroutines.Go(func() {
				defer netConn.Close()
				served := make(chan struct{})
				defer close(served)
				goroutines.Go(func() {
					select {
					case <-stop:
						netConn.Close()
					case <-served:
					}
				})
				if r := newRawConn(netConn, settings); r != nil {
					serve(number, r)
				}
			})
		}
	})
	t.Cleanup(func() {
		close(stop)
		listener.Close()
		goroutines.Wait()
	})
	return engine.NewEndpoint("raw", listener.Addr().String())
}

// newRawConn reads the client's connection preface and writes SETTINGS. It returns nil if the preface is wrong.
func newRawConn(netConn net.Conn, settings []http2.Setting) *rawConn {
	reader := bufio.NewReader(netConn)
	preface := make([]byte, len(http2.ClientPreface))
	if _, err := io.ReadFull(reader, preface); err != nil || string(preface) != http2.ClientPreface {
		return nil
	}
	r := &rawConn{netConn, http2.NewFramer(netConn, reader)}
	r.framer.ReadMetaHeaders = hpack.NewDecoder(4096, nil) // RFC 7541, section 4.2, and RFC 9113, section 6.5.2: the initial size
	r.framer.WriteSettings(settings...)
	return r
}

// nextStream reads until the next stream is opened, and returns its id; 0 at the end of the connection.
func (r *rawConn) nextStream() uint32 {
	for {
		frame, err := r.framer.ReadFrame()
		if err != nil {
			return 0
		}
		switch f := frame.(type) {
		case *http2.MetaHeadersFrame:
			return f.StreamID
		case *http2.PingFrame:
			if !f.IsAck() {
				r.framer.WritePing(true, f.Data)
			}
		}
	}
}

// nextStreams reads until that many more streams are opened, and returns their ids.
func (r *rawConn) nextStreams(n int) (ids []uint32) {
	for range n {
		ids = append(ids, r.nextStream())
	}
	return ids
}

// respond writes HEADERS with these names and values.
func (r *rawConn) respond(stream uint32, end bool, fields ...string) {
	var block strings.Builder
	encoder := hpack.NewEncoder(&block)
	for i := 0; i < len(fields); i += 2 {
		encoder.WriteField(hpack.HeaderField{Name: fields[i], Value: fields[i+1]})
	}
	r.framer.WriteHeaders(http2.HeadersFrameParam{
		StreamID:      stream,
		BlockFragment: []byte(block.String()),
		EndHeaders:    true,
		EndStream:     end,
	})
}

// readAll reads until the end of the connection.
func (r *rawConn) readAll() {
	for r.nextStream() != 0 {
	}
}
