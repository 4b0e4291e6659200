package quota

import "geraniumsaddle/core/ident"

// notHolder is the number of holders of an organisation in the view of a router that is none of them.
const notHolder = -1

// SetHolders sets how many routers hold an organisation's tokens, and whether this router is one of them. A router that
// is not gets no tokens without demand. By default all routers hold the tokens.
func (a *Accounts) SetHolders(org ident.OrgID, n int, self bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	acc := a.accountFor(org)
	acc.holders = n
	if !self {
		acc.holders = notHolder
	}
}

// holderCount returns the number of routers between which tokens are divided without demand.
func (a *Accounts) holderCount(holders int) int {
	if holders == 0 {
		return a.routerCount()
	}
	return max(holders, 1)
}

// Unused reports whether this router has nothing to claim: it is no holder, has no tokens and has told the ledgers so.
func (a *Accounts) Unused() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, acc := range a.orgs {
		if !acc.unused() {
			return false
		}
	}
	return true
}

// unused reports whether this router neither holds the organisation's tokens nor has used any. The first claim of a
// process covers every organisation nonetheless, because it closes the rows of the earlier processes of its VM.
func (acc *account) unused() bool {
	return acc.rowKnown && acc.holders == notHolder && acc.granted == 0 && acc.spent+acc.held+acc.want == 0 && acc.row == Row{}
}
