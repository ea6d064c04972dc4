package wirejson

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"ospreyslip/internal/wirejson/wirejsontest"
)

// message has a field of each kind that messages and records have.
type message struct {
	Name    *string         `json:"name"`
	Count   int             `json:"count"`
	Token   uint64          `json:"token"`
	Amount  float64         `json:"amount"`
	Spot    bool            `json:"spot"`
	Limit   *float64        `json:"limit"`
	Task    part            `json:"task"`
	Peer    *part           `json:"peer"`
	Tasks   []part          `json:"tasks"`
	Zones   []*string       `json:"zones"`
	Value   json.RawMessage `json:"value"`
	PerKind map[string]int  `json:"perKind"`
}

type part struct {
	ID    string   `json:"id"`
	Zones []string `json:"zones"`
}

// TestNamesMatchExactly guards against an unknown field that takes the place of a known one because their
// names are alike.
func TestNamesMatchExactly(t *testing.T) {
	for _, name := range []string{"name", "count", "token", "tasks", "perKind", "task"} {
		for _, spelling := range wirejsontest.Spellings(name) {
			quoted, _ := json.Marshal(spelling)
			for _, value := range []string{`7`, `"x"`, `null`, `[{"id":"x"}]`, `{"id":"x"}`} {
				var got message
				if err := Unmarshal(fmt.Appendf(nil, `{%s:%s}`, quoted, value), &got); err != nil {
					t.Errorf("%s: %s: %v", quoted, value, err)
				}
				if d := cmp.Diff(message{}, got); d != "" {
					t.Errorf("%s: %s is taken for %s:\n%s", quoted, value, name, d)
				}
			}
		}
	}
	var escaped message
	if err := Unmarshal([]byte(`{"\u0063ount":7}`), &escaped); err != nil || escaped.Count != 7 {
		t.Errorf("a name with an escaped letter: %d, %v", escaped.Count, err)
	}
}

// drawValue draws a JSON value in which the names are known, repeated or unknown, but never alike but for
// their spelling.
func drawValue(t *rapid.T, depth int) string {
	kinds := 10
	if depth == 0 {
		kinds = 8
	}
	switch rapid.IntRange(0, kinds).Draw(t, "kind") {
	case 0:
		return "null"
	case 1:
		return rapid.SampledFrom([]string{"true", "false"}).Draw(t, "flag")
	case 2, 3:
		return rapid.SampledFrom([]string{
			"0", "-0", "7", "-7", "1.5", "1.0", "1e2", "1e999", "-1e-999", "18446744073709551615", "18446744073709551616",
			"9223372036854775807", "9223372036854775808", "01", ".5", "1.", "NaN", "+1",
		}).Draw(t, "number")
	case 4, 5, 6, 7, 8:
		return `"` + rapid.SampledFrom([]string{"", "x", "\xff", `\ud800`, `\ud83d\ude00`, "a\xc3", `\u0000`, "\x01", `\"`, "7"}).Draw(t, "text") + `"`
	case 9:
		return "[" + strings.Join(drawAll(t, depth, func() string { return drawValue(t, depth-1) }), ",") + "]"
	default:
		return "{" + strings.Join(drawAll(t, depth, func() string {
			name := rapid.SampledFrom([]string{
				"name", "count", "token", "amount", "spot", "limit", "task", "peer", "tasks", "zones", "value", "perKind", "id",
				"colour", "\xff", `\ud800`, `\u0063ount`,
			}).Draw(t, "name")
			return `"` + name + `":` + drawValue(t, depth-1)
		}), ", ") + "}"
	}
}

func drawAll(t *rapid.T, depth int, draw func() string) []string {
	elements := make([]string, rapid.IntRange(0, 2*depth).Draw(t, "length"))
	for i := range elements {
		elements[i] = draw()
	}
	return elements
}

// drawDocument draws a message, mostly with values that its fields can hold.
func drawDocument(t *rapid.T) string {
	fields := rapid.SliceOfN(rapid.SampledFrom([]string{
		`"name":"x"`, "\"name\":\"a\xff\"", `"name":null`, `"count":7`, `"count":null`, `"token":18446744073709551615`, `"amount":1e2`, `"amount":null`,
		`"spot":true`, `"spot":null`, `"limit":1.5`, `"limit":null`, `"task":{"id":"x"}`, `"task":{"zones":["a",null]}`, `"task":null`,
		`"peer":{"id":"x"}`, `"peer":{"zones":[]}`, `"peer":null`, `"tasks":[{"id":"x","zones":["a"]},{"id":"y"}]`, `"tasks":[{}]`, `"tasks":[]`,
		`"tasks":null`, `"zones":["a",null]`, `"zones":null`, `"value":{"a":1,"a":2}`, `"value":null`, "\"value\":\"\xff\"", `"perKind":{"a":1,"a":2}`,
		`"perKind":{"b":3}`, `"perKind":null`, `"colour":{"a":1,"a":[]}`, `"colour":null`, `"\u0063ount":8`,
	}), 0, 12).Draw(t, "fields")
	if rapid.Bool().Draw(t, "arbitrary field") {
		fields = append(fields, `"`+rapid.SampledFrom([]string{"name", "count", "tasks", "value", "peer", "colour"}).Draw(t, "name")+`":`+drawValue(t, 3))
	}
	return "{" + strings.Join(fields, ",") + "}"
}

