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

	"ospreyslip/internal/wirejson"
)

// OperatorSchema is the published JSON schema of the operators' settings file.
//
//go:embed operator.schema.json
var OperatorSchema []byte

// Operator holds the settings that operators may change. The schema defines their names, bounds
// and defaults.
type Operator struct {
	// SuspectHeartbeats is the silence, in heartbeat intervals, after which a machine is
	// suspected.
	SuspectHeartbeats float64 `json:"silentReports"`
	// HoldHeartbeats is the longest time, in heartbeat intervals, for which one machine's
	// missing heartbeat holds all verdicts.
	HoldHeartbeats float64 `json:"holdReports"`
	// VerdictIntervalS is the time in seconds between two verdicts in a small zone. Larger zones
	// have proportionally more verdicts.
	VerdictIntervalS float64 `json:"verdictGapS"`
	// IdleBootTimes is how long, in boot times, an idle machine that is not a spot machine is
	// kept.
	IdleBootTimes float64 `json:"idleBoots"`
	// SlowBootTimes is the time, in boot times, after which forecasts ignore a machine that has
	// not booted.
	SlowBootTimes float64 `json:"slowBoots"`
	// LateBootTimes is the time, in boot times, after which a machine that has not booted is
	// released.
	LateBootTimes float64 `json:"lateBoots"`
	// TimeLeftShare is the share of a batch job's remaining time within which the forecast must
	// expect it to finish. Otherwise machines are provisioned.
	TimeLeftShare float64 `json:"dueShare"`
	// FailoverPatience scales how long tasks wait in a failover before others are preempted for
	// them, while machines that may have capacity have not sent a heartbeat. With 0 they do
	// not wait.
	FailoverPatience float64 `json:"takeoverPatience"`
	// AuditIntervalS is the time in seconds between two comparisons of all records with the state of a
	// controller, which detect lost records; 0 disables them.
	AuditIntervalS float64 `json:"auditS"`
	// RunHeldJobsAfterS is the time in seconds after which a job whose record was lost is run
	// although it may already be finished; 0 holds it until an operator decides.
	RunHeldJobsAfterS float64 `json:"runUncertainAfterS"`
}

// DefaultOperator returns the defaults. They are read from the published schema, so that the two
// cannot differ.
func DefaultOperator() Operator {
	var schema struct {
		Properties map[string]struct {
			Default float64 `json:"default"`
		} `json:"properties"`
	}
	values := map[string]float64{}
	if err := wirejson.Unmarshal(OperatorSchema, &schema); err != nil {
		panic(err) // the schema is embedded and covered by tests
	}
	for name, property := range schema.Properties {
		values[name] = property.Default
	}
	raw, _ := json.Marshal(values)
	var operator Operator
	_ = wirejson.Unmarshal(raw, &operator)
	return operator
}

// LoadOperator reads and validates the operators' settings file. It returns the defaults if path
// is empty. The error names every invalid field.
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
	if err := wirejson.Unmarshal(raw, &operator); err != nil {
		return operator, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if operator.LateBootTimes < operator.SlowBootTimes {
		return operator, fmt.Errorf("operator settings %s: lateBoots (%v) must not be below slowBoots (%v)", path, operator.LateBootTimes, operator.SlowBootTimes)
	}
	return operator, nil
}

// validate checks raw against OperatorSchema. The error names every invalid field and the values
// that it may have.
func validate(raw []byte) error {
	var schema jsonschema.Schema
	if err := wirejson.Unmarshal(OperatorSchema, &schema); err != nil {
		return err
	}
	schema.ID = "" // a descriptive name, not a base URI for resolving references
	resolved, err := schema.Resolve(nil)
	if err != nil {
		return err
	}
	var value any
	if err := wirejson.Unmarshal(raw, &value); err != nil {
		return err
	}
	fields, ok := value.(map[string]any)
	if !ok {
		return resolved.Validate(value)
	}
	var errs []error
	for _, name := range slices.Sorted(maps.Keys(fields)) {
		// The validator stops at the first error, so each field is validated separately.
		if err := resolved.Validate(map[string]any{name: fields[name]}); err != nil {
			errs = append(errs, fmt.Errorf("%s: %w", name, err))
		}
	}
	return errors.Join(errs...)
}
