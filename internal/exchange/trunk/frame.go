package trunk

import (
	"encoding/binary"
	"sync"

	flatbuffers "github.com/google/flatbuffers/go"

	"hollyspur/internal/exchange/trunk/wire"
)

// Message is one of the tables of the union Body, as flatc's objects.
type Message struct {
	Type  wire.Body
	Value any
}

// Wrap names a message's type.
func Wrap(v any) Message {
	switch v.(type) {
	case *wire.HelloT:
		return Message{wire.BodyHello, v}
	case *wire.BeatT:
		return Message{wire.BodyBeat, v}
	case *wire.RequestT:
		return Message{wire.BodyRequest, v}
	case *wire.PieceT:
		return Message{wire.BodyPiece, v}
	case *wire.AnswerT:
		return Message{wire.BodyAnswer, v}
	case *wire.CreditT:
		return Message{wire.BodyCredit, v}
	case *wire.CancelT:
		return Message{wire.BodyCancel, v}
	case *wire.RecordsT:
		return Message{wire.BodyRecords, v}
	case *wire.ItemsT:
		return Message{wire.BodyItems, v}
	case *wire.MembersT:
		return Message{wire.BodyMembers, v}
	case *wire.VoteT:
		return Message{wire.BodyVote, v}
	case *wire.AskT:
		return Message{wire.BodyAsk, v}
	case *wire.ToldT:
		return Message{wire.BodyTold, v}
	case *wire.OutsT:
		return Message{wire.BodyOuts, v}
	case *wire.BoundT:
		return Message{wire.BodyBound, v}
	}
	panic("trunk: no message")
}

var builders = sync.Pool{New: func() any { return flatbuffers.NewBuilder(1 << 10) }}

// Encode makes a frame of a message: its length in four bytes, and the buffer.
func Encode(v any) []byte {
	m := Wrap(v)
	b := builders.Get().(*flatbuffers.Builder)
	b.Reset()
	f := wire.FrameT{Body: &wire.BodyT{Type: m.Type, Value: m.Value}}
	b.Finish(f.Pack(b))
	p := b.FinishedBytes()
	out := make([]byte, 4+len(p))
	binary.LittleEndian.PutUint32(out, uint32(len(p)))
	copy(out[4:], p)
	if cap(b.Bytes) <= 64<<10 {
		builders.Put(b)
	}
	return out
}

// Packer is any of flatc's objects.
type Packer interface {
	Pack(*flatbuffers.Builder) flatbuffers.UOffsetT
}

// Bytes is a table by itself, for the body of an Ask or a record on disk.
func Bytes(t Packer) []byte {
	b := flatbuffers.NewBuilder(256)
	b.Finish(t.Pack(b))
	return b.FinishedBytes()
}

// Parse has read a table out of bytes that may be anything; an offset that leads nowhere is ErrFrame.
func Parse[T any](p []byte, read func([]byte) T) (v T, err error) {
	defer func() {
		if recover() != nil {
			err = ErrFrame
		}
	}()
	if len(p) < 8 {
		return v, ErrFrame
	}
	return read(p), nil
}

// Decode reads a frame without its length.
func Decode(p []byte) (Message, error) {
	return Parse(p, func(p []byte) Message {
		f := wire.GetRootAsFrame(p, 0).UnPack()
		if f.Body == nil {
			return Message{}
		}
		return Message{f.Body.Type, f.Body.Value}
	})
}
