package grpc

import (
	"encoding/binary"
	"fmt"
	"net/http"

	healthpb "google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/protobuf/proto"

	"cranegrade/internal/grpc"
	"cranegrade/internal/message"
)

const (
	healthPrefix = "/grpc.health.v1.Health/"
	healthCheck  = healthPrefix + "Check"
)

// serveHealth answers grpc.health.v1.Health/Check, for the whole node ("") or for a pool by its name. Watch is not
// implemented, because its open streams would hold up draining.
func (d Dialect) serveHealth(w http.ResponseWriter, hr *http.Request) {
	if hr.URL.Path != healthCheck || d.Serving == nil {
		writeEnd(w, grpc.StatusFields(grpc.Unimplemented, "of the health service only Check is served", 0), false)
		return
	}
	body, rejection := readUnaryRequest(w, hr)
	if rejection != nil {
		writeEnd(w, grpc.StatusFields(grpc.CodeFromHTTP(rejection.Status), rejection.Text, 0), false)
		return
	}
	var request healthpb.HealthCheckRequest
	count, _ := grpc.CountMessages(body) // readUnaryRequest has checked them
	if count != 1 || body[0] != 0 || proto.Unmarshal(body[grpc.MessagePrefixBytes:], &request) != nil {
		writeEnd(w, grpc.StatusFields(grpc.InvalidArgument, "not one HealthCheckRequest", 0), false)
		return
	}
	serving, known := d.Serving(request.Service)
	if !known {
		writeEnd(w, grpc.StatusFields(grpc.NotFound, fmt.Sprintf("no pool %.40q", request.Service), 0), false)
		return
	}
	status := healthpb.HealthCheckResponse_NOT_SERVING
	if serving {
		status = healthpb.HealthCheckResponse_SERVING
	}
	response, err := proto.Marshal(&healthpb.HealthCheckResponse{Status: status})
	if err != nil {
		writeEnd(w, grpc.StatusFields(grpc.Internal, err.Error(), 0), false)
		return
	}
	prefix := binary.BigEndian.AppendUint32([]byte{0}, uint32(len(response))) // 0 means not compressed
	_, _ = w.Write(append(prefix, response...))                               // it fails only if the client has gone
	writeEnd(w, []message.Field{{Name: "grpc-status", Value: "0"}}, true)
}
