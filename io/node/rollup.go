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
	rollUpInterval = time.Hour
	// dayCloseDelay is the time after the end of a day at which its roll-up becomes final. Pages are written later than
	// that only while the platform is unavailable. Such a page counts for the day on which it is written.
	dayCloseDelay = 6 * time.Hour
	// rollUpDays is the number of past days that each roll-up run covers.
	rollUpDays = 7
	day        = 24 * time.Hour
)

// Statement implements admin.Fleet. It combines the stored roll-up with the sums of the pages of later days.
func (n *Node) Statement(ctx context.Context, org ident.OrgID, date time.Time) (bill.Statement, error) {
	m, _, err := n.loadMonth(ctx, org, date)
	if err != nil {
		return bill.Statement{}, err
	}
	for d := range n.openDays(m, date) {
		sums, err := n.daySums(ctx, d, []ident.OrgID{org})
		if err != nil {
			return bill.Statement{}, err
		}
		m.SetDay(sums[0])
	}
	return m.Statement(), nil
}

// openDays yields the days of a month that its roll-up does not include, up to today.
func (n *Node) openDays(m *bill.MonthRollup, date time.Time) func(yield func(time.Time) bool) {
	date = date.UTC()
	first := time.Date(date.Year(), date.Month(), 1, 0, 0, 0, 0, time.UTC)
	return func(yield func(time.Time) bool) {
		for d := first; d.Month() == first.Month() && !d.After(n.clock.Now().UTC()); d = d.Add(day) {
			if d.Format("20060102") > m.Through && !yield(d) {
				return
			}
		}
	}
}

// loadMonth reads the stored roll-up of an organisation, or returns an empty one if there is none.
func (n *Node) loadMonth(ctx context.Context, org ident.OrgID, date time.Time) (*bill.MonthRollup, ident.ObjectVersion, error) {
	m := bill.NewMonthRollup(org, date)
	o, err := n.platform.Get(ctx, m.Key())
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

// daySums sums the pages of a day for the organisations. It also reads the pages of the previous day, so that bills
// counted there are not counted again.
func (n *Node) daySums(ctx context.Context, d time.Time, orgs []ident.OrgID) ([]bill.DaySum, error) {
	days := make(map[ident.OrgID]*bill.DayRollup, len(orgs))
	for _, org := range orgs {
		days[org] = bill.NewDayRollup(org, d)
	}
	for _, date := range []time.Time{d.Add(-day), d} {
		err := n.eachBillPage(ctx, date, func(p *bill.Page) bool {
			seen := make(map[ident.OrgID]bool)
			for i := range p.Bills {
				org := p.Bills[i].Org
				if rollup := days[org]; rollup != nil && !seen[org] {
					seen[org] = true
					rollup.Add(p)
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

// rollUps runs the roll-up of past days and the removal of expired pages. It belongs to the control goroutine.
type rollUps struct {
	n         *Node
	startedAt time.Time
	running   bool
}

// tick starts a roll-up if it is due and this router is the one that rendezvous hashing gives the task.
func (r *rollUps) tick(now time.Time) {
	if r.running || now.Sub(r.startedAt) < rollUpInterval || member.Rank("rollup", r.n.members.roster.Load().all)[0] != r.n.id {
		return
	}
	r.startedAt, r.running = now, true
	v := r.n.view.Load()
	orgs := make([]ident.OrgID, 0, len(v.orgs))
	for id := range v.orgs {
		orgs = append(orgs, id)
	}
	slices.Sort(orgs)
	r.n.spawn(func(ctx context.Context) {
		if err := r.n.rollUp(ctx, now, orgs); err != nil {
			r.n.log.Warn("bills could not be rolled up; the next attempt is in an hour", "error", err)
		}
		r.n.post(funcEvent{func() { r.running = false }})
	})
}

// rollUp makes the roll-ups of the days final that ended at least dayCloseDelay ago, oldest first, and then removes
// expired pages.
func (n *Node) rollUp(ctx context.Context, now time.Time, orgs []ident.OrgID) error {
	last := now.UTC().Add(-dayCloseDelay).Truncate(day).Add(-day)
	for i := rollUpDays - 1; i >= 0; i-- {
		if err := n.closeDay(ctx, last.Add(-time.Duration(i)*day), orgs); err != nil {
			return err
		}
	}
	return n.expirePages(ctx, last, now)
}

// closeDay makes the roll-up of a day final for each organisation with bills on it.
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

// closeOrgDay adds the sum of a day to the stored roll-up of an organisation, unless the roll-up includes the day.
func (n *Node) closeOrgDay(ctx context.Context, org ident.OrgID, d time.Time, sum bill.DaySum) error {
	m, version, err := n.loadMonth(ctx, org, d)
	if err != nil || d.Format("20060102") <= m.Through {
		return err
	}
	m.SetDay(sum)
	m.Close(d)
	raw, err := m.Encode()
	if err != nil {
		return err
	}
	_, err = n.platform.Put(ctx, m.Key(), raw, store.Match(version))
	n.recordPlatformCall("put_bills", err)
	if errors.Is(err, store.ErrConflict) {
		return nil // Another router has updated the roll-up.
	}
	return err
}

// expirePages deletes the pages that are rolled up and older than bill.KeepPages.
func (n *Node) expirePages(ctx context.Context, through, now time.Time) error {
	after := ""
	for {
		list, err := n.platform.List(ctx, object.KindBills, after, listPageSize)
		n.recordPlatformCall("list", err)
		if err != nil {
			return err
		}
		for _, o := range list.Objects {
			id, err := bill.ParsePageID(o.Key.Name)
			if err != nil || !bill.Expired(id, through, now) {
				return nil // Names sort by day, so the remaining pages are newer.
			}
			_, err = n.platform.Delete(ctx, o.Key, store.Any())
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
