package quota

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// Allowances is the object in which a holder declares how much it may spend without a further write.
type Allowances struct {
	Format int `json:"format"`
	// Sent is when the holder sent the write.
	Sent Moment `json:"sent"`
	// Clocks holds the times of day of other VMs, as last seen before Sent.
	Clocks map[ident.VMID]int64 `json:"clocks,omitempty"`
	// HoldOff is the time after Sent in which the holder spends no more than its allowance.
	HoldOff time.Duration             `json:"hold_off_ns"`
	Rows    map[ident.OrgID]Allowance `json:"rows,omitempty"`
}

// Allowance is what a holder may spend of one organisation's tokens, in total since its start.
type Allowance struct {
	// Limit is what the holder may always spend.
	Limit ident.Tokens `json:"limit"`
	// Growth is how much more the holder may spend in the first second after the hold-off time. In each further second it
	// is twice as much.
	Growth ident.Tokens `json:"growth,omitempty"`
}

// DecodeAllowances decodes stored allowances.
func DecodeAllowances(b []byte) (*Allowances, error) {
	var a Allowances
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decode allowances: %w", err)
	}
	if a.Format != Format {
		return nil, fmt.Errorf("%w: %d", ErrFormat, a.Format)
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

// bound returns up to which total a holder may have spent at an age of its allowances.
func (a Allowance) bound(age, holdOff time.Duration) ident.Tokens {
	return a.Limit + ident.Tokens(float64(a.Growth)*grown(age-holdOff))
}

// grown returns how many seconds of the growth have come at a time after the hold-off time. The growth starts slowly,
// because most crashed routers are back in the first second, and doubles its rate for those that were cut off.
func grown(d time.Duration) float64 {
	switch x := d.Seconds(); {
	case x <= 0:
		return 0
	case x <= 1:
		return x * x
	default:
		return 2*x - 1
	}
}

// grownAfter is the inverse of grown.
func grownAfter(seconds float64) time.Duration {
	x := (seconds + 1) / 2
	if seconds < 1 {
		x = math.Sqrt(max(seconds, 0))
	}
	return time.Duration(x * float64(time.Second))
}
