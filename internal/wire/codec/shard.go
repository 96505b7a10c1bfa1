package codec

import (
	"encoding/hex"
	"fmt"
	"hash/fnv"
	"strings"
	"time"

	"github.com/figpier/figpier/internal/policy/bucket"
	"github.com/figpier/figpier/internal/policy/claim"
	"github.com/figpier/figpier/internal/policy/shard"
	"github.com/figpier/figpier/internal/wire/message"
)

// memberSeparator separates the parts of a shard member's name.
const memberSeparator = "/"

// MemberName returns the name under which a process holds shards: its message address, its instance, and a name of the
// process that no later one of the instance has.
func MemberName(address, instance, process string) shard.MemberID {
	return shard.MemberID(strings.Join([]string{address, instance, process}, memberSeparator))
}

// MemberAddress returns the message address in a name that MemberName returned.
func MemberAddress(m shard.MemberID) string {
	address, _, _ := strings.Cut(string(m), memberSeparator)
	return address
}

// FromMemberIDs returns the wire form of shard members' names, nil for none.
func FromMemberIDs(members []shard.MemberID) []string {
	var names []string
	for _, m := range members {
		names = append(names, string(m))
	}
	return names
}

// ToMemberIDs converts shard members' names from their wire form, nil for none.
func ToMemberIDs(names []string) []shard.MemberID {
	var members []shard.MemberID
	for _, n := range names {
		members = append(members, shard.MemberID(n))
	}
	return members
}

// FromShardAssignment returns the wire form of a shard's assignment.
func FromShardAssignment(a *shard.Assignment) message.ShardAssignment {
	return message.ShardAssignment{
		Shard:   int(a.Shard()),
		Epoch:   int(a.Epoch()),
		Stream:  int(a.Stream()),
		Origin:  int(a.Origin()),
		Primary: string(a.Primary()),
		Backups: FromMemberIDs(a.Backups()),
		Joining: FromMemberIDs(a.Joining()),
	}
}

// ToShardAssignment converts a shard's assignment from its wire form.
func ToShardAssignment(m message.ShardAssignment) *shard.Assignment {
	return shard.NewAssignment(shard.AssignmentConfig{
		Shard:   shard.ID(m.Shard),
		Epoch:   shard.Epoch(m.Epoch),
		Stream:  shard.Epoch(m.Stream),
		Origin:  shard.Epoch(m.Origin),
		Primary: shard.MemberID(m.Primary),
		Backups: ToMemberIDs(m.Backups),
		Joining: ToMemberIDs(m.Joining),
	})
}

// FromShardAssignments returns the wire forms of assignments, an empty list for none.
func FromShardAssignments(all []*shard.Assignment) []message.ShardAssignment {
	wire := []message.ShardAssignment{}
	for _, a := range all {
		wire = append(wire, FromShardAssignment(a))
	}
	return wire
}

// ShardAssignmentsDigest returns a digest of the shards and epochs of assignments. A node sends the digest of those that it knows, and
// the assigner leaves the list out of its answer if the digest is still the same; the order counts.
func ShardAssignmentsDigest(all []*shard.Assignment) string {
	h := fnv.New64a()
	for _, a := range all {
		_, _ = fmt.Fprintf(h, "%d:%d,", a.Shard(), a.Epoch())
	}
	return hex.EncodeToString(h.Sum(nil))
}

// ToClaimKey parses a claim's key in hexadecimal, and returns false if it is not valid.
func ToClaimKey(text string) (claim.Key, bool) {
	var k claim.Key
	data, err := hex.DecodeString(text)
	if err != nil || len(data) != len(k) {
		return k, false
	}
	copy(k[:], data)
	return k, true
}

// FromClaimKey returns a claim's key in hexadecimal.
func FromClaimKey(k claim.Key) string { return hex.EncodeToString(k[:]) }

// FromClaimEntry returns the wire form of a claim, which holds its age at now instead of a time, because clocks differ.
func FromClaimEntry(k claim.Key, e claim.Entry, now time.Time) message.ClaimRecord {
	return message.ClaimRecord{
		Key:       FromClaimKey(k),
		State:     int(e.State()),
		Attempt:   string(e.Attempt()),
		AgeMillis: int(now.Sub(e.Since()).Milliseconds()),
	}
}

// ToClaimEntry converts a claim from its wire form, with its age counted back from now.
func ToClaimEntry(m message.ClaimRecord, now time.Time) claim.Entry {
	return claim.NewEntry(claim.EntryConfig{
		State:   claim.State(m.State),
		Attempt: claim.AttemptID(m.Attempt),
		Since:   now.Add(-time.Duration(m.AgeMillis) * time.Millisecond),
	})
}

// FromTokenAsk returns the wire form of a request for tokens. The caller sets the customer and the service.
func FromTokenAsk(a bucket.TokenRequestConfig) message.TokenAsk {
	m := message.TokenAsk{
		Holder:         string(a.Holder),
		Sequence:       int(a.Sequence),
		Target:         a.Target,
		Waiting:        a.Waiting,
		PatienceMicros: int(a.MaxWait.Microseconds()),
	}
	for _, r := range a.Reports {
		m.Reports = append(m.Reports, message.TokenReport{Sequence: int(r.Sequence), Spent: r.Spent, Closed: r.Closed})
	}
	return m
}

// ToTokenAsk converts a request for tokens from its wire form.
func ToTokenAsk(m message.TokenAsk) bucket.TokenRequestConfig {
	a := bucket.TokenRequestConfig{
		Holder:   bucket.HolderID(m.Holder),
		Sequence: uint64(m.Sequence),
		Target:   m.Target,
		Waiting:  m.Waiting,
		MaxWait:  time.Duration(m.PatienceMicros) * time.Microsecond,
	}
	for _, r := range m.Reports {
		a.Reports = append(a.Reports, bucket.LeaseReportConfig{Sequence: uint64(r.Sequence), Spent: r.Spent, Closed: r.Closed})
	}
	return a
}

// FromGrant returns the wire form of the answer of a shard's primary to a request for tokens.
func FromGrant(g bucket.Grant) *message.TokenGrant {
	return &message.TokenGrant{
		Acting:      true,
		Sequence:    int(g.Sequence()),
		Tokens:      g.Tokens(),
		LeaseMillis: int(g.LeaseTime().Milliseconds()),
		Empty:       g.Empty(),
		OverRate:    g.OverRate(),
		RetryMicros: int(g.RetryAfter().Microseconds()),
	}
}

// ToGrant converts the answer to a request for tokens from its wire form.
func ToGrant(m message.TokenGrant) bucket.Grant {
	return bucket.NewGrant(bucket.GrantConfig{
		Sequence:   uint64(m.Sequence),
		Tokens:     m.Tokens,
		LeaseTime:  time.Duration(m.LeaseMillis) * time.Millisecond,
		Empty:      m.Empty,
		OverRate:   m.OverRate,
		RetryAfter: time.Duration(m.RetryMicros) * time.Microsecond,
	})
}
