package stream

import (
	"fmt"

	extproc "github.com/envoyproxy/go-control-plane/envoy/service/ext_proc/v3"
)

func (s *Stream) handleRequestBody(b *extproc.HttpBody) {
	if response := s.passBody(&s.request, b); response != nil {
		s.emit(Reply{&extproc.ProcessingResponse{
			Response: &extproc.ProcessingResponse_RequestBody{RequestBody: response},
		}})
	}
}

func (s *Stream) handleResponseBody(b *extproc.HttpBody) {
	if !s.response.headersSeen && s.phase == awaitingResponse {
		s.violate(fmt.Errorf("%w: a response body before its headers", ErrOutOfOrder))
		return
	}
	if response := s.passBody(&s.response, b); response != nil {
		s.emit(Reply{&extproc.ProcessingResponse{
			Response: &extproc.ProcessingResponse_ResponseBody{ResponseBody: response},
		}})
	}
}

// passBody notes a chunk of a body and returns the answer that passes it on unchanged. It returns nil if there is none to
// send.
func (s *Stream) passBody(of *httpMessage, b *extproc.HttpBody) *extproc.BodyResponse {
	// A repeated, empty end of the stream is accepted.
	if of.ended && (len(b.GetBody()) > 0 || !b.GetEndOfStream()) {
		s.violate(fmt.Errorf("%w: a body after its end", ErrOutOfOrder))
		return nil
	}
	of.ended = of.ended || b.GetEndOfStream() || b.GetEndOfStreamWithoutMessage()
	if s.observabilityMode {
		return nil
	}
	common := &extproc.CommonResponse{}
	if of.echoBody {
		echo := &extproc.StreamedBodyResponse{
			Body:                      b.GetBody(),
			EndOfStream:               b.GetEndOfStream(),
			EndOfStreamWithoutMessage: b.GetEndOfStreamWithoutMessage(),
			GrpcMessageCompressed:     b.GetGrpcMessageCompressed(),
		}
		common.BodyMutation = &extproc.BodyMutation{Mutation: &extproc.BodyMutation_StreamedResponse{StreamedResponse: echo}}
	}
	return &extproc.BodyResponse{Response: common}
}

func (s *Stream) handleRequestTrailers() {
	s.request.ended = true
	if s.observabilityMode {
		return
	}
	s.emit(Reply{&extproc.ProcessingResponse{
		Response: &extproc.ProcessingResponse_RequestTrailers{RequestTrailers: &extproc.TrailersResponse{}},
	}})
}

func (s *Stream) handleResponseTrailers() {
	s.response.ended = true
	if s.observabilityMode {
		return
	}
	s.emit(Reply{&extproc.ProcessingResponse{
		Response: &extproc.ProcessingResponse_ResponseTrailers{ResponseTrailers: &extproc.TrailersResponse{}},
	}})
}
