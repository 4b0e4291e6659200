package cmds

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"geraniumsaddle/core/object"
	"geraniumsaddle/io/admin"
)

// printer writes the results of admin commands as tables or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

// table writes rows in aligned columns. The first row is the header.
func (p *printer) table(rows ...[]string) error {
	tw := tabwriter.NewWriter(p.w, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		if _, err := fmt.Fprintln(tw, strings.Join(r, "\t")); err != nil {
			return err
		}
	}
	return tw.Flush()
}

func (p *printer) encode(v any) error {
	enc := json.NewEncoder(p.w)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// changeResult is the JSON output of a change for which the API returns no object.
type changeResult struct {
	Result string `json:"result"`
	ID     string `json:"id"`
}

func (p *printer) changed(result, id string) error {
	if p.json {
		return p.encode(changeResult{result, id})
	}
	_, err := fmt.Fprintln(p.w, result, id)
	return err
}

// columnHeaders are the headers of the columns of each collection after ID and VERSION.
var columnHeaders = map[admin.Collection][]string{
	"organisations": {"NAME", "CLASS", "KEYS", "BUDGETS", "DISABLED"},
	"budgets":       {"ORGANISATION", "EXPIRES", "REVOKED", "CLASS LIMITS"},
	"targets":       {"KIND", "DOMAIN", "VM", "URL", "CAPACITY", "STATE", "VERSIONS"},
	"versions":      {"MODEL", "SERVICE", "SERVING", "WITHDRAWN", "WEIGHT BYTES"},
	"services":      {"ROUTES"},
	"releases":      {"START", "FINISH", "ADDED", "CHANGED", "WITHDRAWN"},
	"operators":     {"ROLE"},
}

// columnValues returns the values of an object for the columns after ID and VERSION.
func columnValues(v object.Value) []string {
	switch o := v.(type) {
	case *object.Organisation:
		return []string{o.Name, string(o.Class), fmt.Sprint(len(o.Keys)), fmt.Sprint(o.Budgets), fmt.Sprint(o.Disabled)}
	case *object.Budget:
		return []string{string(o.Org), formatTime(o.ExpiresAt), fmt.Sprint(o.Revoked), fmt.Sprint(len(o.ClassLimits))}
	case *object.Target:
		return []string{
			string(o.Kind), string(o.Domain), string(o.VM), o.URL, fmt.Sprint(o.Capacity), string(o.State), fmt.Sprint(o.Versions),
		}
	case *object.Version:
		return []string{orDash(string(o.Model)), orDash(string(o.Service)), fmt.Sprint(o.Serving), fmt.Sprint(o.Withdrawn), fmt.Sprint(o.WeightBytes)}
	case *object.Service:
		return []string{fmt.Sprint(len(o.Routes))}
	case *object.Release:
		return []string{formatTime(o.StartAt), formatTime(o.FinishAt), fmt.Sprint(len(o.Added)), fmt.Sprint(len(o.Changed)), fmt.Sprint(len(o.Withdrawn))}
	case *object.Operator:
		return []string{string(o.Role)}
	}
	return nil
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// page writes a page of a collection. For an object that cannot be decoded, such as one written by a newer release,
// only the ID and the version are shown.
func (p *printer) page(name admin.Collection, page admin.ItemPage) error {
	if p.json {
		return p.encode(page)
	}
	rows := [][]string{append([]string{"ID", "VERSION"}, columnHeaders[name]...)}
	for _, item := range page.Items {
		var id struct {
			ID string `json:"id"`
		}
		_ = json.Unmarshal(item.Value, &id)
		row := []string{id.ID, fmt.Sprint(item.Version)}
		if v, err := admin.Decode(name, item.Value); err == nil {
			row = append(row, columnValues(v)...)
		}
		rows = append(rows, row)
	}
	if err := p.table(rows...); err != nil {
		return err
	}
	return p.nextPage(page.Next)
}

func (p *printer) nextPage(after string) error {
	if after == "" {
		return nil
	}
	_, err := fmt.Fprintf(p.w, "more: --after %s\n", after)
	return err
}

func (p *printer) created(k admin.CreatedKey) error {
	if p.json {
		return p.encode(k)
	}
	if err := p.table([]string{"ID", "VERSION", "SECRET"}, []string{string(k.ID), fmt.Sprint(k.Version), k.Secret}); err != nil {
		return err
	}
	if k.Pending == "" {
		return nil
	}
	_, err := fmt.Fprintln(p.w, "pending:", k.Pending)
	return err
}

func (p *printer) ledger(v admin.LedgerView) error {
	if p.json {
		return p.encode(v)
	}
	err := p.table(
		[]string{"BUDGET", "PAID", "REFUNDED", "BILLED", "UNALLOTTED", "UNRESOLVED", "WRITTEN OFF", "REVOKED", "EXPIRES"},
		[]string{
			string(v.Budget), fmt.Sprint(v.Paid), fmt.Sprint(v.Refunded), fmt.Sprint(v.Billed), fmt.Sprint(v.Unallotted),
			fmt.Sprint(v.Unresolved), fmt.Sprint(v.WrittenOff), fmt.Sprint(v.Revoked), formatTime(v.ExpiresAt),
		})
	if err != nil || len(v.Holders)+len(v.UnresolvedItems) == 0 {
		return err
	}
	rows := [][]string{{"HOLDER", "GRANTED", "RETURNED", "SETTLED", "IN", "OUT", "UNRESOLVED", "REASON"}}
	for _, h := range v.Holders {
		rows = append(rows, []string{
			string(h.ID), fmt.Sprint(h.Granted), fmt.Sprint(h.Returned), fmt.Sprint(h.Settled), fmt.Sprint(h.In), fmt.Sprint(h.Out), "-", "-",
		})
	}
	for _, u := range v.UnresolvedItems {
		rows = append(rows, []string{orDash(string(u.Holder)), "-", "-", "-", "-", "-", fmt.Sprint(u.Tokens), u.Reason})
	}
	return p.table(rows...)
}

func (p *printer) audit(page admin.AuditPage) error {
	if p.json {
		return p.encode(page)
	}
	rows := [][]string{{"AT", "OPERATOR", "ACTION", "OBJECT", "RESULT"}}
	for _, i := range page.Items {
		a := i.Value
		rows = append(rows, []string{formatTime(a.At), a.Who, a.Action, string(a.Object.Kind) + "/" + a.Object.Name, a.Detail})
	}
	if err := p.table(rows...); err != nil {
		return err
	}
	return p.nextPage(page.Next)
}

func (p *printer) status(s admin.Status) error {
	if p.json {
		return p.encode(s)
	}
	platform := "platform reachable"
	if !s.Platform.Reachable {
		platform = "platform not reachable, last reply " + formatTime(s.Platform.LastReply)
	}
	if _, err := fmt.Fprintf(p.w, "as of %s, %s\n\n", formatTime(s.AsOf), platform); err != nil {
		return err
	}
	rows := [][]string{{"ROUTER", "DOMAIN", "STATE", "REACHABLE", "APPLIED"}}
	for _, r := range s.Routers {
		var applied []string
		for _, a := range r.Applied {
			applied = append(applied, fmt.Sprintf("%s=%d", a.Kind, a.Version))
		}
		rows = append(rows, []string{string(r.ID), string(r.Domain), r.State, fmt.Sprint(r.Reachable), orDash(strings.Join(applied, " "))})
	}
	rows = append(rows, []string{}, []string{"TARGET", "DOMAIN", "STATE", "SLOTS"})
	for _, t := range s.Targets {
		rows = append(rows, []string{string(t.ID), string(t.Domain), string(t.State), fmt.Sprint(t.FreeSlots)})
	}
	rows = append(rows, []string{}, []string{"RELEASE", "DOMAIN", "VERDICT", "REASON", "SHARE HERE"})
	for _, r := range s.Releases {
		share := fmt.Sprintf("%.0f%%", r.TrafficShare*100)
		if len(r.Domains) == 0 {
			rows = append(rows, []string{string(r.ID), "-", "-", "-", share})
		}
		for _, d := range r.Domains {
			rows = append(rows, []string{string(r.ID), string(d.Domain), string(d.Verdict), d.Reason, share})
		}
	}
	return p.table(rows...)
}
