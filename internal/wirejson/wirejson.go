// Package wirejson decodes all JSON that comes from outside of a process: requests of users, workers
// and operators, responses of workers, the cloud, the state service and other controllers, and stored
// records. Other packages decode JSON only through this one, so that a message means the same wherever
// it is received.
//
// The name of a field matches only if it is spelled exactly as in the struct tag. Fields with any other
// name are unknown and are ignored, as the protocol requires. In all else, every document that
// encoding/json accepts is accepted with the same meaning: of a name that occurs twice the last value
// counts, invalid UTF-8 is replaced by U+FFFD, and null leaves a field that is not a pointer, slice or
// map as it was. Errors name the field of the message, and no type of this program.
package wirejson

import (
	"io"

	"github.com/go-json-experiment/json"
	"github.com/go-json-experiment/json/jsontext"
	jsonv1 "github.com/go-json-experiment/json/v1"
)

// decoding holds the options of encoding/json but for two: names match exactly, and decoding ends at the
// first error, so that a document is read only once.
var decoding = json.JoinOptions(
	jsonv1.DefaultOptionsV1(),
	json.MatchCaseInsensitiveNames(false),
	jsonv1.ReportErrorsWithLegacySemantics(false),
)

// Unmarshal decodes a document into target, which must be a pointer. After an error, parts of target may
// be set. The error is a *TypeError if a value does not fit its field, a *SyntaxError if the document is
// not JSON, or else the error of the reader.
func Unmarshal(document []byte, target any) error {
	return describe(json.Unmarshal(document, target, decoding))
}

// UnmarshalRead is like Unmarshal for a document that ends where reader ends.
func UnmarshalRead(reader io.Reader, target any) error {
	return describe(json.UnmarshalRead(reader, target, decoding))
}

// UnmarshalFirst is like UnmarshalRead, but ignores everything after the first JSON value.
func UnmarshalFirst(reader io.Reader, target any) error {
	return describe(json.UnmarshalDecode(jsontext.NewDecoder(reader, decoding), target, decoding))
}

// Valid reports whether a document can be decoded into some type.
func Valid(document []byte) bool {
	return jsontext.Value(document).IsValid(decoding)
}
