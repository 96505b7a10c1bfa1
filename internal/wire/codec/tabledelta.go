package codec

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"strings"

	"github.com/zeebo/xxh3"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

// pieceEnd ends the pieces into which documents are split for their difference. Documents are JSON texts whose rows end with it.
const pieceEnd = "]"

// FromTableChange returns the difference between two routing tables as nodes get it, without their documents.
func FromTableChange(from, to *figpier.Table) (message.TableDelta, error) {
	base, next := fromTableWithoutDocument(from), fromTableWithoutDocument(to)
	d := message.TableDelta{Base: base.Number, Digest: tableDigest(next)}
	routes, err := diffList(base.Routes, next.Routes, jsonKey)
	if err != nil {
		return d, err
	}
	services, err := diffList(base.Services, next.Services, jsonKey)
	if err != nil {
		return d, err
	}
	accounts, err := diffList(base.Accounts, next.Accounts, jsonKey)
	if err != nil {
		return d, err
	}
	d.Routes, d.Services, d.Accounts = []message.RouteRun{}, []message.ServiceRun{}, []message.AccountRun{}
	for _, r := range routes {
		d.Routes = append(d.Routes, message.RouteRun{From: r.from, Count: r.count, Added: r.added})
	}
	for _, r := range services {
		d.Services = append(d.Services, message.ServiceRun{From: r.from, Count: r.count, Added: r.added})
	}
	for _, r := range accounts {
		d.Accounts = append(d.Accounts, message.AccountRun{From: r.from, Count: r.count, Added: r.added})
	}
	d.Head = next
	d.Head.Routes, d.Head.Services, d.Head.Accounts = []message.HostRoute{}, []message.TableService{}, []message.Account{}
	return d, nil
}

// FromTableChangeWithDocument returns the difference between two routing tables as control instances store it.
func FromTableChangeWithDocument(from, to *figpier.Table) (message.TableDelta, error) {
	d, err := FromTableChange(from, to)
	if err != nil {
		return d, err
	}
	runs, err := diffList(splitDocument(from.Document()), splitDocument(to.Document()), func(s string) (string, error) { return s, nil })
	if err != nil {
		return d, err
	}
	for _, r := range runs {
		w := message.DocumentRun{From: r.from, Count: r.count}
		if len(r.added) > 0 {
			text := base64.StdEncoding.EncodeToString([]byte(strings.Join(r.added, "")))
			w.Text = &text
		}
		d.Document = append(d.Document, w)
	}
	digest := FormatDocumentDigest(to.Document())
	d.DocumentDigest = &digest
	return d, nil
}

// ApplyTableChange returns the routing table that a difference makes of its base, without a document. It shares what is unchanged with
// the base. It fails if base is
// another table than that of the difference, or if the result is not the table that the sender has.
func ApplyTableChange(base *figpier.Table, d message.TableDelta) (*figpier.Table, error) {
	if base == nil || base.Number() != uint64(d.Base) {
		return nil, Error.New("the difference is from table %d, which is not the one here", d.Base)
	}
	head, err := ToTable(d.Head)
	if err != nil {
		return nil, err
	}
	from, c := base.Config(), head.Config()
	if c.Routes, err = applyRuns(from.Routes, routeRuns(d.Routes)); err != nil {
		return nil, err
	}
	if c.Services, err = applyRuns(from.Services, serviceRuns(d.Services)); err != nil {
		return nil, err
	}
	accounts, err := accountRuns(d.Accounts)
	if err != nil {
		return nil, err
	}
	if c.Accounts, err = applyRuns(from.Accounts, accounts); err != nil {
		return nil, err
	}
	t := figpier.NewTable(c)
	if digest := tableDigest(fromTableWithoutDocument(t)); digest != d.Digest {
		return nil, Error.New("the difference from table %d to table %d makes a table of digest %s, not %s", d.Base, t.Number(), digest, d.Digest)
	}
	return t, nil
}

// ApplyTableChangeWithDocument returns the routing table, with its document, that a difference makes of its base. It fails as
// ApplyTableChange does, and if the document is not the one that the sender has.
func ApplyTableChangeWithDocument(base *figpier.Table, d message.TableDelta) (*figpier.Table, error) {
	t, err := ApplyTableChange(base, d)
	if err != nil {
		return nil, err
	}
	var runs []listRun[string]
	for _, w := range d.Document {
		text, err := base64.StdEncoding.DecodeString(fromOptional(w.Text))
		if err != nil {
			return nil, Error.New("document of table %d: %w", t.Number(), err)
		}
		runs = append(runs, listRun[string]{from: w.From, count: w.Count, added: []string{string(text)}})
	}
	pieces, err := applyRuns(splitDocument(base.Document()), runs)
	if err != nil {
		return nil, err
	}
	c := t.Config()
	c.Document = []byte(strings.Join(pieces, ""))
	if digest := FormatDocumentDigest(c.Document); digest != fromOptional(d.DocumentDigest) {
		return nil, Error.New("the document of table %d has digest %s, not %s", t.Number(), digest, fromOptional(d.DocumentDigest))
	}
	return figpier.NewTable(c), nil
}

// FormatDocumentDigest returns the hash of a routing table's document in hexadecimal.
func FormatDocumentDigest(document []byte) string { return formatDigest(xxh3.Hash(document)) }

func formatDigest(hash uint64) string { return fmt.Sprintf("%016x", hash) }

// tableDigest returns the hash of a table's wire form. Wire forms can always be encoded.
func tableDigest(t message.Table) string {
	text, _ := json.Marshal(t)
	return formatDigest(xxh3.Hash(text))
}

func jsonKey[T any](item T) (string, error) {
	text, err := json.Marshal(item)
	return string(text), Error.Wrap(err)
}

func splitDocument(document []byte) []string { return strings.SplitAfter(string(document), pieceEnd) }

func routeRuns(list []message.RouteRun) []listRun[*figpier.HostRoute] {
	runs := make([]listRun[*figpier.HostRoute], 0, len(list))
	for _, w := range list {
		r := listRun[*figpier.HostRoute]{from: w.From, count: w.Count}
		for _, m := range w.Added {
			r.added = append(r.added, toHostRoute(m))
		}
		runs = append(runs, r)
	}
	return runs
}

func serviceRuns(list []message.ServiceRun) []listRun[*figpier.TableService] {
	runs := make([]listRun[*figpier.TableService], 0, len(list))
	for _, w := range list {
		r := listRun[*figpier.TableService]{from: w.From, count: w.Count}
		for _, m := range w.Added {
			r.added = append(r.added, toTableService(m))
		}
		runs = append(runs, r)
	}
	return runs
}

func accountRuns(list []message.AccountRun) ([]listRun[*figpier.Account], error) {
	runs := make([]listRun[*figpier.Account], 0, len(list))
	for _, w := range list {
		r := listRun[*figpier.Account]{from: w.From, count: w.Count}
		for _, m := range w.Added {
			a, err := toAccount(m)
			if err != nil {
				return nil, err
			}
			r.added = append(r.added, a)
		}
		runs = append(runs, r)
	}
	return runs, nil
}
