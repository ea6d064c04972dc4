package jobs

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
)

// submission is a job as it comes on the wire: a field that is missing or null is nil.
type submission struct {
	ID        *string   `json:"id"`
	Class     *string   `json:"flock"`
	Team      *string   `json:"crew"`
	Shape     *string   `json:"shape"`
	Priority  *string   `json:"rank"`
	Tasks     *int      `json:"talons"`
	CPUs      *float64  `json:"vcpus"`
	GPUs      *float64  `json:"gpus"`
	RAMGB     *float64  `json:"ramGb"`
	Image     *string   `json:"plumage"`
	ImageGB   *float64  `json:"imageGb"`
	Types     []*string `json:"perches"`
	Zone      *string   `json:"eyrie"`
	OneZone   *bool     `json:"samePlace"`
	Spread    *bool     `json:"scatter"`
	Spot      *bool     `json:"driftwood"`
	EstimateS *float64  `json:"flightS"`
	CheckpntS *float64  `json:"roostS"`
	SaveS     *float64  `json:"stashS"`
	DeadlineS *float64  `json:"duskS"`
}

// ParseSpec reads a submission. Its errors are the user's mistakes.
func ParseSpec(raw []byte) (*Spec, error) {
	var in submission
	if err := json.Unmarshal(raw, &in); err != nil {
		return nil, err
	}
	var v validator
	s := &Spec{
		ID: v.text("id", in.ID), Class: v.text("flock", in.Class), Team: v.text("crew", in.Team),
		Shape: v.text("shape", in.Shape), Priority: v.text("rank", in.Priority),
		CPUs: v.amount("vcpus", in.CPUs), GPUs: v.amount("gpus", in.GPUs), RAMGB: v.amount("ramGb", in.RAMGB),
		Image: v.text("plumage", in.Image), ImageGB: v.amount("imageGb", in.ImageGB),
		OneZone: v.flag("samePlace", in.OneZone), Spread: v.flag("scatter", in.Spread), Spot: v.flag("driftwood", in.Spot),
		EstimatedRuntimeS: v.amount("flightS", in.EstimateS), CheckpointIntervalS: v.amount("roostS", in.CheckpntS), CheckpointSaveS: v.amount("stashS", in.SaveS),
	}
	v.form(s)
	s.Tasks = v.tasks(in.Tasks)
	s.Types = v.types(in.Types)
	if in.Zone != nil {
		s.Zone = v.text("eyrie", in.Zone)
	}
	if in.DeadlineS != nil {
		d := v.amount("duskS", in.DeadlineS)
		s.DeadlineS = &d
	}
	if err := errors.Join(v.errs...); err != nil {
		return nil, err
	}
	return s, nil
}

// validator collects what is wrong with the fields of a submission.
type validator struct{ errs []error }

func (v *validator) bad(field, want string) {
	v.errs = append(v.errs, fmt.Errorf("%s must be %s", field, want))
}

func (v *validator) text(field string, value *string) string {
	if value == nil || *value == "" {
		v.bad(field, "a string that is not empty")
		return ""
	}
	return *value
}

func (v *validator) amount(field string, value *float64) float64 {
	if value == nil || !(*value >= 0) || math.IsInf(*value, 0) {
		v.bad(field, "a number of at least 0")
		return 0
	}
	return *value
}

func (v *validator) flag(field string, value *bool) bool {
	if value == nil {
		v.bad(field, "true or false")
		return false
	}
	return *value
}

func (v *validator) tasks(value *int) int {
	if value == nil || *value < 1 || *value > MaxTasks {
		v.bad("talons", fmt.Sprintf("an integer from 1 to %d", MaxTasks))
		return 0
	}
	return *value
}

func (v *validator) types(values []*string) (types []string) {
	for _, t := range values {
		types = append(types, v.text("perches", t))
	}
	if values != nil && len(values) == 0 {
		v.bad("perches", "null or a list that is not empty")
	}
	return types
}

// form checks texts that have a form or are one of a few.
func (v *validator) form(s *Spec) {
	if s.ID != "" && !ValidID(s.ID) {
		v.bad("id", "of the form j-000412")
	}
	if s.Shape != "" && !slices.Contains(shapes, s.Shape) {
		v.bad("shape", fmt.Sprintf("one of %v", shapes))
	}
	if s.Priority != "" && !slices.Contains(priorities, s.Priority) {
		v.bad("rank", fmt.Sprintf("one of %v", priorities))
	}
}
