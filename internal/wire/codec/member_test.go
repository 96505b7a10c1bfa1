package codec

import (
	"encoding/json"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/figpier/figpier"
	"github.com/figpier/figpier/internal/wire/message"
)

func FuzzDecodeMember(f *testing.F) {
	whole, err := json.Marshal(FromMember(figpier.NewMember(figpier.MemberConfig{Instance: "a/1", Service: "s", Slots: 8, Sequence: 3})))
	assert.NilError(f, err)
	f.Add(whole)
	f.Add([]byte("null"))
	f.Add([]byte(`{"instance":"a","service":"s","dataCentre":"","region":"","peerAddress":"1.2.3.4:99999","messageAddress":"","slots":-9,"draining":false,"sequence":-1}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		var w message.Member
		if json.Unmarshal(text, &w) != nil {
			return
		}
		m := ToMember(w)
		_ = FormatMembersDigest([]*figpier.Member{m, m})
	})
}
