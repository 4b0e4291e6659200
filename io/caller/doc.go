// Package caller serves the HTTP API for callers: chat completions in the OpenAI form, plain services,
// budgets and bills. It decodes and checks requests, hands typed requests to a Backend and writes the
// answers and refusals. It holds no state between requests.
package caller
