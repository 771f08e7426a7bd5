package codec

import (
	"bytes"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/transport/wire"
)

// recordMissing makes the compatibility tests write encodings that are missing in testdata, for example of a new table. It never
// overwrites existing ones: they were recorded by earlier builds, with which this build must be compatible.
var recordMissing = flag.Bool("record-missing", false, "write the recorded encodings that testdata/frames lacks")

// encodingCase is a message or table in which every field is set.
type encodingCase struct {
	file  string
	value any
}

// Values that several tables contain.
var (
	sampleFields   = []*wire.HeaderFieldT{{Name: "X-Own", Value: "one"}, {Name: "Accept", Value: "*/*"}}
	sampleMembers  = []*wire.MemberT{{Id: 11, Addr: "10.0.0.1:7380"}, {Id: 22, Addr: "10.0.0.2:7380"}}
	sampleOutgoing = []*wire.MemberT{{Id: 33, Addr: "10.0.0.3:7380"}}
	sampleItems    = []*wire.ItemT{
		{
			Kind: 1, Name: "stock", Version: 7, Deleted: true, Host: "shop.example", Body: []byte(`{"Name":"stock"}`),
			LogTimeNs: 1_500_000_001, History: []byte{1, 2, 3},
		},
		{
			Kind: 2, Name: "read", Version: 8, Deleted: true, Host: "shop.example", Body: []byte(`{"Name":"read"}`),
			LogTimeNs: 1_500_000_002, History: []byte{4},
		},
	}
	sampleActive = []*wire.ItemT{
		{
			Kind: 5, Name: "shelter", Version: 9, Deleted: true, Host: "h", Body: []byte(`{"Name":"shelter"}`),
			LogTimeNs: 1_500_000_003, History: []byte{5},
		},
	}
	sampleEntries = []*wire.EntryT{
		{Index: 101, Term: 5, Kind: 1, LogTimeNs: 2_000_000_001, Data: []byte("first")}, {
			Index: 102, Term: 5, Kind: 2,
			LogTimeNs: 2_000_000_002, Data: []byte("second"),
		},
	}
	sampleSnapshot = &wire.SnapshotT{
		Index: 100, Term: 4, LogTimeNs: 1_900_000_000, ConfigurationIndex: 90,
		Members: sampleMembers, Data: []byte("state"), Outgoing: sampleOutgoing, RaftVersion: 1,
	}
	sampleStoredResponse = &wire.StoredResponseT{
		Found: true, Running: true, OutcomeUnknown: true, Status: 201,
		HeaderFields: sampleFields, Body: []byte("kept"), Key: "t\x00k1", TtlUs: 30_000_000,
	}
	sampleLeaseRequests = []*wire.KeyLeaseRequestT{
		{Key: "t\x00k1", Token: "ticket-1", Attempt: 2, Holder: "10.1.0.1:7000/life", Release: true, WindowUs: 62_000_000},
		{Key: "t\x00k2", Token: "ticket-2", Attempt: 3, Holder: "10.1.0.2:7000/life", Release: true, WindowUs: 61_000_000},
	}
)