// TestAcceptsWhatEncodingJSONAccepts guards against messages and stored records that were accepted before and
// are not any more, or mean something else: repeated names, invalid UTF-8, null, numbers at the limits.
func TestAcceptsWhatEncodingJSONAccepts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		document := rapid.OneOf(rapid.Custom(drawDocument), rapid.Custom(func(t *rapid.T) string { return drawValue(t, 3) })).Draw(t, "document")
		var want, got message
		wantErr, err := json.Unmarshal([]byte(document), &want), Unmarshal([]byte(document), &got)
		if (wantErr == nil) != (err == nil) {
			t.Fatalf("%q: error %v, encoding/json: %v", document, err, wantErr)
		}
		if d := cmp.Diff(want, got); err == nil && d != "" {
			t.Fatalf("%q (-encoding/json +got):\n%s", document, d)
		}
		if json.Valid([]byte(document)) != Valid([]byte(document)) {
			t.Fatalf("%q: valid: %v", document, Valid([]byte(document)))
		}
		got = message{}
		if readErr := UnmarshalRead(strings.NewReader(document), &got); (readErr == nil) != (err == nil) {
			t.Fatalf("%q: from a reader: %v", document, readErr)
		}
	})
}

// TestNestingAndSizes checks the limits of encoding/json on nesting, and that there is none on size.
func TestNestingAndSizes(t *testing.T) {
	for _, depth := range []int{1000, 9999, 10000, 40000} {
		document := []byte(`{"colour":` + strings.Repeat("[", depth) + strings.Repeat("]", depth) + `}`)
		var want, got message
		if wantErr, err := json.Unmarshal(document, &want), Unmarshal(document, &got); (wantErr == nil) != (err == nil) {
			t.Errorf("nested %d times: %v, encoding/json: %v", depth, err, wantErr)
		}
	}
	var got message
	if err := Unmarshal([]byte(`{"name":"`+strings.Repeat("x", 8<<20)+`"}`), &got); err != nil || len(*got.Name) != 8<<20 {
		t.Errorf("8 MiB: %v", err)
	}
}

func TestErrorsNameTheField(t *testing.T) {
	for document, want := range map[string]string{
		`{"count":"7"}`:             "count must be an integer",
		`{"token":-1}`:              "token must be an integer from 0 to 2^64-1",
		`{"tasks":[{},{"id":7}]}`:   "tasks[1].id must be a string",
		`{"zones":{"a":1}}`:         "zones must be null or a list",
		`{"task":[]}`:               "task must be a JSON object",
		`{"amount":1e999}`:          "amount must be a number",
		`[1]`:                       "must be a JSON object, not: array",
		`true`:                      "must be a JSON object, not: boolean",
		`{"count":7`:                "unexpected end of JSON input",
		``:                          "unexpected end of JSON input",
		`{"count":7}x`:              "invalid character 'x' after top-level value after 11 bytes",
		`{'count':7}`:               `invalid character '\'' at start of value after 1 bytes`,
		`{"count":7} {"count":"7"}`: "invalid character '{' after top-level value after 12 bytes",
	} {
		var got message
		if err := Unmarshal([]byte(document), &got); err == nil || err.Error() != want {
			t.Errorf("%s: %v, want %q", document, err, want)
		}
	}
}

// TestUnmarshalFirst checks that what follows the first value is ignored, and that errors of the reader
// are returned.
func TestUnmarshalFirst(t *testing.T) {
	var got message
	if err := UnmarshalFirst(strings.NewReader(` {"count":7} {"count":8} x`), &got); err != nil || got.Count != 7 {
		t.Errorf("%d, %v", got.Count, err)
	}
	if err := UnmarshalFirst(strings.NewReader(``), &got); !errors.Is(err, io.EOF) {
		t.Errorf("empty document: %v", err)
	}
	broken := errors.New("connection reset")
	reader := io.MultiReader(strings.NewReader(`{"count":`), iotest.ErrReader(broken))
	if err := UnmarshalFirst(reader, &got); !errors.Is(err, broken) {
		t.Errorf("reader that fails: %v", err)
	}
}
