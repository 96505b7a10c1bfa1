package codec

import "strconv"

// FormatShare returns a share from 0 to 1 as a header's value, with three decimals.
func FormatShare(share float64) string { return strconv.FormatFloat(share, 'f', 3, 64) }

// ParseShare parses a value that FormatShare returned. Any other text, and a number out of range, is 0.
func ParseShare(text string) float64 {
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0 && share <= 1) {
		return 0
	}
	return share
}