// unionCases are the members of the union Payload in the order of their numbers on the wire, starting at 1.
var unionCases = []encodingCase{
	{"01-hello", &wire.HelloT{
		TransportVersion: 2, Name: "side-1", Addr: "10.1.0.1:7000", Zone: "zone-1",
		ControlPlane: true, MemberId: 11, Incarnation: 1_700_000_000,
	}},
	{"02-heartbeat", &wire.HeartbeatT{QuorumContact: true, AppliedIndex: 104}},
	{"03-request", &wire.RequestT{
		Id: 9, AttemptId: "9c41d07be2a35f68", Method: "POST", Target: "/send/x?y=z",
		Host: "shop.example", HeaderFields: sampleFields,
		Body: []byte("body"), MoreBody: true, ContentLength: 70_000, TimeoutUs: 2_500_000, ServerId: "i-side-1-1",
		IdempotencyKey: "t\x00k1", Token: "ticket-1", Attempt: 2, AtMostOnce: true,
		PackedHeader: []byte{1, 2, 'i', 'd'},
	}},
	{"04-body-chunk", &wire.BodyChunkT{Id: 9, Data: []byte("more"), Last: true, Aborted: true}},
	{"05-response", &wire.ResponseT{
		Id: 9, Ending: 3, Arrived: true, Status: 503, HeaderFields: sampleFields,
		Body: []byte("no"), MoreBody: true, ContentLength: 12, PackedHeader: []byte{6, 1, 'x'},
	}},
	{"06-window-update", &wire.WindowUpdateT{Id: 9, Increment: 32_768}},
	{"07-cancel", &wire.CancelT{Id: 9}},
	{"08-records", &wire.RecordsT{List: []*wire.RecordT{
		{
			Node: "side-1", Incarnation: 1_700_000_000, Sequence: 4, Addr: "10.1.0.1:7000", Zone: "zone-1", Service: "stock",
			ServerId: "i-side-1-1", State: 0x82, Slots: 16,
			WarmupUs: 3_000_000, TransportVersion: 2,
		},
		{
			Node: "side-2", Incarnation: 1_700_000_001, Sequence: 5, Addr: "10.1.0.2:7000", Zone: "zone-2", Service: "orders",
			ServerId: "i-side-2-1", State: 1, Slots: 6,
			WarmupUs: 1, TransportVersion: 1,
		},
	}}},
	{"09-items", &wire.ItemsT{
		List: sampleItems, Complete: true, Index: 103, Author: "ana", Consents: []string{"bo", "cy"},
		ActivePolicy:      sampleActive,
		ActiveFingerprint: "0123456789abcdef", ActiveIndex: 99,
	}},
	{"10-members", &wire.MembersT{List: sampleMembers, Index: 90, Outgoing: sampleOutgoing, RaftVersion: 1}},
	{"11-raft-message", &wire.RaftMessageT{
		Kind: 6, From: 11, To: 22, Term: 5, Index: 100, LogTerm: 4, Commit: 99,
		Entries: sampleEntries, Reject: true, Hint: 98, HeartbeatRound: 77,
		Snapshot: sampleSnapshot, Addr: "10.0.0.1:7380", Members: sampleMembers, ConfigurationIndex: 90, RaftVersion: 1,
		Offset: 32_768, TotalBytes: 65_536, Checksum: 0xdeadbeef, Leaving: true,
	}},
	{"12-call", &wire.CallT{Id: 8, Kind: 4, Body: []byte("call")}},
	{"13-call-reply", &wire.CallReplyT{Id: 8, Status: 409, Body: []byte("conflict")}},
	{"14-machines-in-maintenance", &wire.MachinesInMaintenanceT{List: []*wire.MachineInMaintenanceT{{
		Addr:    "10.1.0.1:7000",
		OrderId: "o1", DrainCallers: true, Successor: "10.1.0.2:7000",
	}}, Index: 55}},
	{"15-active-policy", &wire.ActivePolicyT{
		Fingerprint: "0123456789abcdef", Index: 99,
		CommittedFingerprint: "fedcba9876543210",
	}},
}

