// Package wirejsontest makes documents with unknown fields whose names are like those of known fields, for
// tests of code that decodes messages.
package wirejsontest

import (
	"bytes"
	"slices"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/go-json-experiment/json/jsontext"
)

// Spellings returns names that differ from name, but that a decoder may take for it if it disregards case,
// delimiters or surrounding space, or folds Unicode letters.
func Spellings(name string) []string {
	first, size := utf8.DecodeRuneInString(name)
	candidates := []string{
		strings.ToUpper(name),
		strings.ToLower(name),
		strings.Map(swapCase, name),
		string(unicode.ToUpper(first)) + name[size:],
		string(unicode.ToUpper(first)) + strings.ToLower(name[size:]),
		strings.ReplaceAll(name, "s", "\u017f"), // the long s folds to s
		strings.ReplaceAll(name, "k", "\u212a"), // the Kelvin sign folds to k
		string(first) + "_" + name[size:],
		string(first) + "-" + name[size:],
		strings.ReplaceAll(name, "_", ""),
		name + " ",
		" " + name,
		name + "\x00",
	}
	slices.Sort(candidates)
	candidates = slices.Compact(candidates)
	return slices.DeleteFunc(candidates, func(candidate string) bool { return candidate == name })
}

func swapCase(letter rune) rune {
	if unicode.IsUpper(letter) {
		return unicode.ToLower(letter)
	}
	return unicode.ToUpper(letter)
}

// AddUnknownFields returns the document with unknown fields added before and after each field of each
// object, in which other values stand under other spellings of the field's name. The unknown fields occur
// twice, as the protocol does not say that they must not. Values of the fields named in opaque are left as they
// are. A document that is not JSON is returned unchanged.
func AddUnknownFields(document []byte, opaque ...string) []byte {
	var result bytes.Buffer
	writer := decorator{
		encoder: jsontext.NewEncoder(&result, jsontext.AllowDuplicateNames(true)),
		opaque:  opaque,
	}
	if err := writer.copyValue(document); err != nil {
		return document
	}
	return bytes.TrimSuffix(result.Bytes(), []byte("\n"))
}

// decorator copies JSON values and adds unknown fields to objects.
type decorator struct {
	encoder *jsontext.Encoder
	opaque  []string
	fields  int // number of fields copied, which selects the next spelling and value
}

// unknownValues are values of unknown fields, among them some that few fields can hold.
var unknownValues = []jsontext.Value{
	jsontext.Value(`"j-900001"`), jsontext.Value(`900001`), jsontext.Value(`null`),
	jsontext.Value(`true`), jsontext.Value(`[{}]`), jsontext.Value(`{"id":"j-900001"}`), jsontext.Value(`-1.5`),
}

// copyValue copies one value, with unknown fields added in it.
func (d *decorator) copyValue(value jsontext.Value) error {
	switch value.Kind() {
	case jsontext.KindBeginObject, jsontext.KindBeginArray:
		return d.copyComposite(value)
	default:
		return d.encoder.WriteValue(value)
	}
}

// copyComposite copies an object or an array.
func (d *decorator) copyComposite(value jsontext.Value) error {
	decoder := jsontext.NewDecoder(bytes.NewReader(value), jsontext.AllowDuplicateNames(true))
	begin, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	isObject := begin.Kind() == jsontext.KindBeginObject
	if err := d.encoder.WriteToken(begin); err != nil {
		return err
	}
	for decoder.PeekKind() != jsontext.KindEndObject && decoder.PeekKind() != jsontext.KindEndArray {
		copyNext := d.copyElement
		if isObject {
			copyNext = d.copyField
		}
		if err := copyNext(decoder); err != nil {
			return err
		}
	}
	end, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	return d.encoder.WriteToken(end)
}

func (d *decorator) copyElement(decoder *jsontext.Decoder) error {
	value, err := decoder.ReadValue()
	if err != nil {
		return err
	}
	return d.copyValue(value.Clone())
}

// copyField copies one field of an object, between two unknown ones.
func (d *decorator) copyField(decoder *jsontext.Decoder) error {
	token, err := decoder.ReadToken()
	if err != nil {
		return err
	}
	name := token.String()
	value, err := decoder.ReadValue()
	if err != nil {
		return err
	}
	value = value.Clone()
	if err := d.addUnknown(name); err != nil {
		return err
	}
	if err := d.encoder.WriteToken(jsontext.String(name)); err != nil {
		return err
	}
	if slices.Contains(d.opaque, name) {
		err = d.encoder.WriteValue(value)
	} else {
		err = d.copyValue(value)
	}
	if err != nil {
		return err
	}
	return d.addUnknown(name)
}

// addUnknown adds an unknown field whose name is another spelling of name.
func (d *decorator) addUnknown(name string) error {
	spellings := Spellings(name)
	if len(spellings) == 0 {
		return nil
	}
	d.fields++
	if err := d.encoder.WriteToken(jsontext.String(spellings[d.fields%len(spellings)])); err != nil {
		return err
	}
	return d.encoder.WriteValue(unknownValues[d.fields%len(unknownValues)])
}
