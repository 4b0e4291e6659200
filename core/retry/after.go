package retry

import (
	"math"
	"strconv"
	"strings"
	"time"
)

// MaxAfter is the longest time that a Retry-After header is taken to ask for.
const MaxAfter = time.Hour

// ParseAfter returns the time that the value of a Retry-After header asks for, in seconds that may have a fraction, at most
// MaxAfter. It returns zero for anything else: an empty value, a date, and a number that is negative or none.
func ParseAfter(v string) time.Duration {
	s, err := strconv.ParseFloat(strings.TrimSpace(v), 64)
	if err != nil || math.IsNaN(s) || s <= 0 {
		return 0
	}
	return time.Duration(min(s, MaxAfter.Seconds()) * float64(time.Second))
}
