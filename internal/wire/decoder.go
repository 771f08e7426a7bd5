package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strings"

	"cranegrade/balancer"
)

const (
	readBufferBytes = 1 << 20
	// serverLists is how many lists of servers can be referred to by number.
	serverLists = 16
	// noInstance is the instance before the first "about" of a batch.
	noInstance = -1
)

// Modes of a server list's message.
const (
	listChanges  = 0 // the entries that changed
	listComplete = 1
	listCached   = 2 // complete, from before a restart
	listFailed   = 3 // a call of discovery failed, or its subscription broke
)

// States of a list's item.
const (
	itemDraining = 0
	itemGone     = 1
	itemReady    = 2
)

// Bits of a request's flags.
const (
	flagCostHint    = 1 // the expected cost is valid
	flagClientRetry = 2 // a client's repeat of an earlier request
)

// Decoder reads messages one at a time.
type Decoder struct {
	r        *bufio.Reader
	line     int // number of the last line read
	inBatch  bool
	instance int // that the next messages are for, or noInstance
	lists    [serverLists][]balancer.Server
}

// NewDecoder returns a Decoder that reads r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{r: bufio.NewReaderSize(r, readBufferBytes), instance: noInstance}
}

// readLine reads a line without its end; io.ErrUnexpectedEOF if the input ends inside it.
func (d *Decoder) readLine() (string, error) {
	line, err := d.r.ReadString('\n')
	if errors.Is(err, io.EOF) {
		if line == "" {
			return "", io.EOF
		}
		return "", io.ErrUnexpectedEOF
	}
	d.line++
	return strings.TrimRight(line, "\r\n"), err
}

// Next returns the next message. It returns io.EOF when the input ends between two batches, and an error
// that names the line if the input ends elsewhere or is malformed; then the Decoder can't go on.
func (d *Decoder) Next() (Message, error) {
	for {
		line, err := d.readLine()
		ended := errors.Is(err, io.EOF)
		switch {
		case ended && !d.inBatch:
			return Message{}, io.EOF
		case ended || errors.Is(err, io.ErrUnexpectedEOF):
			return Message{}, fmt.Errorf("line %d: input ends inside a batch", d.line+1)
		case err != nil:
			return Message{}, fmt.Errorf("line %d: %w", d.line+1, err)
		case line == "":
			continue
		}
		message, isMessage, err := d.decode(line)
		if err != nil {
			return Message{}, fmt.Errorf("line %d: %w", d.line, err)
		}
		if isMessage {
			return message, nil
		}
	}
}

// decode decodes a line. A line that only changes the decoder's state is no message.
func (d *Decoder) decode(line string) (message Message, isMessage bool, err error) {
	name, rest, _ := strings.Cut(line, "\t")
	if inBatch := name != nameBatchStart; inBatch != d.inBatch {
		if d.inBatch {
			return message, false, fmt.Errorf("%s inside a batch", nameBatchStart)
		}
		return message, false, fmt.Errorf("%s outside a batch", quote(name))
	}
	f := &fields{name: name, parts: strings.Split(rest, "\t")}
	message.Instance = d.instance
	switch name {
	case nameBatchStart:
		message.Kind, message.Now = BatchStart, f.milliseconds(0)
		d.inBatch, d.instance = true, noInstance
		return message, true, f.err
	case nameBatchEnd:
		message.Kind = BatchEnd
		d.inBatch = false
		return message, true, f.err
	case nameAddress:
		d.instance = f.integer(0)
		if f.err == nil && d.instance < 0 {
			f.fail(0, "is negative")
		}
		return message, false, f.err
	case nameList:
		return message, false, d.readList(f)
	}
	if d.instance < 0 {
		return message, false, fmt.Errorf("%s before any %s", quote(name), nameAddress)
	}
	err = d.decodeForInstance(&message, f, rest)
	return message, true, err
}

// decodeForInstance decodes a message for an instance.
func (d *Decoder) decodeForInstance(message *Message, f *fields, rest string) error {
	switch f.name {
	case nameInstanceStart:
		message.Kind = InstanceStart
		return decodeInstanceStart(message, rest)
	case nameInstanceStop:
		message.Kind = InstanceStop
	case nameProbeResult, namePeerMessage:
		message.Kind = Ignored
	default:
		message.Kind = Event
		var known bool
		if message.Event, known = d.decodeEvent(f); !known {
			return fmt.Errorf("unknown message %s", quote(f.name))
		}
	}
	return f.err
}

