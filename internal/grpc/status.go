package grpc

import (
	"encoding/base64"
	"fmt"
	"strconv"
	"strings"
	"time"

	"google.golang.org/genproto/googleapis/rpc/errdetails"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"
	"google.golang.org/protobuf/types/known/durationpb"

	"cranegrade/internal/message"
)

// StatusFields returns the status fields of a response that the proxy itself generates. A positive retryAfter adds
// google.rpc.RetryInfo to the details of the status.
func StatusFields(code Code, text string, retryAfter time.Duration) []message.Field {
	fields := []message.Field{
		{Name: "grpc-status", Value: strconv.Itoa(int(code))},
		{Name: "grpc-message", Value: EncodeMessage(text)},
	}
	if retryAfter <= 0 {
		return fields
	}
	details, err := encodeRetryInfo(code, text, retryAfter)
	if err != nil {
		return fields // without RetryInfo; the status itself is complete
	}
	return append(fields, message.Field{Name: "grpc-status-details-bin", Value: details})
}

// encodeRetryInfo returns the value of grpc-status-details-bin: a google.rpc.Status in base64.
func encodeRetryInfo(code Code, text string, retryAfter time.Duration) (string, error) {
	info, err := anypb.New(&errdetails.RetryInfo{RetryDelay: durationpb.New(retryAfter)})
	if err != nil {
		return "", fmt.Errorf("encoding RetryInfo: %w", err)
	}
	encoded, err := proto.Marshal(&status.Status{
		Code:    int32(code),
		Message: text,
		Details: []*anypb.Any{info},
	})
	if err != nil {
		return "", fmt.Errorf("encoding google.rpc.Status: %w", err)
	}
	return base64.RawStdEncoding.EncodeToString(encoded), nil
}

// EncodeMessage encodes the value of grpc-message: '%' and all bytes that are not printable ASCII become %XX.
func EncodeMessage(s string) string {
	var b strings.Builder
	for i := range len(s) {
		if c := s[i]; c >= ' ' && c <= '~' && c != '%' {
			b.WriteByte(c)
		} else {
			fmt.Fprintf(&b, "%%%02X", c)
		}
	}
	return b.String()
}
