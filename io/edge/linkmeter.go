package edge

// checkLink passes the traffic of the last second to the shedder and logs when the link becomes busy and when it no
// longer is.
func (s *Server) checkLink() {
	now := s.deps.Clock.Now()
	rate := s.linkMeter.Rate(now)
	if !s.shedder.Observe(rate, now) {
		return
	}
	if s.shedder.Busy() {
		s.deps.Log.Warn("link is busy; taking no new callers", "bytes_per_s", rate, "capacity", s.cfg.LinkRate)
		return
	}
	s.deps.Log.Info("link is no longer busy", "bytes_per_s", rate, "capacity", s.cfg.LinkRate)
}
