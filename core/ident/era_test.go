package ident_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/ident"
)

func ExampleNewObjectVersion() {
	v, err := ident.NewObjectVersion(3, 1207)
	fmt.Println(v.LogValue(), v.Era(), v.Revision(), err)
	// Output: 3/1207 3 1207 <nil>
}

// TestVersionOrder guards against a version that changes on a platform without eras, against a revision of a later era
// that counts as older than one of an earlier era, and against one that spills into the era.
func TestVersionOrder(t *testing.T) {
	is := is.New(t)
	version := func(era ident.Era, revision uint64) ident.ObjectVersion {
		v, err := ident.NewObjectVersion(era, revision)
		is.NoErr(err)
		return v
	}
	is.Equal(version(0, 1<<63), ident.ObjectVersion(1<<63))
	is.Equal(version(0, 9).LogValue().String(), "9")
	is.Equal(version(7, 0), ident.ObjectVersion(0)) // an absent object
	is.True(version(2, 1) > version(1, 1<<44-1))
	for _, tc := range []struct {
		era      ident.Era
		revision uint64
	}{{1, 1 << 44}, {1 << 20, 1}} {
		_, err := ident.NewObjectVersion(tc.era, tc.revision)
		is.True(errors.Is(err, ident.ErrVersionRange))
	}
}
