package wirejson

import (
	"errors"
	"fmt"
	"io"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
)

// TypeError reports a JSON value that does not fit its field.
type TypeError struct {
	Field string // such as "hosts[2].id"; empty for the document itself
	Got   string // the kind of JSON value that was found
	Want  string // the values that the field may have
}

func (e *TypeError) Error() string {
	if e.Field == "" {
		return fmt.Sprintf("must be %s, not: %s", e.Want, e.Got)
	}
	return e.Field + " must be " + e.Want
}

// SyntaxError reports a document that is not JSON.
type SyntaxError struct {
	Offset int64 // number of bytes before the error
	Reason error
}

func (e *SyntaxError) Error() string {
	if errors.Is(e.Reason, io.ErrUnexpectedEOF) {
		return "unexpected end of JSON input"
	}
	return fmt.Sprintf("%v after %d bytes", e.Reason, e.Offset)
}

func (e *SyntaxError) Unwrap() error { return e.Reason }

// describe returns an error of the JSON library in the terms of the message. It returns errors of the
// reader unchanged.
func describe(err error) error {
	if err == nil {
		return nil
	}
	var mismatch *json.SemanticError
	if errors.As(err, &mismatch) && mismatch.GoType != nil {
		return &TypeError{
			Field: fieldPath(mismatch.JSONPointer),
			Got:   kindName(mismatch.JSONKind),
			Want:  wantedValues(mismatch.GoType),
		}
	}
	var syntactic *jsontext.SyntacticError
	if errors.As(err, &syntactic) {
		return &SyntaxError{Offset: syntactic.ByteOffset, Reason: syntactic.Err}
	}
	return err
}

// fieldPath returns the position in a document that a JSON pointer names.
func fieldPath(pointer jsontext.Pointer) string {
	var path strings.Builder
	for token := range pointer.Tokens() {
		switch _, err := strconv.ParseUint(token, 10, 64); {
		case err == nil && path.Len() > 0:
			fmt.Fprintf(&path, "[%s]", token)
		case path.Len() > 0:
			path.WriteString("." + token)
		default:
			path.WriteString(token)
		}
	}
	return path.String()
}

// kindName returns the name of a kind of JSON value.
func kindName(kind jsontext.Kind) string {
	switch kind {
	case jsontext.KindBeginArray:
		return "array"
	case jsontext.KindBeginObject:
		return "object"
	case jsontext.KindTrue, jsontext.KindFalse:
		return "boolean"
	default:
		return kind.String()
	}
}

// wantedValues describes the JSON values that a field of a type may have.
func wantedValues(fieldType reflect.Type) string {
	if fieldType == reflect.TypeFor[time.Time]() {
		return "a time such as 2006-01-02T15:04:05Z"
	}
	switch fieldType.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int32, reflect.Int64:
		return "an integer"
	case reflect.Uint64:
		return "an integer from 0 to 2^64-1"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "null or a list"
	case reflect.Struct, reflect.Map:
		return "a JSON object"
	default:
		return "another value"
	}
}
