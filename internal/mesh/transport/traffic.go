package transport

import (
	"sync/atomic"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

// trafficCounters count frames and bytes by message type. They are safe for concurrent use.
type trafficCounters [len(messageTypes)]struct {
	frames atomic.Int64
	bytes  atomic.Int64 // including length prefixes
}

// sentTraffic counts the frames that this process has sent on all its connections, and receivedTraffic those that it has received.
var sentTraffic, receivedTraffic trafficCounters

// messageTypes are the names of the message types, indexed by their numbers on the wire. They are part of a Status, which tools of other
// versions read, so they keep the names from the first release.
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

// SentTraffic returns the numbers of frames and bytes that this process has sent on all its connections since it started, by message type.
// Types without traffic are omitted.
func SentTraffic() []*wire.TrafficCounterT { return sentTraffic.snapshot() }

// ReceivedTraffic returns the same for received frames.
func ReceivedTraffic() []*wire.TrafficCounterT { return receivedTraffic.snapshot() }

// countSent counts a frame in sentTraffic.
func countSent(frame []byte) {
	sentTraffic.add(wire.GetRootAsFrame(frame, codec.LengthBytes).PayloadType(), len(frame))
}

// add counts one frame. Types that this build does not know are not counted.
func (c *trafficCounters) add(messageType wire.Payload, bytes int) {
	if int(messageType) < len(c) {
		c[messageType].frames.Add(1)
		c[messageType].bytes.Add(int64(bytes))
	}
}

// snapshot returns the counters that are not 0, ordered by the numbers of the types.
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
