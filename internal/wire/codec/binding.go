package codec

import (
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// FromBinding returns the wire form of a binding. It holds the time since the binding began rather than the moment, because
// clocks of machines differ.
func FromBinding(b figpier.Binding, now time.Time) message.Binding {
	return message.Binding{
		Kind:        string(b.Kind()),
		Service:     string(b.Service()),
		Customer:    string(b.Customer()),
		Place:       b.Place(),
		SinceMillis: int(now.Sub(b.Since()).Milliseconds()),
		Count:       b.Count(),
		Limit:       b.Limit(),
	}
}
