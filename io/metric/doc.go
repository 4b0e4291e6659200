// Package metric holds the Prometheus collectors of a router. The number of label values is limited: organisations
// beyond the first MaxOrgLabels share the label "other", so that 31,000 organisations do not create 31,000 series.
package metric
