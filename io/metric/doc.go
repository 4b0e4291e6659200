// Package metric holds the Prometheus collectors of a router. Label values are bounded: organisations
// beyond the first MaxOrgLabels share the label "other", so that 31,000 organisations do not become
// 31,000 series.
package metric
