// Package codec encodes the messages between the mesh's own processes: frames of FlatBuffers tables, packed header fields, and the
// kinds of calls. Package transport carries the frames.
//
// It is pure, and its functions may be called from any goroutine. The encoding must never change, because processes of other versions
// and the disks of members hold it; testdata/frames holds recorded frames. The schema is transport/wire.fbs; flatbuffers.dev,
// "Internals", describes the encoding of FlatBuffers.
package codec

import (
	"encoding/binary"
	"fmt"
	"sync"

	flatbuffers "github.com/google/flatbuffers/go"
	"github.com/juju/errors"

	"cranegrade/internal/mesh/transport/wire"
)

// LengthBytes is the size of a frame's length prefix, a little-endian integer that says how many bytes follow.
const LengthBytes = 4

// Sizes of buffers, in bytes.
const (
	initialFrameBytes = 1 << 10
	initialTableBytes = 256
	maxPooledBytes    = 64 << 10 // larger buffers are not kept for the next frame
	minTableBytes     = 8        // of the shortest table
)

// ErrMalformedFrame says that bytes are not a table of the schema. The connection that they came by has to be closed.
const ErrMalformedFrame = errors.ConstError("malformed frame")

// Message is a member of the union Payload of a frame. Value is a pointer to the generated object of its type. For a type that only later
// versions know, Type is wire.PayloadNONE and Value nil.
type Message struct {
	Type  wire.Payload
	Value any
}

// NewMessage returns the message with a generated object. It panics if the object is not a member of the union.
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

// builderPool holds builders whose buffers are used again for the next frame.
var builderPool = sync.Pool{New: func() any { return flatbuffers.NewBuilder(initialFrameBytes) }}

// Encode returns the frame of a message: the length prefix and the table Frame. v has one of the types of NewMessage.
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

// Packer is any generated object.
type Packer interface {
	Pack(builder *flatbuffers.Builder) flatbuffers.UOffsetT
}

// EncodeTable encodes a table without a frame, for the body of a call or a record on disk.
func EncodeTable(t Packer) []byte {
	b := flatbuffers.NewBuilder(initialTableBytes)
	b.Finish(t.Pack(b))
	return b.FinishedBytes()
}

// DecodeTable decodes a table without a frame from untrusted bytes. read is the generated reader, for example
// wire.GetRootAsItems(p, 0).UnPack(); its result may share memory with p. The error is ErrMalformedFrame.
func DecodeTable[T any](p []byte, read func([]byte) T) (v T, err error) {
	defer func() {
		if recover() != nil { // generated readers panic at an offset outside the bytes
			err = ErrMalformedFrame
		}
	}()
	if len(p) < minTableBytes {
		return v, ErrMalformedFrame
	}
	return read(p), nil
}
