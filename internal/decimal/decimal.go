// Package decimal parses numbers that other programs send in headers.
package decimal

import (
	"strconv"
	"strings"
)

// maxLength bounds the length of a decimal number in text form, in bytes.
const maxLength = 32

// Parse parses a number in plain decimal notation, such as "4.3". It returns false for
// an empty or long text and for signs, exponents, infinities and other notations.
func Parse(text string) (float64, bool) {
	text = strings.TrimSpace(text)
	if text == "" || len(text) > maxLength || strings.Trim(text, "0123456789.") != "" {
		return 0, false
	}
	value, err := strconv.ParseFloat(text, 64)
	return value, err == nil
}
