package workers

import (
	"context"
	"net/http"

	"github.com/go-json-experiment/json"

	"ospreyslip/internal/httpbody"
	"ospreyslip/internal/httpreply"
	"ospreyslip/internal/wirejson"
)

// maxHeartbeatBytes is the size from which a heartbeat is rejected. It is a multiple of the protocol's limit, as
// rejecting the heartbeats of a worker ends all its tasks.
const maxHeartbeatBytes = 16 * MaxMessageBytes

// Handler receives workers' heartbeats over HTTP. The server's goroutines call its functions
// concurrently.
type Handler struct {
	// HandleHeartbeat returns the response to a heartbeat, or nil if this controller must not respond to it.
	HandleHeartbeat func(context.Context, *Heartbeat) *HeartbeatResponse
	// Leader returns the name of the controller to send heartbeats to, or "" if it is unknown or
	// this controller itself.
	Leader func() string
}

// Register adds the endpoint for heartbeats to mux.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("POST /v1/report", h.serveHeartbeat)
}

// serveHeartbeat responds with status 200 and commands, 421 and the leader's name, 503 if no leader is
// known, 408 to a heartbeat that does not arrive whole, or 400 to a malformed one.
func (h *Handler) serveHeartbeat(w http.ResponseWriter, r *http.Request) {
	var heartbeat Heartbeat
	body := httpbody.NewReader(w, r, maxHeartbeatBytes)
	if err := wirejson.UnmarshalRead(body, &heartbeat); err != nil || heartbeat.Machine == "" {
		w.WriteHeader(httpbody.RejectionStatus(err))
		return
	}
	heartbeat.Bytes = body.BytesRead()
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
