package history

import (
	"strings"
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
)

func TestReadTellsLineAndField(t *testing.T) {
	good := `{"event":"leader","data":{"at_ns":1,"process":"one","id":1,"term":1}}` + "\n\n"
	for text, want := range map[string]string{
		`{"event":"leader","data":{"at_ns":"soon","process":"one"}}`:       "line 3: field at_ns: a string in place of time.Duration",
		`{"event":"leader","data":{"at_ns":1}}`:                            `line 3: field process:  breaks the rule "required"`,
		`{"event":"leader","data":{"at_ns":1,"process":"one","name":"x"}}`: `line 3: json: unknown field "name"`,
		`{"event":"reader","data":{}}`:                                     `line 3: field event: "reader" is no type of event`,
		`{"event":"leader"}`:                                               "line 3: field data: missing",
		`{"event":"change","data":{"process":"o","begin_ns":5,"return_ns":4,"outcome":"refused","items":[]}}`:                                       `line 3: field return_ns: 4ns breaks the rule "gtefield Begin"`,
		`{"event":"change","data":{"process":"o","begin_ns":1,"return_ns":4,"outcome":"perhaps","items":[]}}`:                                       `line 3: field outcome: perhaps breaks the rule`,
		`{"event":"change","data":{"process":"o","begin_ns":1,"return_ns":4,"outcome":"refused","items":[{"kind":"route","name":"","version":1}]}}`: `line 3: field items[0].name:  breaks the rule "required"`,
		`{"event":"fault","data":{"at_ns":1,"process":"one","kind":"sneeze"}}`:                                                                      "line 3: field kind: sneeze breaks the rule",
		`{"event":"leader","data":{"at_ns":1,"process":"one"}} {}`:                                                                                  "line 3: text behind the event",
		`{"event":"leader","data`:           "line 3: unexpected EOF",
		strings.Repeat(" ", MaxLineBytes+1): "line 3: longer than 4194304 bytes",
	} {
		_, err := Read(strings.NewReader(good + text))
		assert.Assert(t, errors.Is(err, ErrMalformed), "%v", err)
		assert.ErrorContains(t, err, want)
	}
}

// Any text is read or refused, and what is read can be judged.
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
