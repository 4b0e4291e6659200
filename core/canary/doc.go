// Package canary decides the releases of one failure domain and records the evidence for them.
//
// Traffic goroutines share a Recorder, which counts the results of requests. The control goroutine
// owns a Controller: it feeds it with releases, versions, evidence, verdicts and outcomes, calls Tick,
// and reads the shares, the verdicts to spread and the outcomes to record. The controller is a pure
// function of its inputs in their order, and time is one of them.
package canary
