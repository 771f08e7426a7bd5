package topology

import (
	"encoding/json"
	"io"

	"github.com/juju/errors"
)

// maxFileBytes is the maximum number of bytes that Load reads.
const maxFileBytes = 64 << 20

// ErrFormat is returned by Load for a file that was not written by Save, or by Save of another release.
const ErrFormat = errors.ConstError("no saved topology of this release")

// Save writes a topology as JSON, which Load reads.
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
