package config

import (
	"math/rand/v2"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

const (
	retryDelay    = 200 * time.Millisecond
	retryDelayMax = 5 * time.Second
)

// FeedEvent is one of ListPage, ListFailed, WatchEvent, WatchClosed and WatchCompacted.
type FeedEvent interface{ feedEvent() }

// ListPage is one page of a list, sorted by name.
type ListPage struct {
	Objects []Object
	// Version is the version of the list as the platform gave it with this page.
	Version ident.ObjectVersion
	Last    bool
}

// ListFailed says that a page could not be read. After bounds the next attempt if the platform gave a
// delay.
type ListFailed struct{ After time.Duration }

// WatchEvent is one change.
type WatchEvent struct{ Object Object }

// WatchClosed says that the watch ended without an answer of the platform that history is lost.
type WatchClosed struct{ After time.Duration }

// WatchCompacted says that the platform no longer has the history from the requested version.
type WatchCompacted struct{}

func (ListPage) feedEvent()       {}
func (ListFailed) feedEvent()     {}
func (WatchEvent) feedEvent()     {}
func (WatchClosed) feedEvent()    {}
func (WatchCompacted) feedEvent() {}

// FeedAction is ListFrom or WatchFrom.
type FeedAction interface{ feedAction() }

// ListFrom asks for the page after the given name. An empty name asks for the first page.
type ListFrom struct {
	Kind  object.Kind
	After string
}

// WatchFrom asks for all changes later than the version.
type WatchFrom struct {
	Kind    object.Kind
	Version ident.ObjectVersion
}

func (ListFrom) feedAction()  {}
func (WatchFrom) feedAction() {}

type feedState uint8

const (
	feedIdle feedState = iota
	feedListing
	feedWatching
	feedWaiting
)

// Feed brings one kind from the platform into a store: it lists, then watches from the list's version,
// resumes a lost watch at the last version seen, and relists only when history was compacted.
//
// Next gives the request that the caller must run. Events of a request that Stop or a newer request
// has replaced must not be passed in.
type Feed struct {
	store *Store
	kind  object.Kind
	rng   *rand.Rand

	state    feedState
	complete bool
	cursor   ident.ObjectVersion // the store is complete up to here
	listAt   ident.ObjectVersion
	listed   map[string]bool
	after    string
	failures int
	retryAt  time.Time
	heard    time.Time
}

// NewFeed returns an idle feed.
func NewFeed(store *Store, kind object.Kind, rng *rand.Rand) *Feed {
	return &Feed{store: store, kind: kind, rng: rng}
}

// Cursor returns the version up to which this feed has read the platform without a gap, and the time of
// its last answer. The version is zero before the first complete list and during a relist.
func (f *Feed) Cursor() (ident.ObjectVersion, time.Time) { return f.cursor, f.heard }

// Complete reports whether the feed has listed the kind and history was not compacted since.
func (f *Feed) Complete() bool { return f.complete }

// Stop abandons the running request. A later Next continues from the cursor.
func (f *Feed) Stop() { f.state, f.retryAt = feedIdle, time.Time{} }

// Next returns the request to start now, or nil while one runs or a delay lasts.
func (f *Feed) Next(now time.Time) FeedAction {
	if f.state == feedListing || f.state == feedWatching || now.Before(f.retryAt) {
		return nil
	}
	if f.complete {
		f.state = feedWatching
		return WatchFrom{Kind: f.kind, Version: f.cursor}
	}
	f.state = feedListing
	if f.after == "" {
		f.listed, f.listAt = make(map[string]bool), 0
	}
	return ListFrom{Kind: f.kind, After: f.after}
}

// RetryAt returns when Next will give a request again, or the zero time if it is not waiting.
func (f *Feed) RetryAt() time.Time {
	if f.state != feedWaiting {
		return time.Time{}
	}
	return f.retryAt
}

// Handle applies an event and returns the objects and deletion marks that were new to the store.
func (f *Feed) Handle(ev FeedEvent, now time.Time) []Object {
	switch ev := ev.(type) {
	case ListPage:
		return f.page(ev, now)
	case WatchEvent:
		f.ok(now)
		f.cursor = max(f.cursor, ev.Object.Version)
		return f.apply([]Object{ev.Object})
	case WatchClosed:
		f.wait(now, ev.After)
	case ListFailed:
		f.wait(now, ev.After)
	case WatchCompacted:
		f.heard = now
		f.complete, f.cursor, f.after = false, 0, ""
		f.wait(now, 0)
	}
	return nil
}

// page applies a page. The version of the first page counts for the whole list, because a change
// between two pages may be missing from the list and comes with the watch.
func (f *Feed) page(p ListPage, now time.Time) []Object {
	f.ok(now)
	f.state = feedIdle
	if f.listAt == 0 {
		f.listAt = p.Version
	}
	for _, o := range p.Objects {
		f.listed[o.Name] = true
		f.after = o.Name
	}
	changed := f.apply(p.Objects)
	if !p.Last && len(p.Objects) > 0 {
		return changed
	}
	changed = append(changed, f.store.Relisted(f.kind, f.listed, f.listAt)...)
	f.complete, f.cursor, f.listed, f.after = true, f.listAt, nil, ""
	return changed
}

func (f *Feed) apply(objs []Object) []Object {
	var changed []Object
	for _, o := range objs {
		if o.Kind == f.kind && f.store.Apply(o) == Applied {
			changed = append(changed, o)
		}
	}
	return changed
}

func (f *Feed) ok(now time.Time) { f.failures, f.heard = 0, now }

// wait delays the next request. The jitter spreads the watchers of a fleet after an outage.
func (f *Feed) wait(now time.Time, after time.Duration) {
	d := min(retryDelay<<min(f.failures, 10), retryDelayMax)
	f.failures++
	d = d/2 + time.Duration(f.rng.Int64N(int64(d)))
	f.state, f.retryAt = feedWaiting, now.Add(max(d, after))
}
