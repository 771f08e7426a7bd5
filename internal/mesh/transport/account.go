package transport

import (
	"sync/atomic"

	"cranegrade/internal/mesh/transport/wire"
)

// trafficCounters are of frames, by kind.
type trafficCounters [len(messageTypes)]struct{ frames, bytes atomic.Int64 }

// sentTraffic counts what this process has said on all its trunks, heard what it was told.
var sentTraffic, receivedTraffic trafficCounters

// messageTypes are the kinds of frames by their numbers on the wire.
var messageTypes = [...]string{wire.PayloadNONE: "none", wire.PayloadHello: "hello", wire.PayloadHeartbeat: "beat", wire.PayloadRequest: "request", wire.PayloadBodyChunk: "piece",
	wire.PayloadResponse: "answer", wire.PayloadWindowUpdate: "credit", wire.PayloadCancel: "cancel", wire.PayloadRecords: "records", wire.PayloadItems: "items",
	wire.PayloadMembers: "members", wire.PayloadRaftMessage: "core", wire.PayloadCall: "ask", wire.PayloadCallReply: "told", wire.PayloadMachinesInMaintenance: "outs", wire.PayloadActivePolicy: "bound"}

// countSent notes a frame that is about to be sent.
func countSent(p []byte) {
	sentTraffic.add(wire.GetRootAsFrame(p, 4).PayloadType(), len(p))
}

func (c *trafficCounters) add(t wire.Payload, bytes int) {
	if int(t) < len(c) {
		c[t].frames.Add(1)
		c[t].bytes.Add(int64(bytes))
	}
}

// SentTraffic is what this process has said on all its trunks, by kind; kinds of which it said nothing are left out.
func SentTraffic() []*wire.TrafficCounterT { return sentTraffic.snapshot() }

// ReceivedTraffic is what this process was told on all its trunks, in the same form.
func ReceivedTraffic() []*wire.TrafficCounterT { return receivedTraffic.snapshot() }

func (c *trafficCounters) snapshot() (counters []*wire.TrafficCounterT) {
	for t, n := range messageTypes {
		if counter := (&wire.TrafficCounterT{MessageType: n, Frames: c[t].frames.Load(), Bytes: c[t].bytes.Load()}); counter.Frames > 0 {
			counters = append(counters, counter)
		}
	}
	return counters
}
