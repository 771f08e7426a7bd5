package transport

import (
	"sync/atomic"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// trafficCounters count frames and their bytes, by message type. They may be used from any goroutine.
type trafficCounters [len(messageTypes)]struct {
	frames atomic.Int64
	bytes  atomic.Int64 // with length prefixes
}

// sentTraffic counts what this process has sent on all its connections, receivedTraffic what it has received.
var sentTraffic, receivedTraffic trafficCounters

// messageTypes is the names of the message types, by their numbers on the wire. They are sent in a Status and read by tools of other
// versions, so they keep the names that the types had in the first release.
var messageTypes = [...]string{
	wire.PayloadNONE:                  "none",
	wire.PayloadHello:                 "hello",
	wire.PayloadHeartbeat:             "beat",
	wire.PayloadRequest:               "request",
	wire.PayloadBodyChunk:             "piece",
	wire.PayloadResponse:              "answer",
	wire.PayloadWindowUpdate:          "credit",
	wire.PayloadCancel:                "cancel",
	wire.PayloadRecords:               "records",
	wire.PayloadItems:                 "items",
	wire.PayloadMembers:               "members",
	wire.PayloadRaftMessage:           "core",
	wire.PayloadCall:                  "ask",
	wire.PayloadCallReply:             "told",
	wire.PayloadMachinesInMaintenance: "outs",
	wire.PayloadActivePolicy:          "bound",
}

// SentTraffic returns what this process has sent on all its connections since it started, by message type. Types of which nothing was sent
// are left out.
func SentTraffic() []*wire.TrafficCounterT { return sentTraffic.snapshot() }

// ReceivedTraffic returns what this process has received, in the same form.
func ReceivedTraffic() []*wire.TrafficCounterT { return receivedTraffic.snapshot() }

// countSent counts a frame that is about to be sent.
func countSent(frame []byte) {
	sentTraffic.add(wire.GetRootAsFrame(frame, codec.LengthBytes).PayloadType(), len(frame))
}

// add counts one frame. Types that this build does not know are left out.
func (c *trafficCounters) add(messageType wire.Payload, bytes int) {
	if int(messageType) < len(c) {
		c[messageType].frames.Add(1)
		c[messageType].bytes.Add(int64(bytes))
	}
}

// snapshot returns the counters that are not 0, in the order of the types' numbers.
func (c *trafficCounters) snapshot() (counters []*wire.TrafficCounterT) {
	for number, name := range messageTypes {
		counter := &wire.TrafficCounterT{
			MessageType: name,
			Frames:      c[number].frames.Load(),
			Bytes:       c[number].bytes.Load(),
		}
		if counter.Frames > 0 {
			counters = append(counters, counter)
		}
	}
	return counters
}
