package workers

import (
	"context"
	"net/http"

	"github.com/go-json-experiment/json"

	"ospreyslip/internal/httpreply"
)

// maxHeartbeatBytes is the protocol's limit for a request body.
const maxHeartbeatBytes = 64 << 10

// Handler takes in workers' heartbeats over HTTP. Its functions are called by the server's
// goroutines, several at a time.
type Handler struct {
	// HandleHeartbeat returns nil where this node has no right to answer.
	HandleHeartbeat func(context.Context, *Heartbeat) *HeartbeatResponse
	// Leader names the node to send heartbeats to, if it is known and another one; else it
	// returns "".
	Leader func() string
}

// Register adds the workers' path.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/report", h.serveHeartbeat)
}

// serveHeartbeat answers 200 with commands, 421 with the leader's name, 503 where no leader
// is known, or 400.
func (h *Handler) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat Heartbeat
	body := http.MaxBytesReader(w, r.Body, maxHeartbeatBytes)
	if err := json.UnmarshalRead(body, &heartbeat); err != nil || heartbeat.Machine == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if response := h.HandleHeartbeat(r.Context(), &heartbeat); response != nil {
		writeJSON(w, http.StatusOK, response)
		return
	}
	if leader := h.Leader(); leader != "" {
		writeJSON(w, http.StatusMisdirectedRequest, Redirect{Leader: leader})
		return
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	httpreply.JSON(w, status, encoded, err)
}
