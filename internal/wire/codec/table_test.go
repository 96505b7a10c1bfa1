package codec

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
)

// TestTableWithoutAccountsKeepsItsNeedOfKeys guards against a node or a restarted control instance that reads a table whose last
// customer was removed as one that needs no keys.
func TestTableWithoutAccountsKeepsItsNeedOfKeys(t *testing.T) {
	account := figpier.NewAccount(figpier.AccountConfig{Customer: "valv", Keys: []figpier.KeyDigest{{1}}})
	tables := []*figpier.Table{
		figpier.NewTable(figpier.TableConfig{Number: 1, KeysRequired: true, Accounts: []*figpier.Account{account}, Document: []byte("[1]")}),
		figpier.NewTable(figpier.TableConfig{Number: 2, KeysRequired: true, Document: []byte("[2]")}),
		figpier.NewTable(figpier.TableConfig{Number: 3, Document: []byte("[3]")}),
	}
	wants := []bool{true, true, false}
	for i, next := range tables {
		whole, err := ToTable(FromTable(next))
		assert.NilError(t, err)
		assert.Equal(t, whole.Keyed(), wants[i], "table %d", next.Number())
		for _, base := range tables {
			change, err := FromTableChange(base, next)
			assert.NilError(t, err)
			changed, err := ApplyTableChange(base, change)
			assert.NilError(t, err)
			assert.Equal(t, changed.Keyed(), wants[i], "table %d from %d", next.Number(), base.Number())
			change, err = FromTableChangeWithDocument(base, next)
			assert.NilError(t, err)
			stored, err := ApplyTableChangeWithDocument(base, change)
			assert.NilError(t, err)
			assert.Equal(t, stored.Keyed(), wants[i], "stored table %d from %d", next.Number(), base.Number())
		}
	}
}
