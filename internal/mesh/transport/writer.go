package transport

import (
	"net"
	"time"
)

// writeLoop writes queued frames, and heartbeats when they are due. It closes the connection if the peer is silent for too long, and
// returns when the connection is closed.
func (c *Conn) writeLoop() {
	ticker := time.NewTicker(HeartbeatInterval)
	defer ticker.Stop()
	ticksWithoutWrite := 0 // consecutive ticks without a write
	for {
		var heartbeat []byte
		select {
		case <-c.done:
			return
		case <-c.wake:
		case <-ticker.C:
			idle := c.pending.Load() == 0
			if c.isPeerSilent(time.Now().UnixNano(), idle) {
				c.Close(ErrPeerSilent)
				return
			}
			ticksWithoutWrite++
			if !c.isHeartbeatDue(ticksWithoutWrite, idle) {
				continue
			}
			heartbeat = c.encodeHeartbeat()
			countSent(heartbeat)
		}
		wrote, err := c.writeQueued(heartbeat)
		if wrote {
			ticksWithoutWrite = 0
		}
		if err != nil {
			c.Close(err)
			return
		}
	}
}

// isPeerSilent reports whether the peer has been silent for too long at now, in Unix nanoseconds. idle is true if no replies are pending.
// The short timeout starts when replies became pending, since the peer sent heartbeats less often until then.
func (c *Conn) isPeerSilent(now int64, idle bool) bool {
	received := c.lastReceived.Load()
	if now-received > int64(IdleFactor*PeerTimeout) {
		return true
	}
	return !idle && now-max(received, c.pendingSince.Load()) > int64(PeerTimeout)
}

// pendingHeartbeatTicks is the number of ticks without a write after which a heartbeat is sent while replies are pending. It is not
// 1, because the first tick may come immediately after a write.
const pendingHeartbeatTicks = 2

// isHeartbeatDue reports whether a heartbeat has to be sent after ticksWithoutWrite consecutive ticks without a write.
func (c *Conn) isHeartbeatDue(ticksWithoutWrite int, idle bool) bool {
	switch {
	case c.alwaysHeartbeat:
		return true
	case idle:
		return ticksWithoutWrite >= IdleFactor
	}
	return ticksWithoutWrite >= pendingHeartbeatTicks
}

// writeQueued writes heartbeat, unless it is nil, and all queued frames.
func (c *Conn) writeQueued(heartbeat []byte) (wrote bool, err error) {
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	if c.writeClosed {
		return false, nil
	}
	var frames net.Buffers
	if heartbeat != nil {
		frames = append(frames, heartbeat)
	}
	c.mu.Lock()
	frames = append(frames, c.queue...)
	c.queue, c.queuedBytes = nil, 0
	c.mu.Unlock()
	if len(frames) == 0 {
		return false, nil
	}
	return true, c.writeAll(frames)
}

// writeAll writes frames in parts of up to maxWriteBytes, each with its own write deadline.
func (c *Conn) writeAll(frames net.Buffers) error {
	for len(frames) > 0 {
		part, rest := splitWrite(frames)
		frames = rest
		_ = c.netConn.SetWriteDeadline(time.Now().Add(c.writeTimeout)) // if it fails, the write fails too
		var err error
		if len(part) == 1 {
			_, err = c.netConn.Write(part[0])
		} else {
			_, err = part.WriteTo(c.netConn)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

// splitWrite splits off the next part to write, of up to maxWriteBytes. It modifies frames.
func splitWrite(frames net.Buffers) (part, rest net.Buffers) {
	size := 0
	for n, frame := range frames {
		size += len(frame)
		if size > maxWriteBytes {
			fits := len(frame) - (size - maxWriteBytes)
			part = append(part, frames[:n]...)
			part = append(part, frame[:fits])
			frames[n] = frame[fits:]
			return part, frames[n:]
		}
	}
	return frames, nil
}
