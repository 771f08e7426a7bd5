package scale

import (
	"fmt"
	"path/filepath"
	"sort"
)

// ResultsDir is where results are committed, from the repository's root.
const ResultsDir = "docs/capacity"

// ReadAll reads all results of a folder, in the order of their names.
func ReadAll(dir string) (l []Results, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	sort.Strings(paths)
	for _, p := range paths {
		r, err := ReadResults(p)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p, err)
		}
		l = append(l, r)
	}
	return l, nil
}
