package cloud

import (
	"ospreyslip/internal/jobs"
)

// This file holds the bodies of the cloud's HTTP interface, in its own words, and their
// translation. Nothing outside it uses those words.

// wireError is the body of an answer with another status than 200.
type wireError struct {
	Error string `json:"error"`
}

// noCapacityMessage is the error with which the cloud refuses to provide machines for now.
const noCapacityMessage = "no capacity"

// wireCatalog answers GET /catalog.
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

// wireProvisioned answers POST /rentals.
type wireProvisioned struct {
	Machines []string `json:"hosts"`
}

// wireReleaseRequest is the body of POST /rentals/release.
type wireReleaseRequest struct {
	Machines []string `json:"hosts"`
}

// wireMachinePage answers GET /rentals.
type wireMachinePage struct {
	Machines []wireMachine `json:"hosts"`
	More     bool          `json:"hasNext"`
}

// wireMachine is one machine of a page.
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
