package operator

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// maxFileBytes bounds the length of a file.
const maxFileBytes = 8 << 20

// document is a file that is being made into a Plan. It collects every fault instead of ending at the first. The strict
// decoding of the TOML library ends at the first value of a wrong type, so it is not used: the file is decoded into a tree,
// whose tables report each key that nobody has read.
type document struct {
	name   string
	lines  map[string]int // line of each key, by its path
	faults Faults
}

// fault adds a fault of the key with that path.
func (d *document) fault(path, format string, args ...any) {
	d.faults = append(d.faults, Fault{
		File: d.name,
		Line: d.line(path),
		Key:  path,
		Text: fmt.Sprintf(format, args...),
	})
}

// line returns the line of a key, or of the nearest table around it that has one.
func (d *document) line(path string) int {
	for {
		if n, ok := d.lines[path]; ok || path == "" {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// decode reads the text and returns the table at its root. It reports false if the text is no TOML, which is then a fault.
func (d *document) decode(text []byte) (*table, bool) {
	if len(text) > maxFileBytes {
		d.fault("", "the file is longer than %d bytes", maxFileBytes)
		return nil, false
	}
	root := map[string]any{}
	if err := toml.Unmarshal(text, &root); err != nil {
		d.faults = append(d.faults, d.syntaxFault(err))
		return nil, false
	}
	d.lines = keyLines(text)
	return newTable(d, "", root), true
}

// syntaxFault returns an error of the TOML library as a fault.
func (d *document) syntaxFault(err error) Fault {
	fault := Fault{File: d.name, Text: err.Error()}
	var decodeError *toml.DecodeError
	if errors.As(err, &decodeError) {
		fault.Line, _ = decodeError.Position()
		fault.Key = strings.Join(decodeError.Key(), ".")
		fault.Text = strings.TrimPrefix(decodeError.Error(), "toml: ")
	}
	return fault
}

// joinPath returns the path of a key in the table with that path.
func joinPath(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}
