package trunk

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"hollyspur/internal/exchange/trunk/wire"
)

// recordMissing has the compatibility tests write the encodings that testdata lacks, as for a table that is new. It never
// replaces one: those that are there were written by earlier builds, with which this one has to talk.
var recordMissing = flag.Bool("record-missing", false, "write the recorded encodings that testdata/frames lacks")

// encodingCase is one message or table with a value in each of its fields.
type encodingCase struct {
	file  string
	value any
}

// Values that stand within several tables.
var (
	sampleFields  = []*wire.FieldT{{Name: "X-Own", Value: "one"}, {Name: "Accept", Value: "*/*"}}
	sampleMembers = []*wire.MemberT{{Id: 11, Addr: "10.0.0.1:7380"}, {Id: 22, Addr: "10.0.0.2:7380"}}
	sampleOld     = []*wire.MemberT{{Id: 33, Addr: "10.0.0.3:7380"}}
	sampleItems   = []*wire.ItemT{
		{Kind: 1, Name: "stock", Version: 7, Dropped: true, Host: "shop.example", Body: []byte(`{"Name":"stock"}`), Stamp: 1_500_000_001, Past: []byte{1, 2, 3}},
		{Kind: 2, Name: "read", Version: 8, Dropped: true, Host: "shop.example", Body: []byte(`{"Name":"read"}`), Stamp: 1_500_000_002, Past: []byte{4}},
	}
	sampleActive = []*wire.ItemT{
		{Kind: 5, Name: "shelter", Version: 9, Dropped: true, Host: "h", Body: []byte(`{"Name":"shelter"}`), Stamp: 1_500_000_003, Past: []byte{5}}}
	sampleEntries = []*wire.EntryT{
		{Index: 101, Term: 5, Kind: 1, Stamp: 2_000_000_001, Data: []byte("first")}, {Index: 102, Term: 5, Kind: 2, Stamp: 2_000_000_002, Data: []byte("second")}}
	sampleSnapshot = &wire.SnapshotT{Index: 100, Term: 4, Stamp: 1_900_000_000, View: 90, Members: sampleMembers, Data: []byte("state"), Outgoing: sampleOld, Version: 1}
	sampleKept     = &wire.KeptT{Found: true, Running: true, Unknown: true, Status: 201, Fields: sampleFields, Body: []byte("kept"), Key: "t\x00k1", Left: 30_000_000}
	sampleClaims   = []*wire.ClaimT{
		{Key: "t\x00k1", Ticket: "ticket-1", Nth: 2, Holder: "10.1.0.1:7000/life", Release: true, Window: 62_000_000},
		{Key: "t\x00k2", Ticket: "ticket-2", Nth: 3, Holder: "10.1.0.2:7000/life", Release: true, Window: 61_000_000}}
)

// unionCases are the members of the union of a frame, in their order: the place of each is its number on the wire.
var unionCases = []encodingCase{
	{"01-hello", &wire.HelloT{Version: 2, Name: "side-1", Addr: "10.1.0.1:7000", Zone: "zone-1", Register: true, Member: 11, Life: 1_700_000_000}},
	{"02-heartbeat", &wire.BeatT{Touch: true, Applied: 104}},
	{"03-request", &wire.RequestT{Id: 9, Attempt: "9c41d07be2a35f68", Method: "POST", Target: "/send/x?y=z", Host: "shop.example", Fields: sampleFields,
		Body: []byte("body"), More: true, Length: 70_000, Budget: 2_500_000, Server: "i-side-1-1", Key: "t\x00k1", Ticket: "ticket-1", Nth: 2, Once: true,
		Head: []byte{1, 2, 'i', 'd'}}},
	{"04-body-chunk", &wire.PieceT{Id: 9, Body: []byte("more"), Last: true, Broken: true}},
	{"05-response", &wire.AnswerT{Id: 9, Ending: 3, Arrived: true, Status: 503, Fields: sampleFields, Body: []byte("no"), More: true, Length: 12, Head: []byte{6, 1, 'x'}}},
	{"06-window-update", &wire.CreditT{Id: 9, Bytes: 32_768}},
	{"07-cancel", &wire.CancelT{Id: 9}},
	{"08-records", &wire.RecordsT{List: []*wire.RecordT{
		{Node: "side-1", Life: 1_700_000_000, Seq: 4, Addr: "10.1.0.1:7000", Zone: "zone-1", Service: "stock", Server: "i-side-1-1", State: 0x82, Slots: 16,
			Warmup: 3_000_000, Speaks: 2},
		{Node: "side-2", Life: 1_700_000_001, Seq: 5, Addr: "10.1.0.2:7000", Zone: "zone-2", Service: "orders", Server: "i-side-2-1", State: 1, Slots: 6,
			Warmup: 1, Speaks: 1}}}},
	{"09-items", &wire.ItemsT{List: sampleItems, Whole: true, Index: 103, By: "ana", Consents: []string{"bo", "cy"}, Bound: sampleActive,
		Print: "0123456789abcdef", BoundAt: 99}},
	{"10-members", &wire.MembersT{List: sampleMembers, Index: 90, Outgoing: sampleOld, Version: 1}},
	{"11-raft-message", &wire.VoteT{Kind: 6, From: 11, To: 22, Term: 5, Index: 100, LogTerm: 4, Commit: 99, Entries: sampleEntries, Reject: true, Hint: 98, Seq: 77,
		Snapshot: sampleSnapshot, Addr: "10.0.0.1:7380", Members: sampleMembers, View: 90, Version: 1, Offset: 32_768, Total: 65_536, Sum: 0xdeadbeef, Leaving: true}},
	{"12-call", &wire.AskT{Id: 8, Kind: 4, Body: []byte("call")}},
	{"13-call-reply", &wire.ToldT{Id: 8, Status: 409, Body: []byte("conflict")}},
	{"14-machines-in-maintenance", &wire.OutsT{List: []*wire.OutT{{Addr: "10.1.0.1:7000", Order: "o1", Leading: true, Heir: "10.1.0.2:7000"}}, Index: 55}},
	{"15-active-policy", &wire.BoundT{Print: "0123456789abcdef", At: 99, Held: "fedcba9876543210"}},
}

