package operator

import (
	"slices"
	"strconv"

	"github.com/pelletier/go-toml/v2/unstable"
)

// keyLocator finds the line of each key of a TOML text. The library's decoding gives lines only for its own errors.
type keyLocator struct {
	lines       map[string]int // result, by the key's path
	lineEnds    []int          // offsets of the line ends in the text
	arrayLength map[string]int // elements so far of each array of tables, by its path
}

// keyLines returns the line of each key of a valid TOML text, by its path as in Fault.Key. Lines count from 1.
func keyLines(text []byte) map[string]int {
	l := keyLocator{lines: map[string]int{}, arrayLength: map[string]int{}}
	for i, c := range text {
		if c == '\n' {
			l.lineEnds = append(l.lineEnds, i)
		}
	}
	p := unstable.Parser{}
	p.Reset(text)
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		switch e.Kind {
		case unstable.KeyValue:
			l.keyValue(table, e)
		case unstable.Table, unstable.ArrayTable:
			table = l.tableHeader(e)
		default: // the parser gives no other kind of expression
		}
	}
	return l.lines
}

// tableHeader notes the line of a [table] or [[table]] and returns the path of the keys below it.
func (l *keyLocator) tableHeader(e *unstable.Node) (path string) {
	line := 0
	for key := e.Key(); key.Next(); {
		path = joinPath(l.currentElement(path), string(key.Node().Data))
		if line == 0 {
			line = l.lineOf(key.Node())
		}
	}
	if e.Kind == unstable.ArrayTable {
		l.arrayLength[path]++
		if l.arrayLength[path] == 1 {
			l.lines[path] = line
		}
	}
	path = l.currentElement(path)
	l.lines[path] = line
	return path
}

// currentElement returns the path of the last element if the path is that of an array of tables, and otherwise the path
// itself.
func (l *keyLocator) currentElement(path string) string {
	if n := l.arrayLength[path]; n > 0 {
		return path + "[" + strconv.Itoa(n-1) + "]"
	}
	return path
}

// lineOf returns the line of a node. The library's own function for it reads the text from its beginning each time.
func (l *keyLocator) lineOf(n *unstable.Node) int {
	i, _ := slices.BinarySearch(l.lineEnds, int(n.Raw.Offset))
	return i + 1
}

// keyValue notes the line of a key, which may be dotted, and of what is inside its value.
func (l *keyLocator) keyValue(table string, e *unstable.Node) {
	path, line := table, 0
	for key := e.Key(); key.Next(); {
		path = joinPath(path, string(key.Node().Data))
		line = l.lineOf(key.Node())
		if _, ok := l.lines[path]; !ok {
			l.lines[path] = line
		}
	}
	l.value(path, e.Value(), line)
}

// value notes the lines of what is inside an inline table or an array. line is that of the key.
func (l *keyLocator) value(path string, v *unstable.Node, line int) {
	switch v.Kind {
	case unstable.InlineTable:
		for it := v.Children(); it.Next(); {
			if it.Node().Kind == unstable.KeyValue {
				l.keyValue(path, it.Node())
			}
		}
	case unstable.Array:
		i := 0
		for it := v.Children(); it.Next(); i++ {
			element, n := path+"["+strconv.Itoa(i)+"]", it.Node()
			// A table or array has no place of its own in the library's tree: it gets the line of what is before it.
			if n.Kind != unstable.InlineTable && n.Kind != unstable.Array && n.Raw.Length > 0 {
				line = l.lineOf(n)
			}
			l.lines[element] = line
			l.value(element, n, line)
		}
	default: // nothing is inside a single value
	}
}
