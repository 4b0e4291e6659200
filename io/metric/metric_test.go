package metric_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/io/metric"
)

// TestOrganisationLabelsAreBounded guards against a series per organisation.
func TestOrganisationLabelsAreBounded(t *testing.T) {
	is := is.New(t)
	reg := prometheus.NewRegistry()
	r := metric.New(reg)
	for i := range 31000 {
		r.BilledTokens("chat", ident.OrgID(fmt.Sprint("org", i)), 1)
	}
	r.Request("/", "", ident.OutcomeRun, "chat", "org30999", time.Millisecond)
	families, err := reg.Gather()
	is.NoErr(err)
	for _, f := range families {
		if f.GetName() == "geraniumsaddle_billed_tokens_total" {
			is.Equal(len(f.GetMetric()), metric.MaxOrgLabels+1) // the last one is "other"
		}
	}
}
