package grpc

import (
	"context"
	"net/http"
	"time"

	"cranegrade/internal/engine"
	"cranegrade/internal/front/http1"
	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
)

// textIncomplete is the grpc-message of an answer whose client's deadline passed while it was being streamed.
const textIncomplete = "the time was up before the answer was whole"

// copyStream writes a streamed answer as it comes, until it ends. An error is that of ctx, or of the connection to the
// client.
func copyStream(ctx context.Context, w http.ResponseWriter, stream *message.Stream) error {
	controller := http.NewResponseController(w)
	copyHeader(w.Header(), stream.Header)
	for {
		chunk, err := stream.Next(ctx)
		if chunk == nil || err != nil {
			return err
		}
		limitWrites(controller, time.Now().Add(http1.WriteTimeout))
		if _, err = w.Write(chunk); err == nil {
			err = controller.Flush()
		}
		limitWrites(controller, time.Time{}) // a stream may pause for as long as it likes
		if err != nil {
			return err
		}
	}
}

// limitWrites sets the write deadline of an answer; a zero time means none. HTTP/2 streams always support it, and on a closed
// connection the write itself fails.
func limitWrites(controller *http.ResponseController, deadline time.Time) {
	_ = controller.SetWriteDeadline(deadline)
}

// writeAnswer writes the final answer; after a streamed one, its end.
func writeAnswer(w http.ResponseWriter, c *call, answer engine.Answer, now time.Duration) {
	limitWrites(http.NewResponseController(w), time.Now().Add(http1.WriteTimeout))
	switch {
	case c.stream != nil:
		writeEnd(w, streamEnd(c), true)
	case answer.Verdict == engine.Served:
		reply := answer.Reply.(*message.Reply)
		defer reply.Release()
		copyHeader(w.Header(), reply.Header)
		if reply.Header != nil {
			_, _ = w.Write(reply.Body) // it fails only if the client has gone
		}
		writeEnd(w, reply.Trailer, reply.Header != nil)
	case answer.Verdict == engine.Rejected:
		writeEnd(
			w,
			grpc.StatusFields(grpc.Unavailable, "refused: trying again does no harm", max(answer.RetryAfter, time.Millisecond)),
			false,
		)
	case answer.Verdict == engine.Duplicate:
		writeEnd(w, grpc.StatusFields(grpc.Aborted, "a call with this x-correlation-id is open already", 0), false)
	default:
		writeEnd(w, failure(c, now), false)
	}
}

// streamEnd is the trailer of a streamed answer: the server's or, if that never came, a status of ours.
func streamEnd(c *call) []message.Field {
	switch {
	case c.stream.Trailer() != nil:
		return c.stream.Trailer()
	case !c.clientDeadline.IsZero() && time.Until(c.clientDeadline) < http1.ProxyOverhead:
		// The server goes by the same deadline, so that is why it broke off.
		return grpc.StatusFields(grpc.DeadlineExceeded, textIncomplete, 0)
	}
	return grpc.StatusFields(grpc.Internal, "the answer broke off; it may have run", 0)
}

// failure is the status of a call that no server answered: that of the last attempt if it had one, else one of ours.
func failure(c *call, now time.Duration) []message.Field {
	if status := c.request().GRPC.Failed(); status != nil {
		return status
	}
	if now >= c.Deadline-http1.ProxyOverhead {
		return grpc.StatusFields(grpc.DeadlineExceeded, "no server answered in time; it may have run", 0)
	}
	// Not UNAVAILABLE, because clients retry that by themselves.
	return grpc.StatusFields(grpc.Internal, "no server answered; it may have run", 0)
}

// copyHeader copies an answer's header, but for the fields that this hop sets itself.
func copyHeader(to http.Header, fields []message.Field) {
	to.Del("Content-Type")
	for _, field := range fields {
		if field.Name != "content-length" && field.Name != "date" {
			to.Add(field.Name, field.Value)
		}
	}
	if to.Get("Content-Type") == "" {
		to.Set("Content-Type", "application/grpc")
	}
}

// writeEnd writes the fields that end an answer: as its trailer if there is a body, else among its headers (the
// Trailers-Only form).
func writeEnd(w http.ResponseWriter, fields []message.Field, hasBody bool) {
	for _, field := range fields {
		switch {
		case field.Name == "content-type" || field.Name == "content-length" || field.Name == "date":
		case field.Name == "x-unprocessed":
			// It says that one attempt has not run; whether any has, only the decision module knows.
		case hasBody:
			w.Header().Add(http.TrailerPrefix+field.Name, field.Value)
		default:
			w.Header().Add(field.Name, field.Value)
		}
	}
}