// decodeInstanceStart decodes "hello SEED SETTINGS". The settings are JSON up to the end of the line.
func decodeInstanceStart(message *Message, rest string) error {
	seed, settings, found := strings.Cut(rest, "\t")
	if !found {
		return fmt.Errorf("%s lacks its settings", nameInstanceStart)
	}
	f := &fields{name: nameInstanceStart, parts: []string{seed}}
	message.Seed = f.seed(0)
	if f.err == nil {
		message.Settings, _, f.err = ParseSettings([]byte(settings))
	}
	return f.err
}

// decodeEvent decodes an event; false if there is none of this name. The numbers are the positions of the
// values in the simulator's description of its messages.
func (d *Decoder) decodeEvent(f *fields) (event balancer.Event, known bool) {
	switch f.name {
	case nameServerList:
		return d.decodeServerList(f), true
	case nameRequest:
		return decodeRequest(f), true
	case nameTimer:
		return balancer.Timer{Token: f.text(0)}, true
	case nameOutcome:
		return balancer.Outcome{
			ID:      f.text(0),
			Server:  f.text(1),
			Latency: f.milliseconds(2),
			Ended:   f.text(3) == "1",
			Attempt: f.integer(4),
			Ending:  f.ending(5),
			Load:    f.load(6),
		}, true
	case nameClientGone:
		return balancer.ClientGone{ID: f.text(0)}, true
	case nameStarted:
		return balancer.Started{ID: f.text(0), Attempt: f.integer(3)}, true
	}
	return nil, false
}

// decodeServerList decodes "announce MODE LIST VERSION".
func (d *Decoder) decodeServerList(f *fields) balancer.Event {
	mode := f.integer(0)
	switch mode {
	case listChanges, listComplete, listCached:
		list := f.integer(1)
		if f.err == nil && (list < 0 || list >= len(d.lists)) {
			f.fail(1, "is no list number")
		}
		if f.err != nil {
			return nil
		}
		return balancer.ServerList{
			Full:    mode != listChanges,
			Cached:  mode == listCached,
			Servers: d.lists[list],
		}
	case listFailed:
		return balancer.ListFailed{}
	}
	f.fail(0, "is no mode")
	return nil
}

// decodeRequest decodes "job_in ID DEADLINE KEY CLASS FLAGS TENANT COST".
func decodeRequest(f *fields) balancer.Event {
	request := balancer.Request{
		ID:       f.text(0),
		Deadline: f.milliseconds(1),
		Class:    f.text(3),
		Tenant:   f.optionalText(5),
	}
	flags := f.optionalInteger(4)
	request.ClientRetry = flags&flagClientRetry != 0
	if flags&flagCostHint != 0 {
		request.Cost = f.optionalMilliseconds(6)
	}
	return request
}

// readList reads a numbered list of servers: "list NUMBER ITEMS" and as many lines of items.
func (d *Decoder) readList(f *fields) error {
	list, items := f.integer(0), f.integer(1)
	if f.err != nil {
		return f.err
	}
	if list < 0 || list >= len(d.lists) || items < 0 {
		return errors.New("list number or length out of range")
	}
	var servers []balancer.Server
	for i := range items {
		line, err := d.readLine()
		if err != nil {
			return fmt.Errorf("list ends after %d of %d items", i, items)
		}
		name, rest, _ := strings.Cut(line, "\t")
		if name != nameListItem {
			return fmt.Errorf("want %s %d of %d, got %s", nameListItem, i+1, items, quote(name))
		}
		server, err := decodeServer(&fields{name: name, parts: strings.Split(rest, "\t")})
		if err != nil {
			return err
		}
		servers = append(servers, server)
	}
	d.lists[list] = servers
	return nil
}

// decodeServer decodes "item ID ZONE MODEL CELL STATE SIZE STARTED".
func decodeServer(f *fields) (balancer.Server, error) {
	server := balancer.Server{
		ID:        f.text(0),
		Zone:      f.text(1),
		Cell:      f.integer(3),
		Size:      f.optionalNumber(5),
		StartedAt: f.optionalMilliseconds(6),
	}
	switch f.integer(4) {
	case itemReady:
		server.State = balancer.Ready
	case itemDraining:
		server.State = balancer.Draining
	case itemGone:
		server.State = balancer.Gone
	default:
		f.fail(4, "is no state")
	}
	return server, f.err
}
