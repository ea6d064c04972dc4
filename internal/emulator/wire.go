package emulator

import (
	"encoding/json"

	"ospreyslip/internal/jobs"
)

// Messages of the key-value store's protocol.

type revisionResponse struct {
	Revision uint64 `json:"tide"`
}

type pairResponse struct {
	Key      string          `json:"k"`
	Value    json.RawMessage `json:"value"`
	Revision uint64          `json:"mark"`
}

type pairPage struct {
	Pairs    []pairResponse `json:"pairs"`
	HasNext  bool           `json:"hasNext"`
	Revision uint64         `json:"tide"`
}

type commitRequest struct {
	Guards []commitGuard `json:"guards"`
	Writes []commitWrite `json:"writes"`
}

type commitGuard struct {
	Key      string `json:"k"`
	Revision uint64 `json:"mark"`
}

type commitWrite struct {
	Set    string          `json:"set"`
	Value  json.RawMessage `json:"value"`
	Lease  uint64          `json:"tether"`
	Remove string          `json:"remove"`
}

type conflictResponse struct {
	Failed   []string `json:"failed"`
	Revision uint64   `json:"tide"`
}

type leaseRequest struct {
	LifeMs int64 `json:"lifeMs"`
}

type leaseResponse struct {
	Lease uint64 `json:"tether"`
}

type change struct {
	Set      string          `json:"set,omitempty"`
	Value    json.RawMessage `json:"value,omitempty"`
	Remove   string          `json:"remove,omitempty"`
	Revision uint64          `json:"mark"`
}

type watchResponse struct {
	Revision uint64   `json:"tide"`
	Changes  []change `json:"log"`
}

// Messages of the cloud's API.

type catalogResponse struct {
	Types []jobs.MachineType `json:"perches"`
}

type provisionRequest struct {
	Name  string `json:"charter"`
	Type  string `json:"perchKind"`
	Zone  string `json:"eyrie"`
	Spot  bool   `json:"driftwood"`
	Count int    `json:"number"`
}

type machineNames struct {
	Machines []string `json:"hosts"`
}

type machineEntry struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"perchKind"`
	Zone  string  `json:"eyrie"`
	Spot  bool    `json:"driftwood"`
	State string  `json:"stance"`
	AgeS  float64 `json:"ageS"`
}

type machinePage struct {
	Machines []machineEntry `json:"hosts"`
	HasNext  bool           `json:"hasNext"`
}

type errorResponse struct {
	Error string `json:"error"`
}

// Parts of the users' API: the response field with the job's state, and the suffix of a
// cancellation's path.
const (
	jobStateField = "stance"
	cancelSuffix  = "/withdraw"
)
