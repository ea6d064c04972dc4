package jobs

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"ospreyslip/internal/wirejson/wirejsontest"
)

const validSubmission = `{"id":"j-000412","flock":"train","crew":"vision","shape":"gang","rank":"urgent",
	"talons":4,"vcpus":8,"gpus":1,"ramGb":32,"plumage":"img-1","imageGb":12.5,"perches":["g8"],"eyrie":null,
	"samePlace":true,"scatter":false,"driftwood":true,"flightS":240,"roostS":30,"stashS":4,"duskS":900}`

// Each field on the wire is stored in the corresponding field of the Spec.
func TestParseSpec(t *testing.T) {
	got, err := ParseSpec([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	deadline := 900.0
	want := &Spec{
		ID: "j-000412", Class: "train", Team: "vision", Shape: Gang, Priority: Urgent, Tasks: 4, CPUs: 8, GPUs: 1, RAMGB: 32,
		Image: "img-1", ImageGB: 12.5, Types: []string{"g8"}, OneZone: true, Spot: true,
		EstimatedRuntimeS: 240, CheckpointIntervalS: 30, CheckpointSaveS: 4, DeadlineS: &deadline,
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, want %+v", got, want)
	}
}

// The error names every invalid field by its name on the wire.
func TestParseSpecNamesInvalidFields(t *testing.T) {
	for _, test := range []struct{ old, changed, field, text string }{
		{`"j-000412"`, `"000412"`, "id", "id must be of the form j-000412"},
		{`"flock":"train",`, ``, "flock", "flock must be a string that is not empty"},
		{`"gang"`, `"pack"`, "shape", "shape must be one of [batch daemon gang]"},
		{`"urgent"`, `"soon"`, "rank", "rank must be one of [best_effort standard urgent prod]"},
		{`"talons":4`, `"talons":100001`, "talons", "talons must be an integer from 1 to 100000"},
		{`"vcpus":8`, `"vcpus":-1`, "vcpus", "vcpus must be a number of at least 0"},
		{`"samePlace":true`, `"samePlace":null`, "samePlace", "samePlace must be true or false"},
		{`["g8"]`, `[]`, "perches", "perches must be null or a list that is not empty"},
		{`"eyrie":null`, `"eyrie":""`, "eyrie", "eyrie must be a string that is not empty"},
	} {
		_, err := ParseSpec([]byte(strings.Replace(validSubmission, test.old, test.changed, 1)))
		var invalid *InvalidFieldError
		if !errors.As(err, &invalid) || invalid.Field != test.field || err.Error() != test.text {
			t.Errorf("%s: %v, want %q", test.changed, err, test.text)
		}
	}
	_, err := ParseSpec([]byte(`{}`))
	if err == nil || strings.Count(err.Error(), "\n") != 16 {
		t.Errorf("submission without fields: error %v, want 17 lines", err)
	}
}

// TestParseSpecNamesNoGoType guards against answers to users that name a type of the program instead of the
// field of the protocol.
func TestParseSpecNamesNoGoType(t *testing.T) {
	for _, tc := range []struct{ raw, text string }{
		{`[]`, "a submission must be a JSON object, not: array"},
		{`"j-000412"`, "a submission must be a JSON object, not: string"},
		{`7`, "a submission must be a JSON object, not: number"},
		{`{"id":7}`, "id must be a string"},
		{`{"vcpus":"8"}`, "vcpus must be a number"},
		{`{"talons":1.5}`, "talons must be an integer"},
		{`{"samePlace":1}`, "samePlace must be true or false"},
		{`{"perches":"g8"}`, "perches must be null or a list"},
		{`{`, "unexpected end of JSON input"},
	} {
		if _, err := ParseSpec([]byte(tc.raw)); err == nil || err.Error() != tc.text {
			t.Errorf("%s: %v, want %q", tc.raw, err, tc.text)
		}
	}
}

// TestUnknownFieldsOfSubmission guards against an unknown field that takes the place of a known one: a job was
// accepted under the value of "ID" instead of "id".
func TestUnknownFieldsOfSubmission(t *testing.T) {
	want, err := ParseSpec([]byte(validSubmission))
	if err != nil {
		t.Fatal(err)
	}
	body := strings.Trim(validSubmission, "{}")
	for _, field := range []string{
		"id", "flock", "crew", "shape", "rank", "talons", "vcpus", "gpus", "ramGb", "plumage", "imageGb", "perches", "eyrie",
		"samePlace", "scatter", "driftwood", "flightS", "roostS", "stashS", "duskS",
	} {
		for _, spelling := range wirejsontest.Spellings(field) {
			for _, value := range []string{`"j-900001"`, `"batch"`, `1`, `0.5`, `true`, `null`, `["c4"]`, `{"id":"j-900001"}`} {
				unknown := quoteName(spelling) + ":" + value
				for _, raw := range []string{"{" + unknown + "," + body + "}", "{" + body + "," + unknown + "}", "{" + unknown + "," + body + "," + unknown + "}"} {
					if got, err := ParseSpec([]byte(raw)); err != nil || !reflect.DeepEqual(got, want) {
						t.Errorf("%s: got %+v, %v", unknown, got, err)
					}
				}
			}
		}
	}
}

// quoteName returns the name of a field in JSON.
func quoteName(name string) string { return `"` + strings.ReplaceAll(name, "\x00", `\u0000`) + `"` }

// TestMisspelledFieldIsMissing checks that a field whose name is spelled otherwise than in the protocol does
// not count as the field.
func TestMisspelledFieldIsMissing(t *testing.T) {
	for _, spelling := range wirejsontest.Spellings("talons") {
		_, err := ParseSpec([]byte(strings.Replace(validSubmission, `"talons"`, quoteName(spelling), 1)))
		var invalid *InvalidFieldError
		if !errors.As(err, &invalid) || invalid.Field != "talons" {
			t.Errorf("%q: %v", spelling, err)
		}
	}
}

// TestRepeatedFieldOfSubmission checks that a field that occurs twice is accepted with its last value, as it
// always was.
func TestRepeatedFieldOfSubmission(t *testing.T) {
	raw := strings.Replace(validSubmission, `"talons":4`, `"talons":7,"colour":"red","talons":4,"colour":"`+"\xff"+`"`, 1)
	if spec, err := ParseSpec([]byte(raw)); err != nil || spec.Tasks != 4 {
		t.Errorf("%+v, %v", spec, err)
	}
}
