package topology

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// maxFileBytes is the most that Load reads.
const maxFileBytes = 64 << 20

// ErrFormat is the error of Load for a file that Save has not written, or that Save of another release has written.
const ErrFormat = errors.ConstError("no saved topology of this release")

// Save writes a topology as JSON, for Load.
func (t Topology) Save(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(t)
}

// Load reads a topology that Save has written.
func Load(r io.Reader) (t Topology, err error) {
	if err := json.NewDecoder(io.LimitReader(r, maxFileBytes)).Decode(&t); err != nil {
		return t, errors.Annotate(err, "reading a saved topology")
	}
	if t.AskedMember == "" {
		return t, ErrFormat
	}
	return t, nil
}
