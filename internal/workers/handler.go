package workers

import (
	"context"
	"net/http"

	"github.com/go-json-experiment/json"
)

const maxBody = 64 << 10

// Handler takes in workers' reports.
type Handler struct {
	// HandleHeartbeat returns nil where this node has no right to answer.
	HandleHeartbeat func(context.Context, *Heartbeat) *HeartbeatResponse
	// Leader names the node to report to, if it is known and another one.
	Leader func() string
}

// Register adds the workers' path.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/report", h.report)
}

func (h *Handler) report(w http.ResponseWriter, r *http.Request) {
	var in Heartbeat
	if err := json.UnmarshalRead(http.MaxBytesReader(w, r.Body, maxBody), &in); err != nil || in.Machine == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if a := h.HandleHeartbeat(r.Context(), &in); a != nil {
		reply(w, http.StatusOK, a)
		return
	}
	if leader := h.Leader(); leader != "" {
		reply(w, http.StatusMisdirectedRequest, Redirect{Leader: leader})
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func reply(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}
