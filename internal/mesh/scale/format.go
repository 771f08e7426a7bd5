package scale

import (
	"fmt"
	"math"
	"strings"
)

// none stands in a table where there is no figure.
const none = "—"

// exponent returns a fit's exponent with its standard error.
func exponent(g Growth) string {
	if !g.Fitted {
		return none
	}
	text := fmt.Sprintf("N^%.2f", g.Fit.Exponent)
	if !math.IsNaN(g.Fit.ExponentError) {
		text += fmt.Sprintf(" ± %.2f", g.Fit.ExponentError)
	}
	return text
}

// factorOfError returns the factor by which a prediction may be off.
func factorOfError(factor float64) string {
	if math.IsNaN(factor) {
		return none
	}
	return "×÷ " + digits(factor)
}

// format returns a figure with three digits and its unit.
func format(value float64, unit Unit) string {
	switch unit {
	case Bytes, BytesPerSecond:
		return formatBytes(value, unit)
	case CoreSeconds:
		return digits(value*1e6) + " µs"
	case Count:
		return digits(value)
	default:
		return digits(value) + " " + string(unit)
	}
}

// formatBytes returns a number of bytes with a decimal prefix.
func formatBytes(value float64, unit Unit) string {
	prefixes := []string{"", "k", "M"}
	for _, prefix := range prefixes {
		if math.Abs(value) < 1000 {
			return digits(value) + " " + prefix + string(unit)
		}
		value /= 1000
	}
	return digits(value) + " G" + string(unit)
}

// digits returns a number with three significant digits, and without an exponent below a thousand million.
func digits(value float64) string {
	switch size := math.Abs(value); {
	case size == 0:
		return "0"
	case size >= 1e9:
		return fmt.Sprintf("%.3g", value)
	case size >= 100:
		return fmt.Sprintf("%.0f", value)
	case size >= 10:
		return fmt.Sprintf("%.1f", value)
	case size >= 1:
		return fmt.Sprintf("%.2f", value)
	}
	return fmt.Sprintf("%.2g", value)
}

// list returns values separated by commas.
func list[T any](values []T) string {
	return strings.Trim(strings.ReplaceAll(fmt.Sprint(values), " ", ", "), "[]")
}
