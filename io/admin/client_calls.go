package admin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"

	"github.com/gravitational/trace"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// ListOptions selects a page of a list.
type ListOptions struct {
	// After is Next of the previous page.
	After string
	// Limit is the maximum number of items; zero means the server's default.
	Limit int
}

func (o ListOptions) query() url.Values {
	q := url.Values{}
	if o.After != "" {
		q.Set("after", o.After)
	}
	if o.Limit > 0 {
		q.Set("limit", strconv.Itoa(o.Limit))
	}
	return q
}

// List returns a page of a collection, sorted by name.
func (c *Client) List(ctx context.Context, name Collection, o ListOptions) (ItemPage, error) {
	var out ItemPage
	err := c.call(ctx, apiRequest{method: http.MethodGet, path: []string{string(name)}, query: o.query()}, &out)
	return out, err
}

// Get returns an object with its version.
func (c *Client) Get(ctx context.Context, name Collection, id string) (Item, error) {
	var out Item
	err := c.call(ctx, apiRequest{method: http.MethodGet, path: []string{string(name), id}}, &out)
	return out, err
}

// Put stores an object under the precondition and returns it with its new version.
func (c *Client) Put(ctx context.Context, name Collection, id string, value json.RawMessage, pre Precondition) (Item, error) {
	var out Item
	err := c.call(ctx, apiRequest{
		method: http.MethodPut, path: []string{string(name), id}, header: pre.header(), body: value,
	}, &out)
	return out, err
}

// Delete deletes an object if it has the given version.
func (c *Client) Delete(ctx context.Context, name Collection, id string, v ident.ObjectVersion) error {
	if v == 0 {
		return trace.BadParameter("a version is required to delete an object")
	}
	return c.call(ctx, apiRequest{
		method: http.MethodDelete, path: []string{string(name), id}, header: Precondition{IfMatch: v}.header(),
	}, nil)
}

// CreateKey creates an API key. Only this response contains the secret.
func (c *Client) CreateKey(ctx context.Context, org ident.OrgID, k CreateKeyRequest) (CreatedKey, error) {
	var out CreatedKey
	err := c.post(ctx, []string{"organisations", string(org), "keys"}, nil, k, &out)
	return out, err
}

// RevokeKey permanently revokes an API key.
func (c *Client) RevokeKey(ctx context.Context, org ident.OrgID, id ident.KeyID) error {
	return c.call(ctx, apiRequest{method: http.MethodDelete, path: []string{"organisations", string(org), "keys", string(id)}}, nil)
}

// Ledger returns the state of the ledger entry of a budget.
func (c *Client) Ledger(ctx context.Context, id ident.BudgetID) (LedgerView, error) {
	var out LedgerView
	err := c.call(ctx, apiRequest{method: http.MethodGet, path: []string{"budgets", string(id), "ledger"}}, &out)
	return out, err
}

// TopUp adds paid tokens to a budget. A repeated call with the same idempotency key has no further effect.
func (c *Client) TopUp(ctx context.Context, id ident.BudgetID, key string, a Amount) (LedgerView, error) {
	return c.operate(ctx, id, "top-ups", key, a)
}

// Refund removes unallotted tokens from a budget. The idempotency key works as for TopUp.
func (c *Client) Refund(ctx context.Context, id ident.BudgetID, key string, a Amount) (LedgerView, error) {
	return c.operate(ctx, id, "refunds", key, a)
}

// Resolve releases or writes off unresolved tokens of a budget. The idempotency key works as for TopUp.
func (c *Client) Resolve(ctx context.Context, id ident.BudgetID, key string, r Resolution) (LedgerView, error) {
	return c.operate(ctx, id, "unresolved", key, r)
}

func (c *Client) operate(ctx context.Context, id ident.BudgetID, path, key string, body any) (LedgerView, error) {
	var out LedgerView
	h := http.Header{}
	h.Set("Idempotency-Key", key)
	err := c.post(ctx, []string{"budgets", string(id), path}, h, body, &out)
	return out, err
}

func (c *Client) post(ctx context.Context, path []string, h http.Header, body, out any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return trace.Wrap(err)
	}
	return c.call(ctx, apiRequest{method: http.MethodPost, path: path, header: h, body: raw}, out)
}

// Status returns the state of the fleet as seen by the router that serves the call.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	err := c.call(ctx, apiRequest{method: http.MethodGet, path: []string{"status"}}, &out)
	return out, err
}

// AuditItem is an audit record with its version.
type AuditItem struct {
	Version ident.ObjectVersion `json:"version"`
	Value   object.Audit        `json:"value"`
}

// AuditPage is one page of audit records, sorted by time.
type AuditPage struct {
	Items []AuditItem `json:"items"`
	Next  string      `json:"next,omitempty"`
}

// Audit returns a page of audit records. ListOptions.After may be the start of a time, such as "20261231T".
func (c *Client) Audit(ctx context.Context, o ListOptions) (AuditPage, error) {
	var out AuditPage
	err := c.call(ctx, apiRequest{method: http.MethodGet, path: []string{"audit"}, query: o.query()}, &out)
	return out, err
}

// StatementFormat is the encoding of a statement.
type StatementFormat string

// The formats of a statement.
const (
	StatementCSV  StatementFormat = "csv"
	StatementJSON StatementFormat = "json"
)

// Statement returns the encoded statement of an organisation for a month such as "2026-12".
func (c *Client) Statement(ctx context.Context, org ident.OrgID, month string, f StatementFormat) ([]byte, error) {
	return c.send(ctx, apiRequest{
		method: http.MethodGet, path: []string{"organisations", string(org), "statement"},
		query: url.Values{"month": {month}, "format": {string(f)}},
	})
}
