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
	// Version is the list version that the platform returned with this page.
	Version ident.ObjectVersion
	Last    bool
}

// ListFailed reports that a page could not be read. After is the minimum delay of the next attempt, if the platform
// specified one.
type ListFailed struct{ After time.Duration }

// WatchEvent is a change received from a watch.
type WatchEvent struct{ Object Object }

// WatchClosed reports that the watch ended for a reason other than compacted history. After has the meaning of
// ListFailed.After.
type WatchClosed struct{ After time.Duration }

// WatchCompacted reports that the platform no longer has the history since the requested version.
type WatchCompacted struct{}

func (ListPage) feedEvent()       {}
func (ListFailed) feedEvent()     {}
func (WatchEvent) feedEvent()     {}
func (WatchClosed) feedEvent()    {}
func (WatchCompacted) feedEvent() {}

// FeedAction is ListFrom or WatchFrom.
type FeedAction interface{ feedAction() }

// ListFrom requests the page that follows the given name. An empty name requests the first page.
type ListFrom struct {
	Kind  object.Kind
	After string
}

// WatchFrom requests all changes after the version.
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

// Feed replicates one kind from the platform into a store. It lists the objects, then watches from the version of the
// list. It resumes a lost watch at the last version seen, and lists again only if the history was compacted.
//
// Next returns the request that the caller must run. The caller must not pass in events of a request that was stopped
// or replaced by a newer one.
type Feed struct {
	store *Store
	kind  object.Kind
	rng   *rand.Rand

	state       feedState
	complete    bool
	cursor      ident.ObjectVersion // the store has all changes up to this version
	listVersion ident.ObjectVersion
	listed      map[string]bool
	listAfter   string
	failures    int
	retryAt     time.Time
	lastAnswer  time.Time
}

// NewFeed returns an idle feed.
func NewFeed(store *Store, kind object.Kind, rng *rand.Rand) *Feed {
	return &Feed{store: store, kind: kind, rng: rng}
}

// Cursor returns the version up to which this feed has received all changes, and the time of the platform's last
// answer. The version is zero before the first complete list and during a relist.
func (f *Feed) Cursor() (ident.ObjectVersion, time.Time) { return f.cursor, f.lastAnswer }

// Complete reports whether the feed has a complete list and the history was not compacted since.
func (f *Feed) Complete() bool { return f.complete }

// Stop abandons the running request. The next call of Next continues from the cursor.
func (f *Feed) Stop() { f.state, f.retryAt = feedIdle, time.Time{} }

// Next returns the request to start now, or nil while a request is running or the retry delay has not passed.
func (f *Feed) Next(now time.Time) FeedAction {
	if f.state == feedListing || f.state == feedWatching || now.Before(f.retryAt) {
		return nil
	}
	if f.complete {
		f.state = feedWatching
		return WatchFrom{Kind: f.kind, Version: f.cursor}
	}
	f.state = feedListing
	if f.listAfter == "" {
		f.listed, f.listVersion = make(map[string]bool), 0
	}
	return ListFrom{Kind: f.kind, After: f.listAfter}
}

// RetryAt returns when Next will return a request again, or the zero time if the feed is not waiting to retry.
func (f *Feed) RetryAt() time.Time {
	if f.state != feedWaiting {
		return time.Time{}
	}
	return f.retryAt
}

// Handle applies an event and returns the objects and tombstones that were new to the store.
func (f *Feed) Handle(ev FeedEvent, now time.Time) []Object {
	switch ev := ev.(type) {
	case ListPage:
		return f.handlePage(ev, now)
	case WatchEvent:
		f.recordAnswer(now)
		f.cursor = max(f.cursor, ev.Object.Version)
		return f.apply([]Object{ev.Object})
	case WatchClosed:
		f.scheduleRetry(now, ev.After)
	case ListFailed:
		f.scheduleRetry(now, ev.After)
	case WatchCompacted:
		f.lastAnswer = now
		f.complete, f.cursor, f.listAfter = false, 0, ""
		f.scheduleRetry(now, 0)
	}
	return nil
}

// handlePage applies a page. The version of the first page is the version of the whole list: a change made between two
// pages may be missing from the list, and the watch from that version delivers it.
func (f *Feed) handlePage(page ListPage, now time.Time) []Object {
	f.recordAnswer(now)
	f.state = feedIdle
	if f.listVersion == 0 {
		f.listVersion = page.Version
	}
	for _, o := range page.Objects {
		f.listed[o.Name] = true
		f.listAfter = o.Name
	}
	changed := f.apply(page.Objects)
	if !page.Last && len(page.Objects) > 0 {
		return changed
	}
	changed = append(changed, f.store.DeleteUnlisted(f.kind, f.listed, f.listVersion)...)
	f.complete, f.cursor, f.listed, f.listAfter = true, f.listVersion, nil, ""
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

func (f *Feed) recordAnswer(now time.Time) { f.failures, f.lastAnswer = 0, now }

// scheduleRetry delays the next request. The jitter spreads the requests of all routers after an outage.
func (f *Feed) scheduleRetry(now time.Time, after time.Duration) {
	delay := min(retryDelay<<min(f.failures, 10), retryDelayMax)
	f.failures++
	delay = delay/2 + time.Duration(f.rng.Int64N(int64(delay)))
	f.state, f.retryAt = feedWaiting, now.Add(max(delay, after))
}