// tableCases are the tables that are encoded without a frame: on disk, or as the body of a call or reply.
var tableCases = []encodingCase{
	{"entry", sampleEntries[0]},
	{"snapshot", sampleSnapshot},
	{"state", &wire.StateT{
		Items: sampleItems, KeyLeases: []*wire.KeyLeaseT{
			{
				Key: "t\x00k1", Token: "ticket-1", Attempt: 2, Holder: "10.1.0.1:7000/life", GrantedAtNs: 1_800_000_000,
				WindowNs: 62_000_000_000,
			},
		},
		Maintenance: []byte(`{"index":55}`), ActivePolicy: sampleActive, Policy: []byte(`{"board":{}}`),
	}},
	{"configuration", &wire.MembersT{List: sampleMembers, Index: 90, Outgoing: sampleOutgoing, RaftVersion: 1}},
	{"items", &wire.ItemsT{
		List: sampleItems, Complete: true, Index: 103, Author: "ana", Consents: []string{"bo", "cy"},
		ActivePolicy:      sampleActive,
		ActiveFingerprint: "0123456789abcdef", ActiveIndex: 99,
	}},
	{"active-policy", &wire.ActivePolicyT{Fingerprint: "0123456789abcdef", Index: 99, CommittedFingerprint: "fedcba9876543210"}},
	{"maintenance-change", &wire.MaintenanceChangeT{Kind: 2, Json: []byte(`{"id":"o1"}`)}},
	{"key-lease-requests", &wire.KeyLeaseRequestsT{List: sampleLeaseRequests}},
	{"key-lease-results", &wire.KeyLeaseResultsT{List: []*wire.KeyLeaseResultT{
		{Granted: true, Holder: "10.1.0.1:7000/life", Token: "ticket-1"}, {
			Granted: true, Holder: "10.1.0.2:7000/life",
			Token: "ticket-2",
		},
	}}},
	{"stored-response", sampleStoredResponse},
	{"key-handover", &wire.KeyHandoverT{SourceAddr: "10.1.0.1:7000", List: []*wire.StoredResponseT{sampleStoredResponse}}},
	{"status", &wire.StatusT{
		Name: "core-1", Addr: "10.0.0.1:7380", Zone: "zone-1", ControlPlane: true, UptimeUs: 9_000_000,
		Fault:        "disk full",
		ItemVersions: []*wire.ItemVersionT{{Kind: 1, Name: "stock", Version: 7, Deleted: true}}, MemberId: 11,
		LeaderAddr: "10.0.0.2:7380", IsLeader: true, IsNonMember: true, QuorumContact: true, Term: 5,
		AppliedIndex: 104, LastIndex: 105, ConfigurationIndex: 90, Members: sampleMembers, KeyCount: 3,
		Sidecars: []string{"10.1.0.1:7000", "10.1.0.2:7000"}, FollowedMember: "10.0.0.1:7380", Ready: true,
		Stopping: true, InMaintenance: true, Service: "stock", ServerId: "i-side-1-1", ServerState: 2,
		ServerStateReason: "drained", OpenRequests: 4, MaintenanceIndex: 55, UpstreamAddrs: []string{"10.1.0.2:7000"},
		DownstreamRequests: 6,
		WallTimeNs:         1_700_000_000_000_000_000, HandedOverOrder: "o1", Work: []*wire.WorkCounterT{{
			Kind: "keyed", Open: 1,
			Answered: 2, Rejected: 3, Broken: 4,
		}},
		CommittedPolicy: "fedcba9876543210", ActivePolicy: "0123456789abcdef", ActivePolicyIndex: 99,
		ActivePolicyAgeUs: 1_000_000, Fenced: true,
		Traffic: []*wire.TrafficCounterT{{MessageType: "beat", Frames: 10, Bytes: 360}},
	}},
}

// tableReaders are the functions that decode the tables of tableCases, by file name.
var tableReaders = map[string]func([]byte) any{
	"entry":              func(p []byte) any { return wire.GetRootAsEntry(p, 0).UnPack() },
	"snapshot":           func(p []byte) any { return wire.GetRootAsSnapshot(p, 0).UnPack() },
	"state":              func(p []byte) any { return wire.GetRootAsState(p, 0).UnPack() },
	"configuration":      func(p []byte) any { return wire.GetRootAsMembers(p, 0).UnPack() },
	"items":              func(p []byte) any { return wire.GetRootAsItems(p, 0).UnPack() },
	"active-policy":      func(p []byte) any { return wire.GetRootAsActivePolicy(p, 0).UnPack() },
	"maintenance-change": func(p []byte) any { return wire.GetRootAsMaintenanceChange(p, 0).UnPack() },
	"key-lease-requests": func(p []byte) any { return wire.GetRootAsKeyLeaseRequests(p, 0).UnPack() },
	"key-lease-results":  func(p []byte) any { return wire.GetRootAsKeyLeaseResults(p, 0).UnPack() },
	"stored-response":    func(p []byte) any { return wire.GetRootAsStoredResponse(p, 0).UnPack() },
	"key-handover":       func(p []byte) any { return wire.GetRootAsKeyHandover(p, 0).UnPack() },
	"status":             func(p []byte) any { return wire.GetRootAsStatus(p, 0).UnPack() },
}

