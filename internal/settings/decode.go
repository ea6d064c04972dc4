package settings

import (
	"errors"
	"fmt"
	"reflect"

	"github.com/BurntSushi/toml"
	"github.com/go-viper/mapstructure/v2"
)

// fieldTag is the struct tag with the name of a field in the platform's settings file. Fields without it
// do not come from that file.
const fieldTag = "toml"

// decodeFile decodes the platform's settings file at path into target. Names of fields match only if they are
// spelled exactly as in the struct tag; the TOML library by itself would disregard case. Fields with any
// other name are ignored, so that the platform can add fields without a new release of this program.
func decodeFile(path string, target *Settings) error {
	var document map[string]any
	if _, err := toml.DecodeFile(path, &document); err != nil {
		return err
	}
	decoder, err := mapstructure.NewDecoder(&mapstructure.DecoderConfig{
		Result:               target,
		TagName:              fieldTag,
		IgnoreUntaggedFields: true,
		MatchName:            func(name, fieldName string) bool { return name == fieldName },
		DecodeHook:           refuseFractions,
	})
	if err != nil {
		return err
	}
	return decoder.Decode(document)
}

var errNotInteger = errors.New("must be an integer")

// refuseFractions refuses a decimal number for a field that holds an integer, which the decoder would cut off.
func refuseFractions(from, to reflect.Kind, value any) (any, error) {
	if from == reflect.Float64 && to == reflect.Int {
		return nil, fmt.Errorf("%w, is %v", errNotInteger, value)
	}
	return value, nil
}
