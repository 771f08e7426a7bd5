package scale

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"sort"
)

// ResultsDir is where results are committed, from the repository's root.
const ResultsDir = "docs/capacity"

// ReadAll reads all results in a folder, in the order of their names.
func ReadAll(dir string) (all []Results, err error) {
	paths, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return nil, err
	}
	sort.Strings(paths)
	for _, path := range paths {
		results, err := ReadResults(path)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
		all = append(all, results)
	}
	return all, nil
}

// ReadResults reads a file of results.
func ReadResults(path string) (results Results, err error) {
	text, err := os.ReadFile(path)
	if err == nil {
		err = json.Unmarshal(text, &results)
	}
	return results, err
}

// Write writes the results to a file.
func (r Results) Write(path string) error {
	text, err := json.MarshalIndent(r, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(text, '\n'), 0o644)
}
