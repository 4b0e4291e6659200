package escrow

import (
	"context"
	"fmt"

	"geraniumsaddle/core/ident"
)

// WalletBudget is one budget of an organisation with the limits of traffic classes inside it.
type WalletBudget struct {
	Budget  ident.BudgetID
	Account *Account
	Classes map[ident.Class]*Account
}

// Wallet holds the accounts of an organisation's budgets in their order of use. The limit of a key or of a class has an
// entry and an account of its own, so it applies to the whole fleet like a budget. A wallet is not modified after it is
// built; a change of configuration builds another one with the same accounts.
type Wallet struct {
	Budgets []WalletBudget
	Keys    map[ident.KeyID]*Account
	// Freed is the signal that all accounts of the wallet notify.
	Freed *Signal
}

// Reservation is a hold on one budget and on the limits that apply to the request.
type Reservation struct {
	Budget ident.BudgetID
	Tokens ident.Tokens
	// accounts are the budget, the class limit and the key limit. The last two may be nil.
	accounts [3]*Account
}

// Refusal says why a request was refused. Entry is the first budget or limit that lacked tokens although its entry has
// enough left or, if there is none, the first that lacked tokens. It is empty if the organisation has no usable budget.
type Refusal struct {
	Entry EntryID
	Need  ident.Tokens
	Free  ident.Tokens
	// Err is the context error that ended the wait, or nil.
	Err error
}

// Error names the entry that lacked tokens.
func (r *Refusal) Error() string {
	if r.Entry == "" {
		return "no usable budget"
	}
	return fmt.Sprintf("%s has %d free tokens of %d needed", r.Entry, r.Free, r.Need)
}

// Unwrap returns the context error that ended the wait, or nil.
func (r *Refusal) Unwrap() error { return r.Err }

// Hold reserves n tokens on the first budget that has them. If it reports false, nothing is held.
func (w *Wallet) Hold(key ident.KeyID, class ident.Class, n ident.Tokens) (Reservation, bool) {
	r, _, ok := w.hold(key, class, n)
	return r, ok
}

// hold is Hold that also returns the account to wait for, which is nil if no budget is usable.
func (w *Wallet) hold(key ident.KeyID, class ident.Class, n ident.Tokens) (Reservation, *Account, bool) {
	keyLimit := w.Keys[key]
	if keyLimit != nil && !keyLimit.canHold(n) {
		return Reservation{}, keyLimit, false
	}
	var short *Account
	for i := range w.Budgets {
		b := &w.Budgets[i]
		r := Reservation{Budget: b.Budget, Tokens: n, accounts: [3]*Account{b.Account, b.Classes[class], keyLimit}}
		lacking := r.hold()
		if lacking == nil {
			return r, nil, true
		}
		// Waiting for an unusable account is useless. One whose entry has too little left is waited for only if there is no
		// other.
		if lacking.Usable() && (short == nil || short.exceedsRemaining(n) && !lacking.exceedsRemaining(n)) {
			short = lacking
		}
	}
	return Reservation{}, short, false
}

// canHold reports whether a hold would succeed now.
func (a *Account) canHold(n ident.Tokens) bool { return a.Usable() && a.Free() >= n }

// hold reserves the tokens on all accounts or on none, and returns the account that lacks tokens or nil. It checks
// all accounts before it reserves, because releasing a hold notifies waiters, and a waiting request would wake itself.
func (r *Reservation) hold() *Account {
	for _, a := range r.accounts {
		if a != nil && !a.canHold(r.Tokens) {
			return a
		}
	}
	for i, a := range r.accounts {
		if a == nil || a.Hold(r.Tokens) {
			continue
		}
		for _, held := range r.accounts[:i] {
			if held != nil {
				held.Release(r.Tokens)
			}
		}
		return a
	}
	return nil
}

// HoldWait reserves like Hold. If no budget has the tokens, it waits for settlements, transfers and grants until the
// context ends. The error is a *Refusal.
func (w *Wallet) HoldWait(ctx context.Context, key ident.KeyID, class ident.Class, n ident.Tokens) (Reservation, error) {
	var waitingOn *Account
	waitOn := func(on *Account) {
		if waitingOn == on {
			return
		}
		if waitingOn != nil {
			waitingOn.removeWaiting(n)
		}
		if on != nil {
			on.addWaiting(n)
		}
		waitingOn = on
	}
	defer waitOn(nil)
	for {
		ch := w.Freed.Wait()
		r, short, ok := w.hold(key, class, n)
		if ok {
			return r, nil
		}
		if short == nil {
			return Reservation{}, &Refusal{Need: n}
		}
		if short.exceedsRemaining(n) {
			waitOn(nil)
		} else {
			waitOn(short)
		}
		select {
		case <-ch:
		case <-ctx.Done():
			return Reservation{}, short.refuse(n, ctx.Err())
		}
	}
}

// refuse returns the refusal of a request. It counts the request as demand, so that a holder without tokens still asks
// for some, unless the entry cannot cover it.
func (a *Account) refuse(n ident.Tokens, err error) *Refusal {
	if !a.exceedsRemaining(n) {
		a.refused.Add(int64(n))
	}
	return &Refusal{Entry: a.cfg.Entry, Need: n, Free: a.Free(), Err: err}
}

// Settle ends the reservation on the budget and on the limits. It returns the used tokens above the
// reservation, and false if the reservation was already settled.
func (r Reservation) Settle(used ident.Tokens) (overBound ident.Tokens, ok bool) {
	for i, a := range r.accounts {
		if a == nil {
			continue
		}
		over, settled := a.Settle(r.Tokens, used)
		if i == 0 {
			overBound, ok = over, settled
		}
	}
	return overBound, ok
}

// Release ends the reservation without billing.
func (r Reservation) Release() bool {
	_, ok := r.Settle(0)
	return ok
}
