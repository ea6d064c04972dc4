package controller

import (
	"context"

	"ospreyslip/internal/leader"
)

// Status is a controller's status as shown to operators.
type Status struct {
	ControllerName string         `json:"node"`
	Zone           string         `json:"zone"`
	Leader         string         `json:"leader"` // as known to this controller; empty if unknown
	Leading        bool           `json:"leading"`
	LeaderStatus   *leader.Status `json:"view,omitempty"` // set only on the leader
}

// status returns this controller's status, including the leader's if this controller leads.
func (c *Controller) status(ctx context.Context) Status {
	return Status{
		ControllerName: c.settings.ControllerName, Zone: c.settings.Zone, Leader: c.elector.Leader(), Leading: c.elector.IsLeader(),
		LeaderStatus: c.leaderHandle.Status(ctx),
	}
}
