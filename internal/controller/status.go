package controller

import (
	"context"

	"ospreyslip/internal/leader"
)

// Status is what a controller tells its operators.
type Status struct {
	Node    string         `json:"node"`
	Zone    string         `json:"zone"`
	Leader  string         `json:"leader"` // as this controller knows; empty if unknown
	Leading bool           `json:"leading"`
	View    *leader.Status `json:"view,omitempty"` // of the leader only
}

// status asks the event loop, if this controller leads.
func (c *Controller) status(ctx context.Context) Status {
	return Status{
		Node: c.settings.Node, Zone: c.settings.Zone, Leader: c.elector.Leader(), Leading: c.elector.IsLeader(),
		View: c.leaderHandle.Status(ctx),
	}
}
