package operator

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// Fault is something wrong with a file.
type Fault struct {
	File string
	Line int    // from 1; 0: the file as a whole
	Key  string // as in the file, with indices from 0: pools[1].classes[0].effect; may be empty
	Text string
}

func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Key != "" {
		at += ": " + f.Key
	}
	return at + ": " + f.Text
}

// Faults are all that is wrong with a file, by line.
type Faults []Fault

func (l Faults) Error() string {
	texts := make([]string, len(l))
	for i, f := range l {
		texts[i] = f.Error()
	}
	return strings.Join(texts, "\n")
}

// maxFile is the most bytes that a file may have.
const maxFile = 8 << 20

// document is a document on its way to a Plan. It collects every fault instead of ending at the first, so
// the library's own strict decoding, which ends at the first value of a wrong type, is not used: the
// document is decoded as a tree, and every key that nobody asked for is a fault.
type document struct {
	name   string
	lines  map[string]int // of each key's path
	ends   []int          // offsets of the line ends
	faults Faults
}

func (f *document) fault(path, format string, args ...any) {
	f.faults = append(f.faults, Fault{f.name, f.line(path), path, fmt.Sprintf(format, args...)})
}

// line is where a path stands, or else the nearest one around it.
func (f *document) line(path string) int {
	for {
		if n, is := f.lines[path]; is || path == "" {
			return n
		}
		path = path[:max(strings.LastIndexAny(path, ".["), 0)]
	}
}

// parse reads the document's tree and where its keys stand.
func (f *document) parse(text []byte) (*table, bool) {
	if len(text) > maxFile {
		f.fault("", "the file is longer than %d bytes", maxFile)
		return nil, false
	}
	root := map[string]any{}
	if err := toml.Unmarshal(text, &root); err != nil {
		fault := Fault{File: f.name, Text: err.Error()}
		var d *toml.DecodeError
		if errors.As(err, &d) {
			fault.Line, _ = d.Position()
			fault.Key = strings.Join(d.Key(), ".")
			fault.Text = strings.TrimPrefix(d.Error(), "toml: ")
		}
		f.faults = append(f.faults, fault)
		return nil, false
	}
	f.locate(text)
	return &table{f: f, m: root, known: map[string]bool{}}, true
}

// locate notes the line of each key.
func (f *document) locate(text []byte) {
	f.lines = map[string]int{}
	f.ends = f.ends[:0]
	for i, c := range text {
		if c == '\n' {
			f.ends = append(f.ends, i)
		}
	}
	counts := map[string]int{} // of array tables, by path
	p := unstable.Parser{}
	p.Reset(text)
	at := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			f.locateValue(at, e)
		case unstable.Table, unstable.ArrayTable:
			at = ""
			line := 0
			for it := e.Key(); it.Next(); {
				if n := counts[at]; n > 0 {
					at += "[" + strconv.Itoa(n-1) + "]"
				}
				at = join(at, string(it.Node().Data))
				if line == 0 {
					line = f.lineOf(it.Node())
				}
			}
			if e.Kind == unstable.ArrayTable {
				counts[at]++
				if counts[at] == 1 {
					f.lines[at] = line
				}
			}
			if n := counts[at]; n > 0 {
				at += "[" + strconv.Itoa(n-1) + "]"
			}
			f.lines[at] = line
		default: // the parser gives no other kind of expression
		}
	}
}

// lineOf is the line of a node. The library's own way reads the text from its beginning each time.
func (f *document) lineOf(n *unstable.Node) int {
	i, _ := slices.BinarySearch(f.ends, int(n.Raw.Offset))
	return i + 1
}

func (f *document) locateValue(at string, kv *unstable.Node) {
	line := 0
	for it := kv.Key(); it.Next(); {
		at = join(at, string(it.Node().Data))
		line = f.lineOf(it.Node())
		if _, is := f.lines[at]; !is {
			f.lines[at] = line
		}
	}
	f.locateInside(at, kv.Value(), line)
}

func (f *document) locateInside(at string, v *unstable.Node, line int) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				f.locateValue(at, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			element := at + "[" + strconv.Itoa(i) + "]"
			n := it.Node()
			if n.Kind != unstable.InlineTable && n.Kind != unstable.Array && n.Raw.Length > 0 {
				line = f.lineOf(n)
			}
			f.lines[element] = line
			f.locateInside(element, n, line)
		}
	default: // a single value has nothing inside
	}
}

func join(at, key string) string {
	if at == "" {
		return key
	}
	return at + "." + key
}

// sorted are the faults by line, and by key in a line.
func (f *document) sorted() Faults {
	slices.SortStableFunc(f.faults, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Key, b.Key))
	})
	return f.faults
}
