package controller

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"ospreyslip/internal/leader"
)

// Status is what a node tells its operators.
type Status struct {
	Node    string         `json:"node"`
	Zone    string         `json:"zone"`
	Leader  string         `json:"leader"` // as this node knows; empty if unknown
	Leading bool           `json:"leading"`
	View    *leader.Status `json:"view,omitempty"` // of the leader only
}

func (n *Controller) status(ctx context.Context) Status {
	return Status{
		Node: n.settings.Node, Zone: n.settings.Zone, Leader: n.elector.Leader(), Leading: n.elector.Valid(),
		View: n.gate.Status(ctx),
	}
}

// operatorHandler serves operators on the cluster listener.
func (n *Controller) operatorHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /status", func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), n.derived.UserWait)
		defer cancel()
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(n.status(ctx))
	})
	n.registerRecoveryHandlers(mux)
	reg := prometheus.NewRegistry()
	reg.MustRegister(&metricsCollector{n})
	mux.Handle("GET /metrics", promhttp.HandlerFor(reg, promhttp.HandlerOpts{}))
	return mux
}
