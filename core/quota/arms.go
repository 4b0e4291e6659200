package quota

import (
	"encoding/json"
	"fmt"
	"math"
	"time"

	"geraniumsaddle/core/ident"
)

// Arms is the object in which a holder declares how much it may spend without a further write.
type Arms struct {
	Format int `json:"format"`
	// Sent is when the holder sent the write.
	Sent Moment `json:"sent"`
	// Clocks holds the times of day of other VMs, as last seen before Sent.
	Clocks map[ident.VMID]int64 `json:"clocks,omitempty"`
	// Quiet is the time after Sent in which the holder spends no more than is armed.
	Quiet time.Duration       `json:"quiet_ns"`
	Rows  map[ident.OrgID]Arm `json:"rows,omitempty"`
}

// Arm is what a holder may spend of one organisation's tokens, in total since its start.
type Arm struct {
	Armed ident.Tokens `json:"armed"`
	// Growth is how much more the holder may spend in the first second after the Quiet time. In each further second it
	// is twice as much.
	Growth ident.Tokens `json:"growth,omitempty"`
}

// DecodeArms decodes stored arms.
func DecodeArms(b []byte) (*Arms, error) {
	var a Arms
	if err := json.Unmarshal(b, &a); err != nil {
		return nil, fmt.Errorf("decode arms: %w", err)
	}
	if a.Format != Format {
		return nil, fmt.Errorf("%w: %d", ErrFormat, a.Format)
	}
	return &a, nil
}

// Encode encodes the arms.
func (a *Arms) Encode() []byte {
	b, err := json.Marshal(a)
	if err != nil {
		panic(err) // A struct of numbers and strings always encodes.
	}
	return b
}

// bound returns up to which total a holder may have spent at an age of its arms.
func (a Arm) bound(age, quiet time.Duration) ident.Tokens {
	return a.Armed + ident.Tokens(float64(a.Growth)*grown(age-quiet))
}

// grown returns how many seconds of the growth have come at a time after the quiet time. The growth starts slowly,
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
