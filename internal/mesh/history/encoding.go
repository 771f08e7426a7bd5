package history

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/juju/errors"
)

// Bounds of a history that Read accepts.
const (
	MaxLineBytes = 4 << 20
	MaxEvents    = 1 << 20

	initialLineBytes = 64 << 10 // of the buffer for a line
)

// ErrMalformed is the type of the errors of Read that are about the text. Each names line and field, which have to be corrected.
const ErrMalformed = errors.ConstError("malformed history")

// line is one event as text. Event names the type of Data.
type line struct {
	Event string          `json:"event"`
	Data  json.RawMessage `json:"data"`
}

// eventReaders decode the data of each type of event. The names are those of the first release, and stay because histories are kept in
// files.
var eventReaders = map[string]func(data []byte) (Event, error){
	"change":      readEvent[Change],
	"fetch":       readEvent[Fetch],
	"first_table": readEvent[InitialTable],
	"in_force":    readEvent[ActiveVersion],
	"claim":       readEvent[Claim],
	"run":         readEvent[Run],
	"answer":      readEvent[Answer],
	"leader":      readEvent[Leader],
	"members":     readEvent[Members],
	"fault":       readEvent[Fault],
	"contact":     readEvent[Contact],
	"synced":      readEvent[Synced],
	"catch_up":    readEvent[CatchUp],
	"settled":     readEvent[StablePeriod],
}

// eventName returns how lines name the type of an event.
func eventName(e Event) string {
	switch e.(type) {
	case Change:
		return "change"
	case Fetch:
		return "fetch"
	case InitialTable:
		return "first_table"
	case ActiveVersion:
		return "in_force"
	case Claim:
		return "claim"
	case Run:
		return "run"
	case Answer:
		return "answer"
	case Leader:
		return "leader"
	case Members:
		return "members"
	case Fault:
		return "fault"
	case Contact:
		return "contact"
	case Synced:
		return "synced"
	case CatchUp:
		return "catch_up"
	case StablePeriod:
		return "settled"
	}
	return fmt.Sprintf("%T", e)
}

// WriteEvent writes one event as a line of JSON.
func WriteEvent(w io.Writer, e Event) error {
	data, err := json.Marshal(e)
	if err != nil {
		return errors.Trace(err)
	}
	text, err := json.Marshal(line{Event: eventName(e), Data: data})
	if err != nil {
		return errors.Trace(err)
	}
	_, err = w.Write(append(text, '\n'))
	return errors.Trace(err)
}

// Write writes a history, one event a line.
func Write(w io.Writer, h *History) error {
	buffered := bufio.NewWriter(w)
	for _, e := range h.events() {
		if err := WriteEvent(buffered, e); err != nil {
			return err
		}
	}
	return errors.Trace(buffered.Flush())
}

// events returns all events, type by type.
func (h *History) events() (all []Event) {
	all = appendEvents(all, h.Changes)
	all = appendEvents(all, h.Fetches)
	all = appendEvents(all, h.InitialTables)
	all = appendEvents(all, h.ActiveVersions)
	all = appendEvents(all, h.Claims)
	all = appendEvents(all, h.Runs)
	all = appendEvents(all, h.Answers)
	all = appendEvents(all, h.Leaders)
	all = appendEvents(all, h.Members)
	all = appendEvents(all, h.Faults)
	all = appendEvents(all, h.Contacts)
	all = appendEvents(all, h.Synced)
	all = appendEvents(all, h.CatchUps)
	return appendEvents(all, h.StablePeriods)
}

// appendEvents appends the events of one type.
func appendEvents[E Event](all []Event, events []E) []Event {
	for _, e := range events {
		all = append(all, e)
	}
	return all
}

// Read reads a history. Empty lines are skipped. Beside the history it holds MaxLineBytes at most, and it stops at the first mistake
// or at MaxEvents.
func Read(r io.Reader) (*History, error) {
	lines := bufio.NewScanner(r)
	lines.Buffer(make([]byte, 0, initialLineBytes), MaxLineBytes)
	h, number, events := &History{}, 0, 0
	for lines.Scan() {
		number++
		if len(bytes.TrimSpace(lines.Bytes())) == 0 {
			continue
		}
		if events++; events > MaxEvents {
			return nil, errors.Annotatef(ErrMalformed, "line %d: more than %d events", number, MaxEvents)
		}
		event, err := readLine(lines.Bytes())
		if err != nil {
			return nil, errors.Annotatef(ErrMalformed, "line %d: %v", number, err)
		}
		h.Record(event)
	}
	if errors.Is(lines.Err(), bufio.ErrTooLong) {
		return nil, errors.Annotatef(ErrMalformed, "line %d: longer than %d bytes", number+1, MaxLineBytes)
	}
	return h, errors.Trace(lines.Err())
}

// readLine decodes one event.
func readLine(text []byte) (Event, error) {
	var l line
	if err := readStrictly(text, &l); err != nil {
		return nil, err
	}
	read, known := eventReaders[l.Event]
	if !known {
		return nil, errors.Errorf("field event: %q is no type of event", l.Event)
	}
	if len(l.Data) == 0 {
		return nil, errors.New("field data: missing")
	}
	return read(l.Data)
}

// readEvent decodes the data of an event and checks its fields.
func readEvent[E Event](data []byte) (Event, error) {
	var e E
	if err := readStrictly(data, &e); err != nil {
		return nil, err
	}
	return e, firstMistake(fieldRules.Struct(e))
}

// readStrictly decodes one JSON value, refuses unknown fields and text behind it, and names the field of a mistake.
func readStrictly(text []byte, into any) error {
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	err := d.Decode(into)
	if wrong := (*json.UnmarshalTypeError)(nil); errors.As(err, &wrong) {
		return errors.Errorf("field %s: a %s in place of %v", wrong.Field, wrong.Value, wrong.Type)
	}
	if err == nil && d.More() {
		return errors.New("text behind the event")
	}
	return err
}

// fieldRules checks the validate tags of events, and names fields by their JSON names.
var fieldRules = func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		return name
	})
	return v
}()

// embedded matches the names of embedded structs in the path of a field. JSON does not have them.
var embedded = regexp.MustCompile(`\b(Call|ItemVersion|Item)\.`)

// firstMistake returns the text of the first of several validation errors.
func firstMistake(err error) error {
	wrong := validator.ValidationErrors(nil)
	if !errors.As(err, &wrong) {
		return err
	}
	_, path, _ := strings.Cut(wrong[0].Namespace(), ".")
	rule := wrong[0].Tag()
	if wrong[0].Param() != "" {
		rule += " " + wrong[0].Param()
	}
	return errors.Errorf("field %s: %v breaks the rule %q", embedded.ReplaceAllString(path, ""), wrong[0].Value(), rule)
}
