package transport

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Errors of asking over a trunk of one's own.
const (
	ErrNoReply  = errors.ConstError("no answer")
	ErrRejected = errors.ConstError("refused")
)

// Client is a trunk to one process that is kept to ask it.
type Client struct {
	conn  *Conn
	calls Calls
}

// DialClient opens a trunk. The context bounds the dial only; other is told, on one goroutine, whatever is no answer, and may be nil.
func DialClient(ctx context.Context, addr, name string, onMessage func(codec.Message)) (*Client, error) {
	conn, err := Dial(ctx, addr, &wire.HelloT{Name: name}, nil)
	if err != nil {
		return nil, errors.WithType(err, ErrNoReply)
	}
	client := &Client{conn: conn}
	go func() {
		for {
			m, err := conn.Receive()
			if err != nil {
				return
			}
			if reply, is := m.Value.(*wire.CallReplyT); is {
				client.calls.Deliver(conn, reply)
			} else if onMessage != nil {
				onMessage(m)
			}
		}
	}()
	return client, nil
}

// Close ends the trunk.
func (x *Client) Close() { x.conn.Close(nil) }

// Done is closed with the trunk.
func (x *Client) Done() <-chan struct{} { return x.conn.Done() }

// Call calls, and gives the answer's body.
func (x *Client) Call(ctx context.Context, kind byte, body []byte) ([]byte, error) {
	reply, err := x.calls.Call(ctx, x.conn, kind, body)
	if err != nil {
		return nil, errors.WithType(err, ErrNoReply)
	}
	if reply.Status != http.StatusOK {
		return nil, errors.WithType(errors.Errorf("%s answers %d %s", x.conn.RemoteAddr(), reply.Status, reply.Body), ErrRejected)
	}
	return reply.Body, nil
}

// Status asks how the process is.
func (x *Client) Status(ctx context.Context) (*wire.StatusT, error) {
	body, err := x.Call(ctx, codec.CallStatus, nil)
	if err != nil {
		return nil, err
	}
	return codec.DecodeTable(body, func(p []byte) *wire.StatusT { return wire.GetRootAsStatus(p, 0).UnPack() })
}

// CallOnce is Call and Ask of one process.
func CallOnce(ctx context.Context, addr, name string, kind byte, body []byte) ([]byte, error) {
	client, err := DialClient(ctx, addr, name, nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Call(ctx, kind, body)
}
