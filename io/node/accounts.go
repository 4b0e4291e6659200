package node

import (
	"sync"

	"geraniumsaddle/core/escrow"
	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/object"
)

// account is an escrow account with the key of the shard that holds its entry.
type account struct {
	*escrow.Account
	shard object.Key
}

// accounts holds the router's escrow accounts. It is safe for concurrent use: traffic goroutines look up accounts and
// open those of a wallet, while the control goroutine reports and closes accounts.
type accounts struct {
	router       ident.RouterID
	budgetPolicy escrow.Policy
	slotPolicy   escrow.Policy
	// short is notified when a request waits for tokens or slots.
	short *escrow.Signal
	// slotFreed is notified when a slot of any target becomes free.
	slotFreed *escrow.Signal

	mu      sync.RWMutex
	byEntry map[escrow.EntryID]*account
	// opened counts the accounts ever opened for an entry. Each is a separate holder.
	opened       map[escrow.EntryID]uint64
	wallets      map[ident.OrgID]*cachedWallet
	tokensFreed  map[ident.OrgID]*escrow.Signal
	slotAccounts map[ident.TargetID]*account
	journalPeer  ident.RouterID
}

// cachedWallet is a wallet with the configuration that it was built from.
type cachedWallet struct {
	wallet *escrow.Wallet
	view   *view
}

func newAccounts(router ident.RouterID) *accounts {
	return &accounts{
		router: router, budgetPolicy: escrow.DefaultRecall, slotPolicy: escrow.SlotCover{},
		short: new(escrow.Signal), slotFreed: new(escrow.Signal),
		byEntry: make(map[escrow.EntryID]*account), opened: make(map[escrow.EntryID]uint64),
		wallets:      make(map[ident.OrgID]*cachedWallet),
		tokensFreed:  make(map[ident.OrgID]*escrow.Signal),
		slotAccounts: make(map[ident.TargetID]*account),
	}
}

// wallet returns the wallet of an organisation and opens its accounts.
func (a *accounts) wallet(v *view, org ident.OrgID) *escrow.Wallet {
	a.mu.RLock()
	cached := a.wallets[org]
	a.mu.RUnlock()
	if cached != nil && cached.view == v && !cached.stale() {
		return cached.wallet
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	w := a.buildWallet(v, org)
	a.wallets[org] = &cachedWallet{wallet: w, view: v}
	return w
}

// stale reports whether an account of the wallet is closed and must be replaced.
func (w *cachedWallet) stale() bool {
	for i := range w.wallet.Budgets {
		if w.wallet.Budgets[i].Account.Closed() {
			return true
		}
	}
	return false
}

// buildWallet opens the accounts of an organisation's budgets, class limits and key limits.
func (a *accounts) buildWallet(v *view, org ident.OrgID) *escrow.Wallet {
	o := v.orgs[org]
	freed := a.tokensFreed[org]
	if freed == nil {
		freed = new(escrow.Signal)
		a.tokensFreed[org] = freed
	}
	w := &escrow.Wallet{Keys: make(map[ident.KeyID]*escrow.Account), Freed: freed}
	for _, id := range o.Budgets {
		b, ok := v.budgets[id]
		if !ok || b.Org != org {
			continue
		}
		budget := escrow.WalletBudget{Budget: id, Account: a.openLedgerAccount(escrow.BudgetEntryID(id), freed).Account,
			Classes: make(map[ident.Class]*escrow.Account)}
		for _, l := range b.ClassLimits {
			budget.Classes[l.Class] = a.openLedgerAccount(escrow.ClassEntryID(id, l.Class), freed).Account
		}
		w.Budgets = append(w.Budgets, budget)
	}
	for _, k := range o.Keys {
		if k.LimitTokens > 0 && !k.Revoked {
			w.Keys[k.ID] = a.openLedgerAccount(escrow.KeyEntryID(org, k.ID), freed).Account
		}
	}
	return w
}

// openLedgerAccount returns the account of a ledger entry. It opens one if there is none or the last one is closed.
func (a *accounts) openLedgerAccount(id escrow.EntryID, freed *escrow.Signal) *account {
	return a.getOrOpen(id, escrow.LedgerKey(id), a.budgetPolicy, freed)
}

// getOrOpen returns the account of an entry in the given shard.
func (a *accounts) getOrOpen(id escrow.EntryID, shard object.Key, p escrow.Policy, freed *escrow.Signal) *account {
	acct := a.byEntry[id]
	if acct != nil && !acct.Closed() {
		return acct
	}
	number := a.opened[id]
	a.opened[id]++
	acct = &account{shard: shard, Account: escrow.NewAccount(escrow.AccountConfig{
		Entry: id, Holder: escrow.NewHolderID(a.router, number), Policy: p, Freed: freed, WaitStarted: a.short})}
	if a.journalPeer != "" {
		acct.SetJournalPeer(a.journalPeer)
	}
	a.byEntry[id] = acct
	return acct
}

// openSlotAccounts opens the slot accounts of the targets of the own failure domain.
func (a *accounts) openSlotAccounts(domain ident.DomainID, targets []ident.TargetID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, t := range targets {
		id := slotEntry(t)
		a.slotAccounts[t] = a.getOrOpen(id, escrow.SlotsKey(domain, t), a.slotPolicy, a.slotFreed)
	}
}

// slotAccount returns the slot account of a target, or nil.
func (a *accounts) slotAccount(t ident.TargetID) *account {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.slotAccounts[t]
}

// TryReserve takes a slot of a target. It implements target.Slots.
func (a *accounts) TryReserve(t ident.TargetID) bool {
	acct := a.slotAccount(t)
	return acct != nil && acct.Hold(1)
}

// Release returns a slot of a target. It implements target.Slots.
func (a *accounts) Release(t ident.TargetID) {
	if acct := a.slotAccount(t); acct != nil {
		acct.Release(1)
	}
}

// all returns the accounts, in no order.
func (a *accounts) all() []*account {
	a.mu.RLock()
	defer a.mu.RUnlock()
	out := make([]*account, 0, len(a.byEntry))
	for _, acct := range a.byEntry {
		out = append(out, acct)
	}
	return out
}

// find returns the account of an entry, or nil.
func (a *accounts) find(id escrow.EntryID) *account {
	a.mu.RLock()
	defer a.mu.RUnlock()
	return a.byEntry[id]
}

// drop removes an account that takes no more requests. Wallets that use it are rebuilt.
func (a *accounts) drop(old *account) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.byEntry[old.Entry()] == old {
		delete(a.byEntry, old.Entry())
	}
	for org, cached := range a.wallets {
		if cached.uses(old.Account) {
			delete(a.wallets, org)
		}
	}
}

// uses reports whether an account is one of the wallet's budgets or limits.
func (w *cachedWallet) uses(old *escrow.Account) bool {
	for i := range w.wallet.Budgets {
		b := &w.wallet.Budgets[i]
		if b.Account == old {
			return true
		}
		for _, c := range b.Classes {
			if c == old {
				return true
			}
		}
	}
	for _, k := range w.wallet.Keys {
		if k == old {
			return true
		}
	}
	return false
}

// setJournalPeer sets the journal peer on all accounts, including those opened later.
func (a *accounts) setJournalPeer(p ident.RouterID) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.journalPeer = p
	for _, acct := range a.byEntry {
		acct.SetJournalPeer(p)
	}
}
