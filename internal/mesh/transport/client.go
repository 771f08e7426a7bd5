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
	// ErrNoReply means that the process could not be reached, or did not reply in time. It may have executed the call even so.
	ErrNoReply = errors.ConstError("no reply")
	// ErrRejected means that the status of the reply is not http.StatusOK. The error text includes the status and the reason.
	ErrRejected = errors.ConstError("the call was rejected")
)

// Client is a connection that is used only for calls to a process, for example by an operator's tool. It is safe for concurrent use.
type Client struct {
	conn  *Conn
	calls Calls
}

// DialClient connects to the process at addr, and introduces itself as name. ctx applies to the dial only. onMessage is called with every
// message that is not a reply, on the client's receiving goroutine, which ends when the connection is closed; if onMessage is nil, such
// messages are dropped. The error is ErrNoReply.
func DialClient(ctx context.Context, addr, name string, onMessage func(codec.Message)) (*Client, error) {
	conn, err := Dial(ctx, addr, &wire.HelloT{Name: name}, nil)
	if err != nil {
		return nil, errors.WithType(err, ErrNoReply)
	}
	client := &Client{conn: conn}
	go client.receive(onMessage)
	return client, nil
}

// receive delivers replies and passes all other messages to onMessage until the connection is closed.
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

// Close closes the connection. It does not wait for onMessage to return, and may be called by it.
func (c *Client) Close() { c.conn.Close(nil) }

// Done returns a channel that is closed when the connection is closed.
func (c *Client) Done() <-chan struct{} { return c.conn.Done() }

// Call makes a call, whose kind is defined in package codec, and returns the body of the reply. The error is ErrNoReply or ErrRejected.
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

// Status requests the status of the process.
func (c *Client) Status(ctx context.Context) (*wire.StatusT, error) {
	body, err := c.Call(ctx, codec.CallStatus, nil)
	if err != nil {
		return nil, err
	}
	status, err := codec.DecodeTable(body, func(p []byte) *wire.StatusT { return wire.GetRootAsStatus(p, 0).UnPack() })
	return status, errors.Annotatef(err, "decode the status of %s", c.conn.RemoteAddr())
}

// CallOnce connects to a process, makes one call, and closes the connection. The error is ErrNoReply or ErrRejected.
func CallOnce(ctx context.Context, addr, name string, kind byte, body []byte) ([]byte, error) {
	client, err := DialClient(ctx, addr, name, nil)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	return client.Call(ctx, kind, body)
}
