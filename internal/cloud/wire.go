package cloud

import (
	"ospreyslip/internal/jobs"
)

// This file defines the bodies of the cloud's HTTP interface and their conversion. The cloud's names
// appear only here.

// wireError is the body of a response with a status other than 200.
type wireError struct {
	Error string `json:"error"`
}

// noCapacityMessage is the error with which the cloud reports that it has no machines for now.
const noCapacityMessage = "no capacity"

// wireCatalog is the body of the response to GET /catalog.
type wireCatalog struct {
	Types []jobs.MachineType `json:"perches"`
}

// wireProvisionRequest is the body of POST /rentals.
type wireProvisionRequest struct {
	Name  string `json:"charter"`
	Type  string `json:"perchKind"`
	Zone  string `json:"eyrie"`
	Spot  bool   `json:"driftwood"`
	Count int    `json:"number"`
}

func encodeProvisionRequest(r ProvisionRequest) wireProvisionRequest {
	return wireProvisionRequest{Name: r.Name, Type: r.Type, Zone: r.Zone, Spot: r.Spot, Count: r.Count}
}

// wireProvisionResponse is the body of the response to POST /rentals.
type wireProvisionResponse struct {
	Machines []string `json:"hosts"`
}

// wireReleaseRequest is the body of POST /rentals/release.
type wireReleaseRequest struct {
	Machines []string `json:"hosts"`
}

// wireMachinePage is the body of the response to GET /rentals.
type wireMachinePage struct {
	Machines []wireMachine `json:"hosts"`
	More     bool          `json:"hasNext"`
}

// wireMachine is one machine of a wireMachinePage.
type wireMachine struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"perchKind"`
	Zone  string  `json:"eyrie"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"stance"`
	AgeS  float64 `json:"ageS"`
}

func (w wireMachine) decode() ListedMachine {
	return ListedMachine{ID: w.ID, Addr: w.Addr, Type: w.Type, Zone: w.Zone, Spot: w.Spot, State: MachineState(w.State), AgeS: w.AgeS}
}
