package transport

import (
	"context"
	"net/http"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// Errors of calls by a Client.
const (
	// ErrNoReply says that the process could not be reached, or did not reply in time. It may have carried out the call all the same.
	ErrNoReply = errors.ConstError("no reply")
	// ErrRejected says that the status of the reply is not http.StatusOK. Its text holds the status and the reason.
	ErrRejected = errors.ConstError("the call was rejected")
)

// Client is a connection to one process that is used for calls only, as by an operator's tool. It may be used from any goroutine.
type Client struct {
	conn  *Conn
	calls Calls
}

// DialClient connects to the process at an address. The context bounds the dial only. onMessage is called with every message that is not a
// reply, on the client's own goroutine, which ends with the connection; if it is nil such messages are dropped. The error is ErrNoReply.
func DialClient(ctx context.Context, addr, name string, onMessage func(codec.Message)) (*Client, error) {
	conn, err := Dial(ctx, addr, &wire.HelloT{Name: name}, nil)
	if err != nil {
		return nil, errors.WithType(err, ErrNoReply)
	}
	client := &Client{conn: conn}
	go client.receive(onMessage)
	return client, nil
}

// receive delivers replies and passes on messages until the connection ends.
func (c *Client) receive(onMessage func(codec.Message)) {
	for {
		m, err := c.conn.Receive()
		if err != nil {
			return
		}
		if reply, ok := m.Value.(*wire.CallReplyT); ok {
			c.calls.Deliver(c.conn, reply)
		} else if onMessage != nil {
			onMessage(m)
		}
	}
}

// Close closes the connection. It does not wait for a call of onMessage, from which it may be called.
func (c *Client) Close() { c.conn.Close(nil) }

// Done returns a channel that is closed with the connection.
func (c *Client) Done() <-chan struct{} { return c.conn.Done() }

// Call makes a call of one of the kinds of package codec, and returns the body of its reply. The error is ErrNoReply or ErrRejected.
func (c *Client) Call(ctx context.Context, kind byte, body []byte) ([]byte, error) {
	reply, err := c.calls.Call(ctx, c.conn, kind, body)
	if err != nil {
		return nil, errors.WithType(err, ErrNoReply)
	}
	if reply.Status != http.StatusOK {
		return nil, errors.WithType(errors.Errorf("%s answers %d %s", c.conn.RemoteAddr(), reply.Status, reply.Body), ErrRejected)
	}
	return reply.Body, nil
}

// Status calls for the status of the process.
func (c *Client) Status(ctx context.Context) (*wire.StatusT, error) {
	body, err := c.Call(ctx, codec.CallStatus, nil)
	if err != nil {
		return nil, err
	}
	status, err := codec.DecodeTable(body, func(p []byte) *wire.StatusT { return wire.GetRootAsStatus(p, 0).UnPack() })
	return status, errors.Annotatef(err, "decode the status of %s", c.conn.RemoteAddr())
}

// CallOnce connects to a process, makes one call, and closes the connection. Its errors are those of DialClient and Client.Call.
func CallOnce(ctx context.Context, addr, name string, kind byte, body []byte) ([]byte, error) {
	client, err := DialClient(ctx, addr, name, nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Call(ctx, kind, body)
}
