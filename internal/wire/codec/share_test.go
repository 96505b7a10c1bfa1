package codec

import (
	"testing"

	"gotest.tools/v3/assert"
)

func TestShareOfAnyTextIsParsed(t *testing.T) {
	for text, want := range map[string]float64{
		"": 0, "x": 0, "-0.1": 0, "1.001": 0, "NaN": 0, "Inf": 0, "1e300": 0, "0": 0, "0.25": 0.25, "1": 1,
		FormatShare(0.3333): 0.333, FormatShare(1): 1,
	} {
		assert.Equal(t, ParseShare(text), want, "%q", text)
	}
}
