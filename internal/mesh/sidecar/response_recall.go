package sidecar

import (
	"context"

	"cranegrade/internal/mesh/transport/codec"
	"cranegrade/internal/mesh/transport/wire"
)

const (
	// maxHandoverRecords and maxHandoverBytes bound one message of a hand-over. The bodies of its records may exceed
	// maxHandoverBytes by the last of them.
	maxHandoverRecords = 1000
	maxHandoverBytes   = 1 << 20
)

// responseExchange exchanges stored responses with other sidecars: it reads theirs, answers their lookups, and hands
// over this sidecar's own before maintenance.
type responseExchange struct {
	env         *environment
	upstreams   *upstreams
	maintenance *maintenanceView
	responses   *responseStore
}

// fetch reads the record of a key from the sidecar that holds its lease. If that sidecar is or was in maintenance,
// fetch asks its successor first.
func (r *responseExchange) fetch(ctx context.Context, holder, key string) (*wire.StoredResponseT, error) {
	switch successor := r.maintenance.successorOf(holder); successor {
	case "":
	case r.env.addr():
		if record := r.responses.inherited.get(holder, key); record != nil {
			return record, nil
		}
	default:
		if record, err := r.fetchFrom(ctx, successor, key, holder); err == nil && record.Found {
			return record, nil
		}
	}
	return r.fetchFrom(ctx, holder, key, "")
}

// fetchFrom reads the record of a key from the sidecar at addr. storedBy is the address of the sidecar that handed the
// record over to that one, or empty for a record of its own.
func (r *responseExchange) fetchFrom(ctx context.Context, addr, key, storedBy string) (*wire.StoredResponseT, error) {
	conn, err := r.upstreams.get(addr).connect(ctx)
	if err != nil {
		return nil, err
	}
	body := codec.EncodeTable(&wire.KeyHandoverT{SourceAddr: storedBy, List: []*wire.StoredResponseT{{Key: key}}})
	reply, err := r.env.calls.Call(ctx, conn, codec.CallStoredResponse, body)
	if err != nil {
		return nil, err
	}
	return codec.DecodeTable(reply.Body, func(encoded []byte) *wire.StoredResponseT {
		return wire.GetRootAsStoredResponse(encoded, 0).UnPack()
	})
}

// lookUp returns the record of a key for another sidecar. storedBy is the address of the sidecar that handed the record
// over to this one, or empty for a record of this sidecar's own.
func (r *responseExchange) lookUp(key, storedBy string) *wire.StoredResponseT {
	if storedBy != "" {
		if record := r.responses.inherited.get(storedBy, key); record != nil {
			return record
		}
		return &wire.StoredResponseT{}
	}
	if record, known := r.responses.get(key); known {
		return wireRecord(&record)
	}
	return &wire.StoredResponseT{OutcomeUnknown: true}
}

// handOver sends all stored responses to the successor. It returns nil once the successor has acknowledged them all.
func (r *responseExchange) handOver(ctx context.Context, successor string) error {
	rest := r.responses.export(r.env.keyLeaseTime())
	for len(rest) > 0 {
		count := handoverBatch(rest)
		conn, err := r.upstreams.get(successor).connect(ctx)
		if err != nil {
			return err
		}
		body := codec.EncodeTable(&wire.KeyHandoverT{SourceAddr: r.env.addr(), List: rest[:count]})
		if _, err := r.env.calls.Call(ctx, conn, codec.CallHandOverKeys, body); err != nil {
			return err
		}
		rest = rest[count:]
	}
	return nil
}

// handoverBatch returns how many of the records, from the first on, fit into one message.
func handoverBatch(records []*wire.StoredResponseT) (count int) {
	bytes := 0
	for count < len(records) && count < maxHandoverRecords && bytes < maxHandoverBytes {
		bytes += len(records[count].Body)
		count++
	}
	return count
}

// parseKeyHandover decodes the body of a call that looks up or hands over stored responses.
func parseKeyHandover(body []byte) (*wire.KeyHandoverT, error) {
	return codec.DecodeTable(body, func(p []byte) *wire.KeyHandoverT { return wire.GetRootAsKeyHandover(p, 0).UnPack() })
}
