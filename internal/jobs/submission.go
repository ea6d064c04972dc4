package jobs

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"ospreyslip/internal/wirejson"
)

// This file converts a submission from its wire format to a Spec. Errors name the fields as the
// protocol does, since those are the names that users know.

// submission is the wire format of a submitted job. A field that is missing or null is nil.
type submission struct {
	ID                  *string   `json:"id"`
	Class               *string   `json:"flock"`
	Team                *string   `json:"crew"`
	Shape               *string   `json:"shape"`
	Priority            *string   `json:"rank"`
	Tasks               *int      `json:"talons"`
	CPUs                *float64  `json:"vcpus"`
	GPUs                *float64  `json:"gpus"`
	RAMGB               *float64  `json:"ramGb"`
	Image               *string   `json:"plumage"`
	ImageGB             *float64  `json:"imageGb"`
	Types               []*string `json:"perches"`
	Zone                *string   `json:"eyrie"`
	OneZone             *bool     `json:"samePlace"`
	Spread              *bool     `json:"scatter"`
	Spot                *bool     `json:"driftwood"`
	EstimatedRuntimeS   *float64  `json:"flightS"`
	CheckpointIntervalS *float64  `json:"roostS"`
	CheckpointSaveS     *float64  `json:"stashS"`
	DeadlineS           *float64  `json:"duskS"`
}

// InvalidFieldError reports a field of a submission that is missing or invalid.
type InvalidFieldError struct {
	Field string // name on the wire
	Want  string // what the value must be
}

func (e *InvalidFieldError) Error() string { return e.Field + " must be " + e.Want }

// ParseSpec decodes and validates a submission. Its errors describe mistakes of the user and are
// shown unchanged: either the error of the decoder, or the *InvalidFieldError of each
// invalid field, joined.
func ParseSpec(raw []byte) (*Spec, error) {
	var input submission
	if err := wirejson.Unmarshal(raw, &input); err != nil {
		return nil, rejectedDocument(err)
	}
	var check validator
	spec := &Spec{
		ID:                  check.text("id", input.ID),
		Class:               check.text("flock", input.Class),
		Team:                check.text("crew", input.Team),
		Shape:               check.text("shape", input.Shape),
		Priority:            check.text("rank", input.Priority),
		CPUs:                check.amount("vcpus", input.CPUs),
		GPUs:                check.amount("gpus", input.GPUs),
		RAMGB:               check.amount("ramGb", input.RAMGB),
		Image:               check.text("plumage", input.Image),
		ImageGB:             check.amount("imageGb", input.ImageGB),
		OneZone:             check.flag("samePlace", input.OneZone),
		Spread:              check.flag("scatter", input.Spread),
		Spot:                check.flag("driftwood", input.Spot),
		EstimatedRuntimeS:   check.amount("flightS", input.EstimatedRuntimeS),
		CheckpointIntervalS: check.amount("roostS", input.CheckpointIntervalS),
		CheckpointSaveS:     check.amount("stashS", input.CheckpointSaveS),
	}
	check.checkAllowedValues(spec)
	spec.Tasks = check.taskCount(input.Tasks)
	spec.Types = check.machineTypes(input.Types)
	if input.Zone != nil {
		spec.Zone = check.text("eyrie", input.Zone)
	}
	if input.DeadlineS != nil {
		deadline := check.amount("duskS", input.DeadlineS)
		spec.DeadlineS = &deadline
	}
	if err := errors.Join(check.errs...); err != nil {
		return nil, err
	}
	return spec, nil
}

// rejectedDocument returns the error of a submission that could not be decoded in the terms of the
// protocol.
func rejectedDocument(err error) error {
	var mismatch *wirejson.TypeError
	switch {
	case !errors.As(err, &mismatch):
		return err
	case mismatch.Field == "":
		return fmt.Errorf("a submission %w", mismatch)
	}
	return &InvalidFieldError{Field: mismatch.Field, Want: mismatch.Want}
}

// validator collects the errors in the fields of a submission.
type validator struct{ errs []error }

func (v *validator) reject(field, want string) {
	v.errs = append(v.errs, &InvalidFieldError{Field: field, Want: want})
}

func (v *validator) text(field string, value *string) string {
	if value == nil || *value == "" {
		v.reject(field, "a string that is not empty")
		return ""
	}
	return *value
}

func (v *validator) amount(field string, value *float64) float64 {
	if value == nil || !(*value >= 0) || math.IsInf(*value, 0) {
		v.reject(field, "a number of at least 0")
		return 0
	}
	return *value
}

func (v *validator) flag(field string, value *bool) bool {
	if value == nil {
		v.reject(field, "true or false")
		return false
	}
	return *value
}

func (v *validator) taskCount(value *int) int {
	if value == nil || *value < 1 || *value > MaxTasks {
		v.reject("talons", fmt.Sprintf("an integer from 1 to %d", MaxTasks))
		return 0
	}
	return *value
}

func (v *validator) machineTypes(values []*string) (types []string) {
	for _, name := range values {
		types = append(types, v.text("perches", name))
	}
	if values != nil && len(values) == 0 {
		v.reject("perches", "null or a list that is not empty")
	}
	return types
}

// checkAllowedValues checks the fields that must match a pattern or have one of a few values.
func (v *validator) checkAllowedValues(spec *Spec) {
	if spec.ID != "" && !ValidID(spec.ID) {
		v.reject("id", "of the form j-000412")
	}
	if spec.Shape != "" && !slices.Contains(shapes, spec.Shape) {
		v.reject("shape", fmt.Sprintf("one of %v", shapes))
	}
	if spec.Priority != "" && !slices.Contains(priorities, spec.Priority) {
		v.reject("rank", fmt.Sprintf("one of %v", priorities))
	}
}
