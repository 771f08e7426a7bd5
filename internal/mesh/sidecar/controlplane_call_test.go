package sidecar

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// A rejected call to a member returns a statusError with the member and the status. A call without a reply ends with its context.
func TestMemberCallErrors(t *testing.T) {
	s, conn, far := newFollowingSidecar(t)
	go func() {
		for {
			m, err := far.Receive()
			if err != nil {
				return
			}
			if call, is := m.Value.(*wire.CallT); is && call.Kind == codec.CallLeaseKeys {
				far.Send(&wire.CallReplyT{Id: call.Id, Status: http.StatusServiceUnavailable})
			}
		}
	}()
	_, err := s.env.callMember(t.Context(), conn, codec.CallLeaseKeys, nil)
	var status *statusError
	assert.Assert(t, errors.As(err, &status))
	assert.Equal(t, *status, statusError{addr: conn.RemoteAddr(), status: http.StatusServiceUnavailable})
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	_, err = s.env.callMember(ctx, conn, codec.CallItems, nil)
	assert.ErrorIs(t, err, context.DeadlineExceeded)
}
