package operator

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// maxDuration bounds every duration in a file.
const maxDuration = 24 * time.Hour

// maxDescribed is how many bytes of a string a fault repeats.
const maxDescribed = 60

// table is a table of a file. Each method that reads a key marks it as known, so that rejectUnknownKeys can report the
// others. A value of a wrong type is a fault, and reads as the default.
type table struct {
	document *document
	path     string // "" for the root
	values   map[string]any
	known    map[string]bool // the keys that were asked for
}

// newTable returns a table none of whose keys has been read.
func newTable(d *document, path string, values map[string]any) *table {
	return &table{document: d, path: path, values: values, known: map[string]bool{}}
}

// pathOf returns the path of a key of this table.
func (t *table) pathOf(key string) string { return joinPath(t.path, key) }

// fault adds a fault of a key of this table.
func (t *table) fault(key, format string, args ...any) {
	t.document.fault(t.pathOf(key), format, args...)
}

// get returns the value of a key as the library decoded it, and marks the key as known.
func (t *table) get(key string) (any, bool) {
	t.known[key] = true
	v, ok := t.values[key]
	return v, ok
}

// has reports whether the file has the key. It does not mark the key as known.
func (t *table) has(key string) bool {
	_, ok := t.values[key]
	return ok
}

// sortedKeys returns the keys of the table in the order of their names, since TOML does not keep the file's order.
func (t *table) sortedKeys() []string {
	return slices.Sorted(maps.Keys(t.values))
}

// rejectUnknownKeys reports the keys that were not asked for.
func (t *table) rejectUnknownKeys() {
	for key := range t.values {
		if !t.known[key] {
			t.fault(key, "unknown key%s", t.suggestion(key))
		}
	}
}

// read returns the value of a key, converted to T, or def if the key is absent. If convert fails, that is a fault, and what
// describes in it the values that are allowed.
func read[T any](t *table, key, what string, def T, convert func(any) (T, bool)) T {
	v, is := t.get(key)
	if !is {
		return def
	}
	if c, ok := convert(v); ok {
		return c
	}
	t.fault(key, "%s is wanted, not %s", what, describe(v))
	return def
}

// describe returns a value as a fault shows it.
func describe(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v[:min(len(v), maxDescribed)])
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	}
	return fmt.Sprint(v)
}

// as is a conversion for read that accepts values of the type T.
func as[T any](v any) (T, bool) {
	c, ok := v.(T)
	return c, ok
}

// text reads a string.
func (t *table) text(key, def string) string { return read(t, key, "a string", def, as[string]) }

// boolean reads true or false.
func (t *table) boolean(key string, def bool) bool {
	return read(t, key, "true or false", def, as[bool])
}

// count reads a whole number that is not negative.
func (t *table) count(key string, def int64) int64 {
	return read(t, key, "a whole number of 0 or more", def, func(v any) (int64, bool) {
		n, ok := v.(int64)
		return n, ok && n >= 0
	})
}

// countBetween is count for a number from least to most. Outside it is a fault, and def is returned.
func (t *table) countBetween(key string, def, least, most int) int {
	n := t.count(key, int64(def))
	if n < int64(least) || n > int64(most) {
		t.fault(key, "%d is not between %d and %d", n, least, most)
		return def
	}
	return int(n)
}

// number reads a finite number that is not negative.
func (t *table) number(key string, def float64) float64 {
	return read(t, key, "a number of 0 or more", def, func(v any) (float64, bool) {
		switch v := v.(type) {
		case int64:
			return float64(v), v >= 0
		case float64:
			return v, v >= 0 && !math.IsInf(v, 0)
		}
		return 0, false
	})
}

// duration reads a duration in the form of time.ParseDuration, up to maxDuration.
func (t *table) duration(key string, def time.Duration) time.Duration {
	return read(t, key, `a time as "250ms" or "1.5s", of a day at most`, def, func(v any) (time.Duration, bool) {
		s, ok := v.(string)
		if !ok {
			return 0, false
		}
		d, err := time.ParseDuration(s)
		return d, err == nil && d >= 0 && d <= maxDuration
	})
}

// byteUnits are the units of numbers of bytes.
var byteUnits = []struct {
	suffix string
	bytes  int64
}{
	{"KiB", 1 << 10},
	{"MiB", 1 << 20},
	{"GiB", 1 << 30},
}

// bytes reads a number of bytes: a whole number, or a string with a unit.
func (t *table) bytes(key string, def int64) int64 {
	return read(t, key, `a number of bytes, or one as "64KiB", "16MiB" or "1GiB"`, def, func(v any) (int64, bool) {
		switch v := v.(type) {
		case int64:
			return v, v >= 0
		case string:
			for _, u := range byteUnits {
				if s, ok := strings.CutSuffix(v, u.suffix); ok {
					n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
					return n * u.bytes, err == nil && n >= 0 && n <= math.MaxInt64/2/u.bytes
				}
			}
		}
		return 0, false
	})
}

// textList reads an array of strings. It returns nil if the array is absent or empty.
func (t *table) textList(key string) []string {
	l := read(t, key, "an array of strings", nil, as[[]any])
	out := make([]string, 0, len(l))
	for i, v := range l {
		s, ok := v.(string)
		if !ok {
			t.fault(fmt.Sprintf("%s[%d]", key, i), "a string is wanted, not %s", describe(v))
		}
		out = append(out, s)
	}
	if len(out) == 0 {
		return nil
	}
	return out
}

// subtable reads a table. It returns nil if the table is absent.
func (t *table) subtable(key string) *table {
	values := read(t, key, "a table", nil, as[map[string]any])
	if values == nil {
		return nil
	}
	return newTable(t.document, t.pathOf(key), values)
}

// tableOrEmpty reads a table. It returns an empty one if the table is absent.
func (t *table) tableOrEmpty(key string) *table {
	if s := t.subtable(key); s != nil {
		return s
	}
	return newTable(t.document, t.pathOf(key), map[string]any{})
}

// subtables reads an array of tables.
func (t *table) subtables(key string) (tables []*table) {
	for i, v := range read(t, key, "an array of tables", nil, as[[]any]) {
		path := fmt.Sprintf("%s[%d]", t.pathOf(key), i)
		values, ok := v.(map[string]any)
		if !ok {
			t.document.fault(path, "a table is wanted, not %s", describe(v))
			continue
		}
		tables = append(tables, newTable(t.document, path, values))
	}
	return tables
}

// choice reads a string that is a key of words, and returns the value that it stands for.
func choice[T any](t *table, key string, def T, words map[string]T) T {
	names := slices.Sorted(maps.Keys(words))
	return read(t, key, "one of "+strings.Join(names, ", "), def, func(v any) (T, bool) {
		s, _ := v.(string)
		c, ok := words[s]
		return c, ok
	})
}
