package record

import "time"

// RestartGrace starts the coverage grace anew. A router calls it when its process runs again after a pause: its VM may
// have been declared gone meanwhile, and the silence during the pause does not show that the peer is lost.
func (j *Journal) RestartGrace(now time.Time) {
	for _, l := range j.links() {
		if now.After(l.lastAck) {
			l.lastAck = now
		}
	}
}