// tableCases are the tables that stand by themselves: on disk, or as the body of a call or its reply.
var tableCases = []encodingCase{
	{"entry", sampleEntries[0]},
	{"snapshot", sampleSnapshot},
	{"state", &wire.StateT{Items: sampleItems, Tickets: []*wire.TicketT{
		{Key: "t\x00k1", Ticket: "ticket-1", Nth: 2, Holder: "10.1.0.1:7000/life", Stamp: 1_800_000_000, Window: 62_000_000_000}},
		Night: []byte(`{"index":55}`), Bound: sampleActive, Rules: []byte(`{"board":{}}`)}},
	{"configuration", &wire.MembersT{List: sampleMembers, Index: 90, Outgoing: sampleOld, Version: 1}},
	{"items", &wire.ItemsT{List: sampleItems, Whole: true, Index: 103, By: "ana", Consents: []string{"bo", "cy"}, Bound: sampleActive,
		Print: "0123456789abcdef", BoundAt: 99}},
	{"active-policy", &wire.BoundT{Print: "0123456789abcdef", At: 99, Held: "fedcba9876543210"}},
	{"maintenance-change", &wire.NightT{Kind: 2, Text: []byte(`{"id":"o1"}`)}},
	{"key-lease-requests", &wire.ClaimsT{List: sampleClaims}},
	{"key-lease-results", &wire.GrantsT{List: []*wire.GrantT{
		{Granted: true, Holder: "10.1.0.1:7000/life", Ticket: "ticket-1"}, {Granted: true, Holder: "10.1.0.2:7000/life", Ticket: "ticket-2"}}}},
	{"stored-response", sampleKept},
	{"key-handover", &wire.LegacyT{Of: "10.1.0.1:7000", List: []*wire.KeptT{sampleKept}}},
	{"status", &wire.StatusT{Name: "core-1", Addr: "10.0.0.1:7380", Zone: "zone-1", Register: true, Up: 9_000_000, Trouble: "disk full",
		Items: []*wire.HoldsT{{Kind: 1, Name: "stock", Version: 7, Dropped: true}}, Id: 11, Leader: "10.0.0.2:7380", Leads: true, Outside: true, Touch: true, Term: 5,
		Applied: 104, Last: 105, View: 90, Members: sampleMembers, Keys: 3, Lines: []string{"10.1.0.1:7000", "10.1.0.2:7000"}, Home: "10.0.0.1:7380", Ready: true,
		Leaving: true, Held: true, Service: "stock", Server: "i-side-1-1", State: 2, Why: "drained", Open: 4, Outs: 55, Sends: []string{"10.1.0.2:7000"}, Callers: 6,
		Time: 1_700_000_000_000_000_000, Handed: "o1", Work: []*wire.WorkT{{Kind: "keyed", Open: 1, Answered: 2, Refused: 3, Broken: 4}},
		RulesHeld: "fedcba9876543210", RulesBound: "0123456789abcdef", BoundAt: 99, BoundFor: 1_000_000, Fenced: true,
		Said: []*wire.SaidT{{Purpose: "beat", Frames: 10, Bytes: 360}}}},
}

// tableReaders read the tables of tableCases, by the file's name.
var tableReaders = map[string]func([]byte) any{
	"entry":              func(p []byte) any { return wire.GetRootAsEntry(p, 0).UnPack() },
	"snapshot":           func(p []byte) any { return wire.GetRootAsSnapshot(p, 0).UnPack() },
	"state":              func(p []byte) any { return wire.GetRootAsState(p, 0).UnPack() },
	"configuration":      func(p []byte) any { return wire.GetRootAsMembers(p, 0).UnPack() },
	"items":              func(p []byte) any { return wire.GetRootAsItems(p, 0).UnPack() },
	"active-policy":      func(p []byte) any { return wire.GetRootAsBound(p, 0).UnPack() },
	"maintenance-change": func(p []byte) any { return wire.GetRootAsNight(p, 0).UnPack() },
	"key-lease-requests": func(p []byte) any { return wire.GetRootAsClaims(p, 0).UnPack() },
	"key-lease-results":  func(p []byte) any { return wire.GetRootAsGrants(p, 0).UnPack() },
	"stored-response":    func(p []byte) any { return wire.GetRootAsKept(p, 0).UnPack() },
	"key-handover":       func(p []byte) any { return wire.GetRootAsLegacy(p, 0).UnPack() },
	"status":             func(p []byte) any { return wire.GetRootAsStatus(p, 0).UnPack() },
}

