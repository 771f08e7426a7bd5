package h2

import (
	"context"
	"net/http"

	"cranegrade/balancer"
	"cranegrade/internal/engine"
	"cranegrade/internal/grpc"
	"cranegrade/internal/h2/client"
	"cranegrade/internal/message"
)

// outcome returns how an attempt ended whose stream ended with done.
func outcome(ctx context.Context, r *streamRequest, done client.Done) (balancer.Ending, *message.Reply) {
	switch done.Ending {
	case client.NotWritten:
		if ctx.Err() != nil {
			return balancer.NeverSent, nil
		}
		return balancer.Unreachable, nil
	case client.Refused:
		return balancer.Overloaded, nil
	case client.AboveGoAway:
		return balancer.NeverSent, nil
	default: // the request was written
	}
	received := int64(0)
	if done.Ending == client.Completed && done.Response.Status != http.StatusOK {
		received = int64(len(done.Response.Body)) // the engine counts the body of a reply itself
	}
	r.attempt.RecordTransfer(int64(len(r.message.Body)), received, "")
	if done.Ending != client.Completed {
		return engine.EndingOf(ctx), nil
	}
	if r.message.GRPC != nil {
		return grpcOutcome(r, done.Response)
	}
	return httpOutcome(done.Response)
}

// httpOutcome classifies a complete response of the platform's protocol.
func httpOutcome(response client.Response) (balancer.Ending, *message.Reply) {
	contentType, unprocessed := "", false
	for _, field := range response.Header {
		switch field.Name {
		case "content-type":
			contentType = field.Value
		case "x-unprocessed":
			unprocessed = field.Value == "1"
		}
	}
	switch status := response.Status; {
	case status == http.StatusOK:
		return balancer.Success, message.NewReply(contentType, response.Body, nil)
	case (status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout) && unprocessed:
		return balancer.Overloaded, nil
	}
	return balancer.Failure, nil
}

// grpcOutcome classifies a complete gRPC response, and ends the reply if it was streamed.
func grpcOutcome(r *streamRequest, response client.Response) (balancer.Ending, *message.Reply) {
	answer := grpc.Response{
		Status:    response.Status,
		Header:    messageFields(response.Header),
		Trailer:   messageFields(response.Trailer),
		Messages:  r.replyMessages,
		Malformed: r.malformed,
	}
	if r.reply == nil && answer.Messages.Scan(response.Body) != nil {
		answer.Malformed = true
	}
	verdict := grpc.Classify(answer)
	if verdict.Ending == balancer.Failure {
		r.message.GRPC.Fail(verdict.Fields)
	}
	switch {
	case r.reply != nil:
		r.reply.Finish(verdict.Fields)
		return verdict.Ending, nil
	case verdict.Ending != balancer.Success:
		return verdict.Ending, nil
	}
	reply := message.NewReply("", response.Body, nil)
	reply.Header, reply.Trailer = answer.Header, verdict.Fields
	if answer.Trailer == nil {
		reply.Header = nil // Trailers-Only: the header section was the trailer section
	}
	return verdict.Ending, reply
}

// messageFields converts fields to the type that fronts know. It returns nil for nil.
func messageFields(fields []client.Field) []message.Field {
	if fields == nil {
		return nil
	}
	converted := make([]message.Field, len(fields))
	for i, field := range fields {
		converted[i] = message.Field(field)
	}
	return converted
}
