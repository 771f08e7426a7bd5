package extproc

import (
	"strconv"
	"time"

	"cranegrade/internal/extproc/stream"
	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
)

// timeLeft is how long the client waits for its answer: by the proxy's header; by x-time-left, which an outer listener
// sets because its own header does not pass an inner one; by grpc-timeout; or the deadline of the class. What a header
// says never exceeds that deadline. ok is false if a header is not a valid time.
func timeLeft(r *stream.Request, classDeadline time.Duration) (left time.Duration, ok bool) {
	if value := r.Get("x-envoy-expected-rq-timeout-ms"); value != "" {
		ms, err := strconv.ParseUint(value, 10, 31)
		if err != nil || ms == 0 {
			return 0, err == nil // 0 stands for no time-out
		}
		return min(classDeadline, time.Duration(ms)*time.Millisecond), true
	}
	if d, ok := message.ParseTimeLeft(r.Get("x-time-left")); ok {
		return min(classDeadline, d), true
	}
	if value := r.Get("grpc-timeout"); value != "" {
		d, ok := grpcTimeout(value)
		return min(classDeadline, d), ok
	}
	return classDeadline, true
}

// grpcTimeout reads the value of grpc-timeout. Unlike grpc.ParseTimeout it takes a time-out of 0 for invalid.
func grpcTimeout(value string) (time.Duration, bool) {
	d, err := grpc.ParseTimeout(value)
	return d, err == nil && d > 0
}