// recordedEncoding returns the encoding of a case by an earlier build. If it is missing and recordMissing is set, it records encoded.
func recordedEncoding(t *testing.T, file string, encoded []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", "frames", file+".bin")
	recorded, err := os.ReadFile(path)
	if os.IsNotExist(err) && *recordMissing {
		assert.NilError(t, os.MkdirAll(filepath.Dir(path), 0o755))
		assert.NilError(t, os.WriteFile(path, encoded, 0o644))
		return encoded
	}
	assert.NilError(t, err)
	return recorded
}

// requireAllSet fails the test if a field of a value, or of a nested value, is zero, because its position in the encoding would not be
// tested.
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

// Every message is encoded to the same bytes as by earlier builds, and these are decoded to the same values. Names of tables and fields
// may change, but not their positions in the schema.
func TestFramesOfEarlierBuild(t *testing.T) {
	assert.Equal(t, len(unionCases), len(wire.EnumNamesPayload)-1, "a case for each member of the union")
	for i, c := range unionCases {
		t.Run(c.file, func(t *testing.T) {
			requireAllSet(t, c.file, reflect.ValueOf(c.value))
			encoded := Encode(c.value)
			recorded := recordedEncoding(t, c.file, encoded)
			assert.Assert(t, bytes.Equal(encoded, recorded), "encoded to\n%x\ninstead of\n%x", encoded, recorded)
			m, err := Decode(recorded[4:])
			assert.NilError(t, err)
			assert.Equal(t, int(m.Type), i+1)
			assert.DeepEqual(t, m.Value, c.value)
		})
	}
}

// The same holds for tables that are encoded without a frame, for example on disk.
func TestTablesOfEarlierBuild(t *testing.T) {
	assert.Equal(t, len(tableCases), len(tableReaders))
	for _, c := range tableCases {
		t.Run(c.file, func(t *testing.T) {
			requireAllSet(t, c.file, reflect.ValueOf(c.value))
			encoded := EncodeTable(c.value.(Packer))
			recorded := recordedEncoding(t, "table-"+c.file, encoded)
			assert.Assert(t, bytes.Equal(encoded, recorded), "encoded to\n%x\ninstead of\n%x", encoded, recorded)
			got, err := DecodeTable(recorded, tableReaders[c.file])
			assert.NilError(t, err)
			assert.DeepEqual(t, got, c.value)
		})
	}
}

// A packed header has the same bytes as in earlier builds: names that are encoded as numbers keep their numbers.
func TestPackedHeaderOfEarlierBuild(t *testing.T) {
	var packed []byte
	for i, name := range knownHeaderFields {
		packed = AppendHeaderField(packed, name, fmt.Sprint("value ", i))
	}
	packed = AppendHeaderField(packed, "X-Own", "")
	recorded := recordedEncoding(t, "packed-header", packed)
	assert.Assert(t, bytes.Equal(packed, recorded), "packed to\n%x\ninstead of\n%x", packed, recorded)
	fields, err := UnpackHeader(recorded)
	assert.NilError(t, err)
	assert.Equal(t, len(fields), len(knownHeaderFields)+1)
	for i, name := range knownHeaderFields {
		assert.DeepEqual(t, fields[i], &wire.HeaderFieldT{Name: name, Value: fmt.Sprint("value ", i)})
	}
	assert.DeepEqual(t, fields[len(knownHeaderFields)], &wire.HeaderFieldT{Name: "X-Own"})
}

// Kinds of calls keep the numbers that they have in earlier builds.
func TestCallKindsOfEarlierBuild(t *testing.T) {
	kinds := []byte{
		CallModify, CallReadIndex, CallItems, CallLeaseKeys, CallStoredResponse, CallStatus, CallLogRing,
		CallHandOverKeys, CallDrain, CallActivePolicy,
	}
	for i, kind := range kinds {
		assert.Equal(t, int(kind), i+1)
	}
	assert.Equal(t, PackedHeaderVersion, 2)
}
