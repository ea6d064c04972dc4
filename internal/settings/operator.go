package settings

import (
	"bytes"
	_ "embed"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"strings"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"
)

// OperatorSchema is the published schema of the operators' file.
//
//go:embed operator.schema.json
var OperatorSchema []byte

// Operator holds the operators' own settings; the schema explains each.
type Operator struct {
	SilentReports float64 `json:"silentReports"`
	HoldReports   float64 `json:"holdReports"`
	VerdictGapS   float64 `json:"verdictGapS"`
	IdleBoots     float64 `json:"idleBoots"`
	SlowBoots     float64 `json:"slowBoots"`
	LateBoots     float64 `json:"lateBoots"`
	DueShare      float64 `json:"dueShare"`
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
	for name, p := range schema.Properties {
		values[name] = p.Default
	}
	raw, _ := json.Marshal(values)
	var op Operator
	_ = json.Unmarshal(raw, &op)
	return op
}

// LoadOperator reads and checks an operators' file; no path means defaults.
func LoadOperator(path string) (Operator, error) {
	op := DefaultOperator()
	if path == "" {
		return op, nil
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return op, err
	}
	if err := validate(raw); err != nil {
		return op, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if err := json.Unmarshal(raw, &op); err != nil {
		return op, fmt.Errorf("operator settings %s: %w", path, err)
	}
	if op.LateBoots < op.SlowBoots {
		return op, fmt.Errorf("operator settings %s: lateBoots (%v) must not be below slowBoots (%v)", path, op.LateBoots, op.SlowBoots)
	}
	return op, nil
}

func validate(raw []byte) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(OperatorSchema))
	if err != nil {
		return err
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource("operator.schema.json", doc); err != nil {
		return err
	}
	schema, err := c.Compile("operator.schema.json")
	if err != nil {
		return err
	}
	value, err := jsonschema.UnmarshalJSON(bytes.NewReader(raw))
	if err != nil {
		return err
	}
	var invalid *jsonschema.ValidationError
	if err := schema.Validate(value); errors.As(err, &invalid) {
		return errors.Join(leaves(invalid)...)
	} else if err != nil {
		return err
	}
	return nil
}

// leaves turns the validator's tree into one line for each field at fault.
func leaves(e *jsonschema.ValidationError) []error {
	if len(e.Causes) == 0 {
		field := strings.Join(e.InstanceLocation, ".")
		if field == "" {
			field = "the file"
		}
		return []error{fmt.Errorf("%s: %s", field, e.ErrorKind.LocalizedString(message.NewPrinter(language.English)))}
	}
	var out []error
	for _, c := range e.Causes {
		out = append(out, leaves(c)...)
	}
	return out
}
