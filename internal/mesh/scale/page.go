package scale

import (
	"errors"
	"fmt"
	"os"
	"strings"
)

// Marks between which the page's tables stand. What is outside is written by hand.
const (
	pageBegin = "<!-- begin of what `meshscale page` writes -->\n"
	pageEnd   = "<!-- end of what `meshscale page` writes -->\n"
)

// ErrMarks is the error of a page that does not hold the two marks in their order.
var ErrMarks = errors.New("the page holds no place for the tables")

// UpdatePage replaces the tables of a page. The error is ErrMarks, or that of reading or writing the file.
func UpdatePage(path string, all []Results) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	page, err := replaceTables(string(text), Tables(all))
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	return os.WriteFile(path, []byte(page), 0o644)
}

// replaceTables puts tables between the marks.
func replaceTables(page, tables string) (string, error) {
	before, rest, beginFound := strings.Cut(page, pageBegin)
	_, after, endFound := strings.Cut(rest, pageEnd)
	if !beginFound || !endFound {
		return "", ErrMarks
	}
	return before + pageBegin + tables + pageEnd + after, nil
}

// Tables returns the page's tables, in Markdown. They follow from the results alone.
func Tables(all []Results) string {
	var b strings.Builder
	writeNeeds(&b, all)
	writeRuns(&b, all)
	writeGrowth(&b, all)
	writeVaried(&b, all)
	for _, r := range all {
		if r.Comparison != nil {
			fmt.Fprintf(&b, "\n### Real and hollow sidecars (%s)\n\n%s", r.Experiment.Name, comparisonTable(*r.Comparison))
		}
	}
	return b.String()
}
