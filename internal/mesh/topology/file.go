package topology

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// maxFileBytes bounds what Load reads.
const maxFileBytes = 64 << 20

// ErrFormat is a file that Save has not written, or that of another release has.
const ErrFormat = errors.ConstError("no saved topology of this release")

// Save writes a topology, for Load.
func (t Topology) Save(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

// Load reads what Save wrote.
func Load(r io.Reader) (t Topology, err error) {
	if err := json.NewDecoder(io.LimitReader(r, maxFileBytes)).Decode(&t); err != nil {
		return t, errors.Annotate(err, "reading a saved topology")
	}
	if t.AskedMember == "" {
		return t, ErrFormat
	}
	return t, nil
}
