package quota

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// Allowances is the stored object that declares how much a holder may spend without a further write.
type Allowances struct {
	Format int `json:"format"`
	// Era is the latest era of the store that the holder knew of.
	Era ident.Era `json:"era,omitempty"`
	// Sent is when the holder sent the write.
	Sent Moment `json:"sent"`
	// Clocks holds the times of day of other VMs at Sent, extrapolated from their last observations, in Unix milliseconds.
	Clocks map[ident.VMID]int64 `json:"clocks,omitempty"`
	// HoldOff is the time after Sent in which the holder spends no more than Allowance.Limit.
	HoldOff time.Duration             `json:"hold_off_ns"`
	Rows    map[ident.OrgID]Allowance `json:"rows,omitempty"`
}

// Allowance is what a holder may spend of one organisation's tokens, in total since its start.
type Allowance struct {
	// Limit is what the holder may spend at any time.
	Limit ident.Tokens `json:"limit"`
	// Growth is how much more the holder may spend in the first second after the hold-off time. In each further
	// second it is twice as much.
	Growth ident.Tokens `json:"growth,omitempty"`
}

// DecodeAllowances decodes stored allowances.
func DecodeAllowances(b []byte) (*Allowances, error) {
	var a Allowances
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decode allowances: %w", err)
	}
	if a.Format != Format {
		return nil, fmt.Errorf("decode allowances: %w: %d", ErrFormat, a.Format)
	}
	return &a, nil
}

// Encode encodes the allowances.
func (a *Allowances) Encode() []byte {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // A struct of numbers and strings always encodes.
	}
	return b
}

// bound returns the total that a holder may have spent when its allowances have the given age.
func (a Allowance) bound(age, holdOff time.Duration) ident.Tokens {
	return a.Limit + ident.Tokens(float64(a.Growth)*growthSeconds(age-holdOff))
}

// growthDelay returns the time after which the allowance of the given age permits a total, and false if it never does.
func (a Allowance) growthDelay(total ident.Tokens, age, holdOff time.Duration) (time.Duration, bool) {
	if total <= a.Limit {
		return 0, true
	}
	if a.Growth <= 0 {
		return 0, false
	}
	return max(holdOff+growthTime(float64(total-a.Limit)/float64(a.Growth))-age, 0), true
}

// growthSeconds returns by how many seconds of Growth an allowance has grown at a time after the hold-off time. Growth
// starts slowly, because most crashed routers are back within the first second, and then runs at twice the rate for
// routers that are cut off from the store.
func growthSeconds(d time.Duration) float64 {
	switch x := d.Seconds(); {
	case x <= 0:
		return 0
	case x <= 1:
		return x * x
	default:
		return 2*x - 1
	}
}

// growthTime is the inverse of growthSeconds.
func growthTime(seconds float64) time.Duration {
	x := (seconds + 1) / 2
	if seconds < 1 {
		x = math.Sqrt(max(seconds, 0))
	}
	return time.Duration(x * float64(time.Second))
}
