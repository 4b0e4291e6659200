// Package caller serves the HTTP API for callers: chat completions compatible with the OpenAI API, plain services,
// budgets and bills. It decodes and validates requests, passes them to a Backend and writes its answers and refusals.
// It keeps no state between requests.
package caller
