package settings

import (
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"

	"github.com/google/jsonschema-go/jsonschema"
)

// OperatorSchema is the published schema of the operators' file.
//
//go:embed operator.schema.json
var OperatorSchema []byte

// Operator holds the operators' own settings. The schema, which they read, has their names,
// bounds and defaults; here is what they do.
type Operator struct {
	// SuspectHeartbeats is after how many heartbeat intervals of silence a machine is suspected.
	SuspectHeartbeats float64 `json:"silentReports"`
	// HoldHeartbeats is for how many heartbeat intervals a missing one may hold all verdicts.
	HoldHeartbeats float64 `json:"holdReports"`
	// VerdictIntervalS is the time between two verdicts in a small zone.
	VerdictIntervalS float64 `json:"verdictGapS"`
	// IdleBootTimes is for how many boot times an idle ordinary machine is kept.
	IdleBootTimes float64 `json:"idleBoots"`
	// SlowBootTimes is after how many boot times a machine that is not up is not counted on.
	SlowBootTimes float64 `json:"slowBoots"`
	// LateBootTimes is after how many boot times a machine that is not up is released.
	LateBootTimes float64 `json:"lateBoots"`
	// TimeLeftShare is the part of the time that a batch job has left within which the
	// forecast must see it done, or machines are rented.
	TimeLeftShare float64 `json:"dueShare"`
	// TakeoverPatience scales how long work waits in a failover before other work is preempted
	// for it, while machines that may have room have not reported; 0 is not at all.
	TakeoverPatience float64 `json:"takeoverPatience"`
	// AuditS is how often all records are compared with what a node knows; 0 is never.
	AuditS float64 `json:"auditS"`
	// RunUncertainAfterS is how long a job is held of which it is not certain that it is
	// unfinished; 0 is until an operator decides.
	RunUncertainAfterS float64 `json:"runUncertainAfterS"`
}

// DefaultOperator returns the settings that hold where the file says nothing.
// They stand in the schema, so that what is published is what is true.
func DefaultOperator() Operator {
	var schema struct {
		Properties map[string]struct {
			Default float64 `json:"default"`
		} `json:"properties"`
	}
	values := map[string]float64{}
	if err := json.Unmarshal(OperatorSchema, &schema); err != nil {
		panic(err) // embedded: a test reads it
	}
	for name, property := range schema.Properties {
		values[name] = property.Default
	}
	raw, _ := json.Marshal(values)
	var operator Operator
	_ = json.Unmarshal(raw, &operator)
	return operator
}

// LoadOperator reads and checks an operators' file; an empty path means defaults. The error
// names every field at fault.
func LoadOperator(path string) (Operator, error) {
	operator := DefaultOperator()
	if path == "" {
		return operator, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return operator, err
	}
	if err := validate(raw); err != nil {
		return operator, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if err := json.Unmarshal(raw, &operator); err != nil {
		return operator, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if operator.LateBootTimes < operator.SlowBootTimes {
		return operator, fmt.Errorf("operator settings %s: lateBoots (%v) must not be below slowBoots (%v)", path, operator.LateBootTimes, operator.SlowBootTimes)
	}
	return operator, nil
}

// validate names every field at fault, and what it may be.
func validate(raw []byte) error {
	var schema jsonschema.Schema
	if err := json.Unmarshal(OperatorSchema, &schema); err != nil {
		return err
	}
	schema.ID = "" // a name for people, and no place to resolve other names against
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return err
	}
	var value any
	if err := json.Unmarshal(raw, &value); err != nil {
		return err
	}
	fields, ok := value.(map[string]any)
	if !ok {
		return resolved.Validate(value)
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		// The validator stops at the first fault; each field is checked by itself.
		if err := resolved.Validate(map[string]any{name: fields[name]}); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(errs...)
}
