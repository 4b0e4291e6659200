package canary

import "math"

// alternatives is the number of bad rates that a test looks for at once, from mild to gross.
const alternatives = 3

// doubt bounds the evidence against showing a version good, so that an old disturbance is outweighed
// by new requests.
const doubt = 2

// test is a sequential test of a rate. alarm holds a cumulative sum (CUSUM) of the log likelihood
// ratio for each bad rate. It restarts at zero, so that a fault that shows late is found as fast as
// an early one. good is the log likelihood ratio of the mildest bad rate over the good rate.
type test struct {
	alarm [alternatives]float64
	good  float64
	n, x  float64
}

// add takes n requests of which x had the fault. r is the reference rate; quiet leaves the alarm
// unchanged.
func (t *test) add(m Margins, n, x, r float64, quiet bool) {
	if n <= 0 {
		return
	}
	t.n += n
	t.x += x
	for i := range t.alarm {
		p0, p1 := r+m.Margin, min(r*m.Scale+m.Bad[i], 0.99)
		if quiet || p1 <= p0 {
			continue
		}
		t.alarm[i] = max(0, t.alarm[i]+ratio(n, x, p0, p1))
	}
	c := min(r, m.Cap)
	t.good = min(doubt, t.good+ratio(n, x, c+m.Margin, min(c*m.Scale+m.Bad[0], 0.99)))
}

// ratio is the log likelihood ratio of rate p1 over p0.
func ratio(n, x, p0, p1 float64) float64 {
	return x*math.Log(p1/p0) + (n-x)*math.Log((1-p1)/(1-p0))
}

func (t *test) bad(limit float64) bool {
	for _, a := range t.alarm {
		if a >= limit {
			return true
		}
	}
	return false
}

// restart begins the collection of evidence for the next step.
func (t *test) restart() { t.good, t.n, t.x = 0, 0, 0 }
