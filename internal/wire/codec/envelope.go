package codec

import (
	"encoding/base64"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// EncodeEnvelope returns the value of the header that carries a call's properties to another node: a packed message in
// base64. The deadline travels as the time that remains of it at now, because the nodes' clocks differ.
func EncodeEnvelope(c *figpier.Call, now time.Time) (string, error) {
	d := c.KeyDigest()
	data, err := pack(&message.Envelope{
		RequestId:       string(c.RequestID()),
		Customer:        string(c.Customer()),
		KeyDigest:       string(d[:]),
		Priority:        int(c.Priority()),
		Rank:            int(c.Rank()),
		RemainingMicros: int(c.Deadline().Sub(now).Microseconds()),
		Budget:          c.Budget(),
		IdempotencyKey:  string(c.IdempotencyKey()),
		Depth:           c.Depth(),
		Service:         string(c.Service()),
		CallerService:   string(c.CallerService()),
		Route:           c.Route(),
		Idempotent:      c.Idempotent(),
	})
	if err != nil {
		return "", err
	}
	return base64.RawURLEncoding.EncodeToString(data), nil
}

// DecodeEnvelope parses a header that EncodeEnvelope wrote, with the deadline counted from now. It fails for values out of
// range, because the header comes from another process.
func DecodeEnvelope(header string, now time.Time) (figpier.CallConfig, error) {
	data, err := base64.RawURLEncoding.DecodeString(header)
	if err != nil {
		return figpier.CallConfig{}, Error.New("envelope: %w", err)
	}
	var m message.Envelope
	if err := unpack(data, &m); err != nil {
		return figpier.CallConfig{}, err
	}
	if err := checkEnvelope(m); err != nil {
		return figpier.CallConfig{}, err
	}
	return figpier.CallConfig{
		RequestID:      figpier.RequestID(m.RequestId),
		Customer:       figpier.CustomerID(m.Customer),
		KeyDigest:      figpier.KeyDigest([]byte(m.KeyDigest)),
		Priority:       figpier.PriorityClass(m.Priority),
		Rank:           figpier.Rank(m.Rank),
		Deadline:       now.Add(time.Duration(m.RemainingMicros) * time.Microsecond),
		Budget:         m.Budget,
		IdempotencyKey: figpier.IdempotencyKey(m.IdempotencyKey),
		Depth:          m.Depth,
		Service:        figpier.UpstreamService(m.Service),
		CallerService:  figpier.UpstreamService(m.CallerService),
		Route:          m.Route,
		Idempotent:     m.Idempotent,
	}, nil
}

// checkEnvelope returns an error for values that no node sends. A key digest that is too short would make the conversion to
// a call panic.
func checkEnvelope(m message.Envelope) error {
	switch {
	case len(m.KeyDigest) != len(figpier.KeyDigest{}):
		return Error.New("envelope: a key digest of %d bytes", len(m.KeyDigest))
	case m.Priority < 0 || m.Priority > int(figpier.LowestPriority):
		return Error.New("envelope: priority %d is out of range", m.Priority)
	case m.Rank < 0 || m.Rank > int(figpier.MaxRank):
		return Error.New("envelope: rank %d is out of range", m.Rank)
	case m.Budget < 0 || m.Depth < 0:
		return Error.New("envelope: negative budget or depth")
	}
	return nil
}
