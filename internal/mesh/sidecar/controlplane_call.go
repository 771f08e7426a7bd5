package sidecar

import (
	"context"
	"fmt"
	"net/http"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport"
)

// statusError is the error of a call whose reply has a status other than 200.
type statusError struct {
	addr   string // of the control-plane member
	status uint16 // an HTTP status code
}

// Error implements error.
func (e *statusError) Error() string {
	return fmt.Sprintf("control-plane member %s answered with status %d", e.addr, e.status)
}

// callMember makes a call to a control-plane member, and returns the body of its reply. The error is a statusError if
// the member rejected the call, and otherwise that of the connection or of ctx.
func (e *environment) callMember(ctx context.Context, conn *transport.Conn, kind byte, body []byte) ([]byte, error) {
	reply, err := e.calls.Call(ctx, conn, kind, body)
	if err != nil {
		return nil, errors.Annotatef(err, "call to control-plane member %s", conn.RemoteAddr())
	}
	if reply.Status != http.StatusOK {
		return nil, &statusError{conn.RemoteAddr(), reply.Status}
	}
	return reply.Body, nil
}
