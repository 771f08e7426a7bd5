package resource

import (
	"slices"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"
)

// Numbers of the fields that are read from the serialized messages directly.
const (
	fieldClusterName = protowire.Number(1) // of ClusterLoadAssignment
	fieldEndpoints   = protowire.Number(2) // of ClusterLoadAssignment
	fieldLBEndpoints = protowire.Number(2) // of LocalityLbEndpoints
)

// splitField takes the values of one field of type bytes out of a serialized message. rest is the message
// without them; values are parts of text.
func splitField(text []byte, field protowire.Number) (rest []byte, values [][]byte, err error) {
	for len(text) > 0 {
		number, wireType, tagSize := protowire.ConsumeTag(text)
		if tagSize < 0 {
			return nil, nil, protowire.ParseError(tagSize)
		}
		valueSize := protowire.ConsumeFieldValue(number, wireType, text[tagSize:])
		if valueSize < 0 {
			return nil, nil, protowire.ParseError(valueSize)
		}
		if number == field && wireType == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(text[tagSize:])
			values = append(values, value)
		} else {
			rest = append(rest, text[:tagSize+valueSize]...)
		}
		text = text[tagSize+valueSize:]
	}
	return rest, values, nil
}

// assignmentName reads only the name of a serialized ClusterLoadAssignment, as far as the message is valid.
func assignmentName(text []byte) string {
	name := ""
	for len(text) > 0 {
		number, wireType, tagSize := protowire.ConsumeTag(text)
		if tagSize < 0 {
			return name
		}
		valueSize := protowire.ConsumeFieldValue(number, wireType, text[tagSize:])
		if valueSize < 0 {
			return name
		}
		if number == fieldClusterName && wireType == protowire.BytesType {
			value, _ := protowire.ConsumeBytes(text[tagSize:])
			name = string(value)
		}
		text = text[tagSize+valueSize:]
	}
	return name
}

// ignoredFields returns the names of the fields that are set in a message and not among those that are
// read, sorted.
func ignoredFields(message proto.Message, read ...string) (ignored []string) {
	reflected := message.ProtoReflect()
	fields := reflected.Descriptor().Fields()
	for i := range fields.Len() {
		field := fields.Get(i)
		if name := string(field.Name()); reflected.Has(field) && !slices.Contains(read, name) {
			ignored = append(ignored, name)
		}
	}
	slices.Sort(ignored)
	return ignored
}
