package operator

import (
	"fmt"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"
)

// table is a table of the document. Each method that reads a key marks it as known.
type table struct {
	f     *document
	path  string
	m     map[string]any
	known map[string]bool
}

func (t *table) at(key string) string { return join(t.path, key) }

func (t *table) fault(key, format string, args ...any) { t.f.fault(t.at(key), format, args...) }

func (t *table) get(key string) (any, bool) {
	t.known[key] = true
	v, is := t.m[key]
	return v, is
}

func (t *table) has(key string) bool { _, is := t.m[key]; return is }

// rejectUnknownKeys reports the keys that nobody asked for.
func (t *table) rejectUnknownKeys() {
	for key := range t.m {
		if !t.known[key] {
			t.fault(key, "unknown key%s", t.nearest(key))
		}
	}
}

// nearest names the known key that one was probably meant to be.
func (t *table) nearest(key string) string {
	best, least := "", 3
	for k := range t.known {
		if d := distance(key, k); d < least || d == least && best != "" && k < best {
			best, least = k, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; is %s meant?", best)
}

// distance is Levenshtein's.
func distance(a, b string) int {
	if len(a) > 40 || len(b) > 40 {
		return max(len(a), len(b))
	}
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := 1
			if a[i] == b[j] {
				cost = 0
			}
			diagonal, row[j+1] = row[j+1], min(row[j+1]+1, row[j]+1, diagonal+cost)
		}
	}
	return row[len(b)]
}

// read gets a value of type T, or def if the key is absent. what names the type in the fault.
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

func describe(v any) string {
	switch v := v.(type) {
	case string:
		return strconv.Quote(v[:min(len(v), 60)])
	case map[string]any:
		return "a table"
	case []any:
		return "an array"
	}
	return fmt.Sprint(v)
}

func as[T any](v any) (T, bool) { c, ok := v.(T); return c, ok }

func (t *table) text(key, def string) string { return read(t, key, "a string", def, as[string]) }

func (t *table) boolean(key string, def bool) bool {
	return read(t, key, "true or false", def, as[bool])
}

func (t *table) count(key string, def int64) int64 {
	return read(t, key, "a whole number of 0 or more", def, func(v any) (int64, bool) {
		n, ok := v.(int64)
		return n, ok && n >= 0
	})
}

// countBetween is count within bounds.
func (t *table) countBetween(key string, def, least, most int) int {
	n := t.count(key, int64(def))
	if n < int64(least) || n > int64(most) {
		t.fault(key, "%d is not between %d and %d", n, least, most)
		return def
	}
	return int(n)
}

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

// maxTime bounds every time in a file.
const maxTime = 24 * time.Hour

func (t *table) duration(key string, def time.Duration) time.Duration {
	return read(t, key, `a time as "250ms" or "1.5s", of a day at most`, def, func(v any) (time.Duration, bool) {
		s, ok := v.(string)
		if !ok {
			return 0, false
		}
		d, err := time.ParseDuration(s)
		return d, err == nil && d >= 0 && d <= maxTime
	})
}

// units of sizes in bytes.
var units = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}}

// bytes reads a number of bytes, or a string with a unit.
func (t *table) bytes(key string, def int64) int64 {
	return read(t, key, `a number of bytes, or one as "64KiB", "16MiB" or "1GiB"`, def, func(v any) (int64, bool) {
		switch v := v.(type) {
		case int64:
			return v, v >= 0
		case string:
			for _, u := range units {
				if s, is := strings.CutSuffix(v, u.suffix); is {
					n, err := strconv.ParseInt(strings.TrimSpace(s), 10, 64)
					return n * u.bytes, err == nil && n >= 0 && n <= math.MaxInt64/2/u.bytes
				}
			}
		}
		return 0, false
	})
}

// textList reads an array of strings.
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

// subtable reads a table; nil if it is absent.
func (t *table) subtable(key string) *table {
	m := read(t, key, "a table", nil, as[map[string]any])
	if m == nil {
		return nil
	}
	return &table{f: t.f, path: t.at(key), m: m, known: map[string]bool{}}
}

// tableOrEmpty reads a table, and an empty one if it is absent.
func (t *table) tableOrEmpty(key string) *table {
	if s := t.subtable(key); s != nil {
		return s
	}
	return &table{f: t.f, path: t.at(key), m: map[string]any{}, known: map[string]bool{}}
}

// subtables reads an array of tables.
func (t *table) subtables(key string) (l []*table) {
	for i, v := range read(t, key, "an array of tables", nil, as[[]any]) {
		at := fmt.Sprintf("%s[%d]", t.at(key), i)
		m, ok := v.(map[string]any)
		if !ok {
			t.f.fault(at, "a table is wanted, not %s", describe(v))
			continue
		}
		l = append(l, &table{f: t.f, path: at, m: m, known: map[string]bool{}})
	}
	return l
}

// choice reads one of the words of a map.
func choice[T any](t *table, key string, def T, words map[string]T) T {
	names := make([]string, 0, len(words))
	for w := range words {
		names = append(names, w)
	}
	slices.Sort(names)
	return read(t, key, "one of "+strings.Join(names, ", "), def, func(v any) (T, bool) {
		s, _ := v.(string)
		c, ok := words[s]
		return c, ok
	})
}
