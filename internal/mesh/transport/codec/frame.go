// Package codec encodes the messages between the mesh's own processes: frames of FlatBuffers tables, packed header fields, and the
// kinds of calls. It is pure; package transport carries the frames.
package codec

import (
	"encoding/binary"
	"errors"
	"sync"

	flatbuffers "github.com/google/flatbuffers/go"

	"cranegrade/internal/mesh/transport/wire"
)

// ErrMalformedFrame says that bytes are no table of the schema: the connection that they came by is to be closed.
var ErrMalformedFrame = errors.New("malformed frame")

// Message is one of the tables of the union Body, as flatc's objects.
type Message struct {
	Type  wire.Payload
	Value any
}

// NewMessage names a message's type.
func NewMessage(v any) Message {
	switch v.(type) {
	case *wire.HelloT:
		return Message{wire.PayloadHello, v}
	case *wire.HeartbeatT:
		return Message{wire.PayloadHeartbeat, v}
	case *wire.RequestT:
		return Message{wire.PayloadRequest, v}
	case *wire.BodyChunkT:
		return Message{wire.PayloadBodyChunk, v}
	case *wire.ResponseT:
		return Message{wire.PayloadResponse, v}
	case *wire.WindowUpdateT:
		return Message{wire.PayloadWindowUpdate, v}
	case *wire.CancelT:
		return Message{wire.PayloadCancel, v}
	case *wire.RecordsT:
		return Message{wire.PayloadRecords, v}
	case *wire.ItemsT:
		return Message{wire.PayloadItems, v}
	case *wire.MembersT:
		return Message{wire.PayloadMembers, v}
	case *wire.RaftMessageT:
		return Message{wire.PayloadRaftMessage, v}
	case *wire.CallT:
		return Message{wire.PayloadCall, v}
	case *wire.CallReplyT:
		return Message{wire.PayloadCallReply, v}
	case *wire.MachinesInMaintenanceT:
		return Message{wire.PayloadMachinesInMaintenance, v}
	case *wire.ActivePolicyT:
		return Message{wire.PayloadActivePolicy, v}
	}
	panic("trunk: no message")
}

var builderPool = sync.Pool{New: func() any { return flatbuffers.NewBuilder(1 << 10) }}

// Encode makes a frame of a message: its length in four bytes, and the buffer.
func Encode(v any) []byte {
	m := NewMessage(v)
	b := builderPool.Get().(*flatbuffers.Builder)
	b.Reset()
	frame := wire.FrameT{Payload: &wire.PayloadT{Type: m.Type, Value: m.Value}}
	b.Finish(frame.Pack(b))
	p := b.FinishedBytes()
	out := make([]byte, 4+len(p))
	binary.LittleEndian.PutUint32(out, uint32(len(p)))
	copy(out[4:], p)
	if cap(b.Bytes) <= 64<<10 {
		builderPool.Put(b)
	}
	return out
}

// Packer is any of flatc's objects.
type Packer interface {
	Pack(*flatbuffers.Builder) flatbuffers.UOffsetT
}

// EncodeTable is a table by itself, for the body of an Ask or a record on disk.
func EncodeTable(t Packer) []byte {
	b := flatbuffers.NewBuilder(256)
	b.Finish(t.Pack(b))
	return b.FinishedBytes()
}

// DecodeTable has read a table out of bytes that may be anything; an offset that leads nowhere is ErrFrame.
func DecodeTable[T any](p []byte, read func([]byte) T) (v T, err error) {
	defer func() {
		if recover() != nil {
			err = ErrMalformedFrame
		}
	}()
	if len(p) < 8 {
		return v, ErrMalformedFrame
	}
	return read(p), nil
}

// Decode reads a frame without its length.
func Decode(p []byte) (Message, error) {
	return DecodeTable(p, func(p []byte) Message {
		frame := wire.GetRootAsFrame(p, 0).UnPack()
		if frame.Payload == nil {
			return Message{}
		}
		return Message{frame.Payload.Type, frame.Payload.Value}
	})
}
