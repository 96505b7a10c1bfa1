package tablegate

import (
	"crypto/sha256"

	"github.com/figpier/figpier"
)

// decision is what one table says of a request.
type decision struct {
	// table is nil if there is none.
	table *figpier.Table
	// route is nil if the table has none for the request.
	route *figpier.HostRoute
	// account is the one whose key came with the request, and digest that of the key. The account is nil on an open route and in a table
	// without keys.
	account *figpier.Account
	digest  figpier.KeyDigest
	// denial is the reason why the table does not allow the request, empty if it does.
	denial figpier.RefusalReason
}

// decide returns what a table, nil for none, says of a request. It does not know the age of the table.
func decide(t *figpier.Table, a *figpier.Arrival) decision {
	d := decision{table: t}
	if t == nil {
		return d
	}
	var ok bool
	if d.route, ok = t.Route(a.Host(), a.Path()); !ok {
		return decision{table: t, denial: figpier.RefusalNoRoute}
	}
	if d.route.Open() || !t.Keyed() {
		return d
	}
	if len(a.Keys()) == 0 {
		d.denial = figpier.RefusalKeyMissing
		return d
	}
	// Keys are looked up by digest, so that the duration of a lookup reveals nothing about the secret.
	d.digest = sha256.Sum256([]byte(a.Keys()[0]))
	if d.account, ok = t.AccountOf(d.digest); !ok {
		d.denial = figpier.RefusalKeyUnknown
	}
	return d
}
