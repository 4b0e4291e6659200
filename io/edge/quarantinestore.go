package edge

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
	"geraniumsaddle/core/poison"
	"geraniumsaddle/io/store"
	"geraniumsaddle/platform"
)

// quarantineKeepers is the number of routers that write the quarantine to the store. More than one, because a keeper may be
// gone or cut off.
const quarantineKeepers = 2

// quarantineFormat is the version of the stored format that this program reads and writes. Unknown fields are ignored.
const quarantineFormat = 1

// quarantineKey is the key of the stored quarantine, from which routers begin when all of them have restarted.
var quarantineKey = object.Key{Kind: platform.KindQuarantine, Name: "main"}

// errQuarantineFormat means that a newer program has written the quarantine.
var errQuarantineFormat = errors.New("stored quarantine has an unknown format")

// storedQuarantine is the stored object.
type storedQuarantine struct {
	Format int          `json:"format"`
	Parts  []storedPart `json:"parts"`
}

// storedPart is a quarantined part. Since is in Unix milliseconds.
type storedPart struct {
	Service ident.ServiceID `json:"service"`
	Part    string          `json:"part"`
	Since   int64           `json:"since_ms"`
	Losses  int             `json:"losses"`
	Prompts int             `json:"prompts"`
	Strikes int             `json:"strikes"`
}

// runSaves writes the quarantine to the store after each change until the context ends.
func (g *poisonGuard) runSaves(ctx context.Context) {
	var cached cachedObject
	for {
		select {
		case <-ctx.Done():
			return
		case <-g.saveNow:
		}
		for failures := 0; ; failures++ {
			err := g.save(ctx, &cached)
			if err == nil || ctx.Err() != nil {
				break
			}
			g.s.storeMonitor.observe(err)
			g.s.deps.Log.Warn("quarantine not written to the store; trying again", "error", err)
			g.s.storeMonitor.backOff(ctx, failures)
		}
	}
}

// save writes the quarantine as this router knows it. What another keeper has written meanwhile is replaced, since both know
// the same after a moment.
func (g *poisonGuard) save(ctx context.Context, cached *cachedObject) error {
	lc := newLedgerClient(g.s)
	if !cached.known {
		if err := lc.readObject(ctx, quarantineKey, cached); err != nil {
			return err
		}
	}
	value, err := json.Marshal(g.stored())
	if err != nil {
		return fmt.Errorf("encode quarantine: %w", err)
	}
	err = lc.writeObject(ctx, quarantineKey, cached, value)
	g.s.deps.Metrics.countStoreCall("quarantine", err)
	return err
}

func (g *poisonGuard) stored() storedQuarantine {
	wall := g.s.deps.VMClock.Now().Wall
	out := storedQuarantine{Format: quarantineFormat, Parts: []storedPart{}}
	for _, q := range g.list() {
		out.Parts = append(out.Parts, storedPart{
			Service: q.Part.Service, Part: q.Part.ID, Since: wall - q.Age.Milliseconds(),
			Losses: q.Losses, Prompts: q.Prompts, Strikes: q.Strikes,
		})
	}
	return out
}

// load takes over the stored quarantine. A router that starts needs it if no other router is left that knows.
func (g *poisonGuard) load(ctx context.Context) {
	o, err := g.s.deps.Store.Get(ctx, quarantineKey)
	if errors.Is(err, store.ErrAbsent) {
		return
	}
	var stored storedQuarantine
	if err == nil {
		err = json.Unmarshal(o.Value, &stored)
	}
	if err == nil && stored.Format != quarantineFormat {
		err = errQuarantineFormat
	}
	if err != nil {
		g.s.deps.Log.Warn("stored quarantine not read; learning it from other routers", "error", err)
		return
	}
	var r poison.Report
	wall := g.s.deps.VMClock.Now().Wall
	for _, p := range stored.Parts {
		// The time of day may have jumped back since.
		age := time.Duration(max(wall-p.Since, 0)) * time.Millisecond
		r.Quarantines = append(r.Quarantines, poison.Quarantine{
			Part: poison.Part{Service: p.Service, ID: p.Part}, Age: age, LossAge: age,
			Losses: p.Losses, Prompts: p.Prompts, Strikes: p.Strikes,
		})
	}
	g.merge(r)
}
