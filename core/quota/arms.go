package quota

import (
	"encoding/json"
	"fmt"
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
	// Growth is how much more the holder may spend in each second after the Quiet time.
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
	return a.Armed + ident.Tokens(float64(a.Growth)*max(age-quiet, 0).Seconds())
}
