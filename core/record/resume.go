package record

import "time"

// RestartGrace starts the coverage grace anew. A router calls it when its process ran again after a pause: while it was
// paused its VM may have been declared gone, and the time of the pause must not count as a sign that the peer is lost.
func (j *Journal) RestartGrace(now time.Time) {
	for _, l := range j.links() {
		if now.After(l.lastAck) {
			l.lastAck = now
		}
	}
}
