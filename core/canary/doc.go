// Package canary runs canary releases in one failure domain. It counts the results of requests by version, raises the
// share of a new version in steps while the evidence is good, and takes the version back when it is bad.
//
// Traffic goroutines share a Recorder, which counts the results of requests. The control goroutine owns a Controller:
// it passes in releases, versions, evidence, verdicts and outcomes, calls Tick, and reads the traffic shares, the
// verdicts to send to peers and the outcomes to record. The decisions of a controller depend only on its inputs and
// their order; time is one of the inputs.
package canary