// recordedEncoding is what an earlier build made of a case.
func recordedEncoding(t *testing.T, file string, made []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "frames", file+".bin")
	recorded, err := os.ReadFile(path)
	if os.IsNotExist(err) && *recordMissing {
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, made, 0o644))
		return made
	}
	assert.NilError(t, err)
	return recorded
}

// requireAllSet fails where a field of a value, or of one within it, is zero: its place in the encoding would not be checked.
func requireAllSet(t *testing.T, path string, v reflect.Value) {
	t.Helper()
	switch v.Kind() {
	case reflect.Pointer:
		assert.Assert(t, !v.IsNil(), "%s is not set", path)
		requireAllSet(t, path, v.Elem())
	case reflect.Struct:
		for i := range v.NumField() {
			requireAllSet(t, path+"."+v.Type().Field(i).Name, v.Field(i))
		}
	case reflect.Slice:
		assert.Assert(t, v.Len() > 0, "%s is empty", path)
		for i := range v.Len() {
			if v.Index(i).Kind() != reflect.Uint8 {
				requireAllSet(t, fmt.Sprintf("%s[%d]", path, i), v.Index(i))
			}
		}
	default:
		assert.Assert(t, !v.IsZero(), "%s is not set", path)
	}
}

// Every message is encoded to the bytes that earlier builds made of it, and those are decoded to the same values: names of
// tables and fields may change, their places may not.
func TestFramesOfEarlierBuild(t *testing.T) {
	assert.Equal(t, len(unionCases), len(wire.EnumNamesBody)-1, "a case for each member of the union")
	for i, c := range unionCases {
		t.Run(c.file, func(t *testing.T) {
			requireAllSet(t, c.file, reflect.ValueOf(c.value))
			made := Encode(c.value)
			recorded := recordedEncoding(t, c.file, made)
			assert.Assert(t, bytes.Equal(made, recorded), "encoded to\n%x\nin place of\n%x", made, recorded)
			m, err := Decode(recorded[4:])
			assert.NilError(t, err)
			assert.Equal(t, int(m.Type), i+1)
			assert.DeepEqual(t, m.Value, c.value)
		})
	}
}

// The same of the tables that stand by themselves, on disk among others.
func TestTablesOfEarlierBuild(t *testing.T) {
	assert.Equal(t, len(tableCases), len(tableReaders))
	for _, c := range tableCases {
		t.Run(c.file, func(t *testing.T) {
			requireAllSet(t, c.file, reflect.ValueOf(c.value))
			made := Bytes(c.value.(Packer))
			recorded := recordedEncoding(t, "table-"+c.file, made)
			assert.Assert(t, bytes.Equal(made, recorded), "encoded to\n%x\nin place of\n%x", made, recorded)
			got, err := Parse(recorded, tableReaders[c.file])
			assert.NilError(t, err)
			assert.DeepEqual(t, got, c.value)
		})
	}
}

// A packed header has the bytes that earlier builds made: names that are known by number keep their numbers.
func TestPackedHeaderOfEarlierBuild(t *testing.T) {
	var made []byte
	for i, name := range names {
		made = PackField(made, name, fmt.Sprint("value ", i))
	}
	made = PackField(made, "X-Own", "")
	recorded := recordedEncoding(t, "packed-header", made)
	assert.Assert(t, bytes.Equal(made, recorded), "packed to\n%x\nin place of\n%x", made, recorded)
	fields, err := UnpackHead(recorded)
	assert.NilError(t, err)
	assert.Equal(t, len(fields), len(names)+1)
	for i, name := range names {
		assert.DeepEqual(t, fields[i], &wire.FieldT{Name: name, Value: fmt.Sprint("value ", i)})
	}
	assert.DeepEqual(t, fields[len(names)], &wire.FieldT{Name: "X-Own"})
}

// The numbers of the kinds of calls are those of earlier builds.
func TestCallKindsOfEarlierBuild(t *testing.T) {
	kinds := []byte{AskModify, AskRead, AskTable, AskClaims, AskRecall, AskStatus, AskRing, AskInherit, AskHold, AskBound}
	for i, kind := range kinds {
		assert.Equal(t, int(kind), i+1)
	}
	assert.Equal(t, Version, 2)
	assert.Equal(t, PacksHeads, 2)
}

// The names by which frames are counted are read by other builds' tools.
func TestMessageTypesOfEarlierBuild(t *testing.T) {
	assert.DeepEqual(t, purposes[:], []string{"none", "hello", "beat", "request", "piece", "answer", "credit", "cancel", "records", "items", "members", "core",
		"ask", "told", "outs", "bound"})
}
