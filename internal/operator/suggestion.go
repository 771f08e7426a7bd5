package operator

import "fmt"

const (
	// maxSuggestionDistance is how many edits a known key may be away from an unknown one to be suggested for it.
	maxSuggestionDistance = 3
	// maxSuggestionLength bounds the length of keys that are compared, for the time that it takes.
	maxSuggestionLength = 40
)

// suggestion returns the end of a fault of an unknown key, which names the known key that is nearest to it.
// It is empty if none is near.
func (t *table) suggestion(key string) string {
	best, least := "", maxSuggestionDistance
	for known := range t.known {
		if d := editDistance(key, known); d < least || d == least && best != "" && known < best {
			best, least = known, d
		}
	}
	if best == "" {
		return ""
	}
	return fmt.Sprintf("; is %s meant?", best)
}

// editDistance returns the Levenshtein distance of two keys in bytes, or the longer one's length if one is too long.
func editDistance(a, b string) int {
	if len(a) > maxSuggestionLength || len(b) > maxSuggestionLength {
		return max(len(a), len(b))
	}
	row := make([]int, len(b)+1) // distances of the prefix of a that is done to each prefix of b
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
