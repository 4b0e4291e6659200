package admin

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// FuzzDecode guards against a body that makes Decode panic, and against an accepted object that changes or becomes
// invalid when it is encoded and decoded again. The seed corpus is in testdata/fuzz/FuzzDecode.
func FuzzDecode(f *testing.F) {
	f.Fuzz(func(t *testing.T, n uint8, raw []byte) {
		is := is.New(t)
		name := collections[int(n)%len(collections)].name
		o, err := Decode(name, raw)
		if err != nil {
			return
		}
		stored, err := json.Marshal(o)
		is.NoErr(err)
		again, err := Decode(name, stored)
		is.NoErr(err)
		second, err := json.Marshal(again)
		is.NoErr(err)
		is.Equal(string(stored), string(second))
	})
}
