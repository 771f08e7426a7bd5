package trace

import (
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
)

// MaxFileBytes bounds a trace file, so that a node that is traced and forgotten does not fill the disk.
const MaxFileBytes = 256 << 20

// maxFiles bounds the trace files of one name.
const maxFiles = 1000

// Create creates a file in dir for the trace of a pool of a node; pool may be "". It never overwrites a
// file: a node that starts again under its name gets the next number.
func Create(dir, node, pool string) (*os.File, error) {
	name := fileName(node)
	if pool != "" {
		name += "." + fileName(pool)
	}
	for n := range maxFiles {
		f, err := os.OpenFile(filepath.Join(dir, fmt.Sprintf("%s.%d.trace", name, n)), os.O_CREATE|os.O_EXCL|os.O_WRONLY, 0o644)
		if errors.Is(err, fs.ErrExist) {
			continue
		}
		if err != nil {
			return nil, fmt.Errorf("opening a trace: %w", err)
		}
		return f, nil
	}
	return nil, fmt.Errorf("%s holds %d traces of %s already", dir, maxFiles, name)
}

// fileName replaces what is not safe in a file's name.
func fileName(s string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '-', r == '_':
			return r
		}
		return '_'
	}, s)
}
