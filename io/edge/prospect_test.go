package edge

import (
	"testing"

	"github.com/matryer/is"

	"geraniumsaddle/core/quota"
)

// TestProspect guards against a request that waits at a holder without prospects while another one has its tokens.
func TestProspect(t *testing.T) {
	is := is.New(t)
	ascending := []quota.HoldResult{{}, {NextWriteMayCover: true}, {Granted: true}, {Granted: true, NextWriteMayCover: true}}
	for i, r := range ascending[1:] {
		is.True(prospect(r) >= prospect(ascending[i]))
	}
	is.True(prospect(ascending[2]) > prospect(ascending[1]))
	is.True(prospect(ascending[1]) > prospect(ascending[0]))
}
