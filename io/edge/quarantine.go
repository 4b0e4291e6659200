package edge

import (
	"encoding/json"
	"net"
	"net/http"

	"geraniumsaddle/core/ident"
	"geraniumsaddle/core/poison"
)

// QuarantinePath is the path at the address for readiness checks at which operators list quarantined parts of prompts and
// lift a quarantine.
const QuarantinePath = "/quarantine"

// QuarantineEntry is a quarantined part of prompts.
type QuarantineEntry struct {
	Service ident.ServiceID `json:"service"`
	Part    string          `json:"part"`
	// AgeMS and TermMS are how long ago the part was quarantined and for how long, in milliseconds.
	AgeMS  int64 `json:"age_ms"`
	TermMS int64 `json:"term_ms"`
	// Losses is the number of targets that ended under requests with the part, Prompts the number of different prompts among
	// these, and Strikes how often the part has been quarantined.
	Losses  int `json:"losses"`
	Prompts int `json:"prompts"`
	Strikes int `json:"strikes"`
}

// listQuarantine answers with the quarantined parts.
func (s *Server) listQuarantine(w http.ResponseWriter, _ *http.Request) {
	entries := make([]QuarantineEntry, 0)
	for _, q := range s.poison.list() {
		entries = append(entries, QuarantineEntry{
			Service: q.Part.Service, Part: q.Part.ID, AgeMS: q.Age.Milliseconds(), TermMS: q.Term.Milliseconds(),
			Losses: q.Losses, Prompts: q.Prompts, Strikes: q.Strikes,
		})
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(entries); err != nil {
		s.deps.Log.Debug("list of quarantined parts not written", "error", err)
	}
}

// liftQuarantine lifts the quarantine of the part that the query names, on all routers. The address has no other access
// control, so it takes the request only from the VM itself.
func (s *Server) liftQuarantine(w http.ResponseWriter, r *http.Request) {
	if !fromSameVM(r) {
		http.Error(w, "a quarantine is lifted from the VM of the router only", http.StatusForbidden)
		return
	}
	part := poison.Part{Service: ident.ServiceID(r.URL.Query().Get("service")), ID: r.URL.Query().Get("part")}
	if !s.poison.lift(part) {
		http.Error(w, "the part is not quarantined", http.StatusNotFound)
		return
	}
	s.deps.Log.Warn("quarantine lifted by an operator", "service", part.Service, "part", part.ID)
	w.WriteHeader(http.StatusNoContent)
}

// fromSameVM reports whether a request came from the IP address at which it arrived.
func fromSameVM(r *http.Request) bool {
	local, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		return false
	}
	localHost, _, localErr := net.SplitHostPort(local.String())
	remoteHost, _, remoteErr := net.SplitHostPort(r.RemoteAddr)
	return localErr == nil && remoteErr == nil && localHost == remoteHost
}
