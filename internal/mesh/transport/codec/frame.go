// Package codec encodes and decodes messages between the processes of the mesh: frames of FlatBuffers tables, packed header fields, and
// the kinds of calls. Package transport sends and receives the frames.
//
// Its functions have no side effects and are safe for concurrent use. The encoding must never change, because processes of other versions
// use it and members store it on disk; testdata/frames has recorded frames. The schema is transport/wire.fbs; the encoding is described
// at flatbuffers.dev, "Internals".
package codec

import (
	"encoding/binary"
	"fmt"
	"sync"

	flatbuffers "github.com/google/flatbuffers/go"
	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/wire"
)

// LengthBytes is the size of a frame's length prefix, a little-endian integer with the number of bytes that follow.
const LengthBytes = 4

// Sizes of buffers, in bytes.
const (
	initialFrameBytes = 1 << 10
	initialTableBytes = 256
	maxPooledBytes    = 64 << 10 // larger buffers are not returned to builderPool
	minTableBytes     = 8        // size of the shortest table
)

// ErrMalformedFrame means that bytes are not a table of the schema. The connection on which they were received has to be closed.
const ErrMalformedFrame = errors.ConstError("malformed frame")

// Message is the Payload of a frame, a FlatBuffers union. Value is a pointer to the generated object of the type. If only later versions
// know the type, Type is wire.PayloadNONE and Value is nil.
type Message struct {
	Type  wire.Payload
	Value any
}

// NewMessage returns the message for a generated object. It panics if the object's type is not a member of the union.
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
	panic(fmt.Sprintf("codec: %T is no message", v))
}

// builderPool reuses builders, with their buffers, for the next frame.
var builderPool = sync.Pool{New: func() any { return flatbuffers.NewBuilder(initialFrameBytes) }}

// Encode returns the frame of a message: the length prefix and the table Frame. v must be of a type that NewMessage accepts.
func Encode(v any) []byte {
	m := NewMessage(v)
	b := builderPool.Get().(*flatbuffers.Builder)
	b.Reset()
	table := wire.FrameT{Payload: &wire.PayloadT{Type: m.Type, Value: m.Value}}
	b.Finish(table.Pack(b))
	encoded := b.FinishedBytes()
	frame := make([]byte, LengthBytes+len(encoded))
	binary.LittleEndian.PutUint32(frame, uint32(len(encoded)))
	copy(frame[LengthBytes:], encoded)
	if cap(b.Bytes) <= maxPooledBytes {
		builderPool.Put(b)
	}
	return frame
}

// Decode decodes a frame without its length prefix. The message may share memory with p. The error is ErrMalformedFrame.
func Decode(p []byte) (Message, error) {
	return DecodeTable(p, func(p []byte) Message {
		frame := wire.GetRootAsFrame(p, 0).UnPack()
		if frame.Payload == nil {
			return Message{}
		}
		return Message{frame.Payload.Type, frame.Payload.Value}
	})
}

// Packer is implemented by every generated object.
type Packer interface {
	Pack(builder *flatbuffers.Builder) flatbuffers.UOffsetT
}

// EncodeTable encodes a table without a frame, such as the body of a call or a record on disk.
func EncodeTable(t Packer) []byte {
	b := flatbuffers.NewBuilder(initialTableBytes)
	b.Finish(t.Pack(b))
	return b.FinishedBytes()
}

// DecodeTable decodes a table without a frame from untrusted bytes. read is the generated reader, for example
// wire.GetRootAsItems(p, 0).UnPack(); its result may share memory with p. The error is ErrMalformedFrame.
func DecodeTable[T any](p []byte, read func([]byte) T) (v T, err error) {
	defer func() {
		if recover() != nil { // generated readers panic if an offset is out of range
			err = ErrMalformedFrame
		}
	}()
	if len(p) < minTableBytes {
		return v, ErrMalformedFrame
	}
	return read(p), nil
}
