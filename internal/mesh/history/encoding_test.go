package history

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

// A malformed line is refused with its number, and the field where there is one.
func TestReadNamesLineAndField(t *testing.T) {
	const good = `{"event":"leader","data":{"at_ns":1,"process":"one","id":1,"term":1}}` + "\n\n"
	for _, test := range []struct{ name, text, want string }{
		{
			"field of another type", `{"event":"leader","data":{"at_ns":"soon","process":"one"}}`,
			"line 3: field at_ns: a string in place of time.Duration",
		},
		{"field missing", `{"event":"leader","data":{"at_ns":1}}`, `line 3: field process:  breaks the rule "required"`},
		{"unknown field", `{"event":"leader","data":{"at_ns":1,"process":"one","name":"x"}}`, `line 3: json: unknown field "name"`},
		{"unknown event", `{"event":"reader","data":{}}`, `line 3: field event: "reader" is no type of event`},
		{"no data", `{"event":"leader"}`, "line 3: field data: missing"},
		{
			"return before the beginning",
			`{"event":"change","data":{"process":"o","begin_ns":5,"return_ns":4,"outcome":"refused","items":[]}}`,
			`line 3: field return_ns: 4ns breaks the rule "gtefield Begin"`,
		},
		{
			"unknown outcome", `{"event":"change","data":{"process":"o","begin_ns":1,"return_ns":4,"outcome":"perhaps","items":[]}}`,
			`line 3: field outcome: perhaps breaks the rule`,
		},
		{
			"item without a name",
			`{"event":"change","data":{"process":"o","begin_ns":1,"return_ns":4,"outcome":"refused",` +
				`"items":[{"kind":"route","name":"","version":1}]}}`,
			`line 3: field items[0].name:  breaks the rule "required"`,
		},
		{"unknown fault", `{"event":"fault","data":{"at_ns":1,"process":"one","kind":"sneeze"}}`, "line 3: field kind: sneeze breaks the rule"},
		{"text behind the event", `{"event":"leader","data":{"at_ns":1,"process":"one"}} {}`, "line 3: text behind the event"},
		{"cut off", `{"event":"leader","data`, "line 3: unexpected EOF"},
		{"line too long", strings.Repeat(" ", MaxLineBytes+1), "line 3: longer than 4194304 bytes"},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Read(strings.NewReader(good + test.text))
			assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
			assert.ErrorContains(t, err, test.want)
		})
	}
}

// Any text is read or refused, and what is read can be checked.
func FuzzRead(f *testing.F) {
	f.Add(`{"event":"members","data":{"at_ns":1,"process":"one","index":1,"voters":[1]}}` + "\n" +
		`{"event":"settled","data":{"from_ns":0,"to_ns":9}}`)
	f.Add(`{"event":"catch_up","data":null}`)
	f.Fuzz(func(t *testing.T, text string) {
		h, err := Read(strings.NewReader(text))
		if err == nil {
			Check(h, testBounds)
		}
	})
}
