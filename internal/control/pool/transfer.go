package pool

import (
	"context"
	"time"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// Limits of token transfers between control instances.
const (
	// transferTimeout covers a round trip between regions and the time to answer; the node that asks waits 150 ms.
	transferTimeout = 80 * time.Millisecond
	// transferPause is how long a control instance that had no token to spare is not asked again for the same customer, so
	// that a customer beyond its limit costs few messages between regions.
	transferPause = time.Second
)

// shortage is the state of the transfers of one customer's tokens to this control instance.
type shortage struct {
	// inProgress says that another control instance is being asked.
	inProgress bool
	// lastEmpty is when a control instance last had no token to spare or did not answer, by its address.
	lastEmpty map[string]time.Time
}

// requestTransfer asks the next control instance that may have tokens of a customer to spare, and reports whether it sent any.
func (p *Pool) requestTransfer(ctx context.Context, c figpier.CustomerID, priority *int) bool {
	address, ok := p.nextDonor(c)
	if !ok {
		return false
	}
	bounded, cancel := context.WithTimeout(ctx, transferTimeout)
	defer cancel()
	var a message.TransferAnswer
	err := p.messenger.Request(bounded, address, figpier.MethodTransfer, message.TransferAsk{Customer: string(c), Priority: priority}, &a)
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.shortages[c]
	s.inProgress = false
	if err != nil || a.Tokens == 0 {
		s.lastEmpty[address] = p.clock.Now()
	}
	if err != nil {
		p.config.Log.WithError(err).WithField("control", address).Debug("a control instance did not answer a request for tokens")
		return false
	}
	p.quotas.Add(c, a.Tokens)
	return a.Tokens > 0
}

// nextDonor returns the address of a control instance to ask for a customer's tokens and marks the transfer as in progress. It returns false if one already is, or if all were asked within transferPause.
func (p *Pool) nextDonor(c figpier.CustomerID) (address string, ok bool) {
	now := p.clock.Now()
	controls := p.exchange.Controls()
	p.mu.Lock()
	defer p.mu.Unlock()
	s, known := p.shortages[c]
	if !known {
		s = &shortage{lastEmpty: map[string]time.Time{}}
		p.shortages[c] = s
	}
	if s.inProgress {
		return "", false
	}
	for _, control := range controls {
		at, asked := s.lastEmpty[control.Address()]
		if control.Address() != p.config.Address && (!asked || now.Sub(at) >= transferPause) {
			s.inProgress = true
			return control.Address(), true
		}
	}
	return "", false
}

// handleTransfer gives tokens that this pool can spare to another control instance, none while the registry has not settled.
func (p *Pool) handleTransfer(_ context.Context, decode figpier.Decode) (any, error) {
	var m message.TransferAsk
	if err := decode(&m); err != nil {
		return nil, err
	}
	now := p.clock.Now()
	c := figpier.CustomerID(m.Customer)
	limit, ok := p.limit(c)
	if !ok || !p.registry.Settled(now) {
		return message.TransferAnswer{}, nil
	}
	polling, all := p.registry.CountPolling(now)
	p.mu.Lock()
	defer p.mu.Unlock()
	return message.TransferAnswer{Tokens: p.quotas.TakeAll(now, c, limit, p.quotas.PoolShare(limit, polling, all), priorityOf(m.Priority))}, nil
}
