package node

import (
	"context"
	"errors"
	"slices"
	"time"

	"geraniumsaddle/core/bill"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/member"
	"geraniumsaddle/core/object"
	"geraniumsaddle/io/store"
)

const (
	rollUpEvery = time.Hour
	// closeAfter is the age after its end at which a day is rolled up for good. Pages wait longer only while the
	// platform is away, and a later page counts with the day on which it is written.
	closeAfter = 6 * time.Hour
	// rollUpDays is the number of past days that a roll-up looks at.
	rollUpDays = 7
	day        = 24 * time.Hour
)

// Statement implements admin.Fleet: the stored roll-up and, for the days after it, the sums of the pages.
func (n *Node) Statement(ctx context.Context, org ident.OrgID, at time.Time) (bill.Statement, error) {
	m, _, err := n.month(ctx, org, at)
	if err != nil {
		return bill.Statement{}, err
	}
	for d := range n.openDays(m, at) {
		sums, err := n.daySums(ctx, d, []ident.OrgID{org})
		if err != nil {
			return bill.Statement{}, err
		}
		m.SetDay(sums[0])
	}
	return m.Statement(), nil
}

// openDays yields the days of a month that its roll-up has not closed, up to today.
func (n *Node) openDays(m *bill.MonthRollup, at time.Time) func(yield func(time.Time) bool) {
	at = at.UTC()
	first := time.Date(at.Year(), at.Month(), 1, 0, 0, 0, 0, time.UTC)
	return func(yield func(time.Time) bool) {
		for d := first; d.Month() == first.Month() && !d.After(n.clock.Now().UTC()); d = d.Add(day) {
			if d.Format("20060102") > m.Through && !yield(d) {
				return
			}
		}
	}
}

// month reads the stored roll-up of an organisation, or returns an empty one.
func (n *Node) month(ctx context.Context, org ident.OrgID, at time.Time) (*bill.MonthRollup, ident.ObjectVersion, error) {
	m := bill.NewMonthRollup(org, at)
	o, err := n.store.Get(ctx, m.Key())
	n.recordPlatformCall("get_bills", err)
	if errors.Is(err, store.ErrAbsent) {
		return m, 0, nil
	}
	if err != nil {
		return nil, 0, err
	}
	m, err = bill.DecodeMonth(o.Value)
	return m, o.Version, err
}

// daySums sums the pages of a day for the organisations. The pages of the day before mark bills that are counted there.
func (n *Node) daySums(ctx context.Context, d time.Time, orgs []ident.OrgID) ([]bill.DaySum, error) {
	days := make(map[ident.OrgID]*bill.DayRollup, len(orgs))
	for _, org := range orgs {
		days[org] = bill.NewDayRollup(org, d)
	}
	for _, at := range []time.Time{d.Add(-day), d} {
		err := n.eachPage(ctx, at, func(p *bill.Page) bool {
			seen := make(map[ident.OrgID]bool)
			for i := range p.Bills {
				org := p.Bills[i].Org
				if row := days[org]; row != nil && !seen[org] {
					seen[org] = true
					row.Add(p)
				}
			}
			return true
		})
		if err != nil {
			return nil, err
		}
	}
	out := make([]bill.DaySum, 0, len(orgs))
	for _, org := range orgs {
		out = append(out, days[org].Sum())
	}
	return out, nil
}

// rollUps closes past days and removes expired pages. It belongs to the control goroutine.
type rollUps struct {
	n       *Node
	at      time.Time
	running bool
}

func (r *rollUps) tick(now time.Time) {
	if r.running || now.Sub(r.at) < rollUpEvery || member.Rank("rollup", r.n.members.roster.Load().all)[0] != r.n.id {
		return
	}
	r.at, r.running = now, true
	v := r.n.view.Load()
	orgs := make([]ident.OrgID, 0, len(v.orgs))
	for id := range v.orgs {
		orgs = append(orgs, id)
	}
	slices.Sort(orgs)
	r.n.spawn(func(ctx context.Context) {
		if err := r.n.rollUp(ctx, now, orgs); err != nil {
			r.n.log.Warn("bills could not be rolled up; the next hour repeats it", "error", err)
		}
		r.n.post(callEvent{func() { r.running = false }})
	})
}

// rollUp closes the days that have ended long enough ago, oldest first, and then removes expired pages.
func (n *Node) rollUp(ctx context.Context, now time.Time, orgs []ident.OrgID) error {
	last := now.UTC().Add(-closeAfter).Truncate(day).Add(-day)
	for i := rollUpDays - 1; i >= 0; i-- {
		if err := n.closeDay(ctx, last.Add(-time.Duration(i)*day), orgs); err != nil {
			return err
		}
	}
	return n.expirePages(ctx, last, now)
}

func (n *Node) closeDay(ctx context.Context, d time.Time, orgs []ident.OrgID) error {
	sums, err := n.daySums(ctx, d, orgs)
	if err != nil {
		return err
	}
	for i, org := range orgs {
		if len(sums[i].Lines) == 0 {
			continue
		}
		if err := n.closeOrgDay(ctx, org, d, sums[i]); err != nil {
			return err
		}
	}
	return nil
}

func (n *Node) closeOrgDay(ctx context.Context, org ident.OrgID, d time.Time, sum bill.DaySum) error {
	m, version, err := n.month(ctx, org, d)
	if err != nil || d.Format("20060102") <= m.Through {
		return err
	}
	m.SetDay(sum)
	m.Close(d)
	raw, err := m.Encode()
	if err != nil {
		return err
	}
	_, err = n.store.Put(ctx, m.Key(), raw, store.Match(version))
	n.recordPlatformCall("put_bills", err)
	if errors.Is(err, store.ErrConflict) {
		return nil // Another router has rolled the day up.
	}
	return err
}

// expirePages removes the pages that are rolled up and older than the time for which they are kept.
func (n *Node) expirePages(ctx context.Context, through, now time.Time) error {
	after := ""
	for {
		list, err := n.store.List(ctx, object.KindBills, after, listPageSize)
		n.recordPlatformCall("list", err)
		if err != nil {
			return err
		}
		for _, o := range list.Objects {
			id, err := bill.ParsePageID(o.Key.Name)
			if err != nil || !bill.Expired(id, through, now) {
				return nil // Names sort by day, so the rest is younger.
			}
			_, err = n.store.Delete(ctx, o.Key, store.Any())
			n.recordPlatformCall("delete_bills", err)
			if err != nil && !errors.Is(err, store.ErrAbsent) {
				return err
			}
		}
		if list.Next == "" {
			return nil
		}
		after = list.Next
	}
}
