package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/outlier"
)

const (
	// maxDirectPeers is the maximum number of members to which a digest is sent directly.
	maxDirectPeers = 64
	// digestRetransmitMult times the logarithm of the number of members is how often the gossip retransmits a digest.
	digestRetransmitMult = 2
	// incarnationBytes is the length of an incarnation in a digest message.
	incarnationBytes = 8
)

// digestVersion identifies one digest among those of a member and pool.
type digestVersion struct {
	incarnation uint64
	seq         uint32
}

// isNewer reports whether next is newer than v. Sequence numbers wrap around.
func (v digestVersion) isNewer(next digestVersion) bool {
	return v.incarnation != next.incarnation || int32(next.seq-v.seq) > 0
}

// digestKey returns the key under which the digests of a member and pool supersede each other.
func digestKey(member string, pool uint32) string {
	return member + "\x00" + string(binary.LittleEndian.AppendUint32(nil, pool))
}

// digestBroadcast is a digest that the gossip spreads to all members. It implements memberlist's NamedBroadcast: a later digest of the same
// member and pool replaces one that is still queued.
type digestBroadcast struct {
	key     string
	message []byte
}

// Name returns the digest's key.
func (b digestBroadcast) Name() string { return b.key }

// Message returns the encoded message.
func (b digestBroadcast) Message() []byte { return b.message }

// Finished does nothing: no caller waits for a digest's delivery.
func (b digestBroadcast) Finished() {}

// Invalidates reports whether another broadcast has the same member and pool.
func (b digestBroadcast) Invalidates(other memberlist.Broadcast) bool {
	digest, ok := other.(digestBroadcast)
	return ok && digest.key == b.key
}

// encodeDigest encodes a message of type digestMessage.
func encodeDigest(from string, incarnation uint64, digest outlier.Digest) []byte {
	message := append([]byte{digestMessage, byte(len(from))}, from...)
	message = binary.LittleEndian.AppendUint64(message, incarnation)
	return append(message, digest.Encode()...)
}

// decodeDigest decodes a message of type digestMessage. Its error wraps outlier.ErrDigest.
func decodeDigest(message []byte) (peerDigest, error) {
	const nameAt = 2
	if len(message) < nameAt {
		return peerDigest{}, outlier.ErrDigest
	}
	nameEnd := nameAt + int(message[1])
	if int(message[1]) > membership.MaxName || len(message) < nameEnd+incarnationBytes {
		return peerDigest{}, outlier.ErrDigest
	}
	digest, err := outlier.Decode(message[nameEnd+incarnationBytes:])
	if err != nil {
		return peerDigest{}, err
	}
	return peerDigest{
		from:        string(message[nameAt:nameEnd]),
		incarnation: binary.LittleEndian.Uint64(message[nameEnd:]),
		digest:      digest,
	}, nil
}

// broadcastDigest queues a digest for gossip to all members, and sends it directly to some: those whose subsets overlap with this node's.
func (f *Fleet) broadcastDigest(digest outlier.Digest, directlyTo []string) {
	message := encodeDigest(f.config.Name, f.incarnation, digest)
	f.mu.Lock()
	gossip := f.gossip
	var nodes []memberlist.Node
	for _, name := range directlyTo {
		if node, known := f.nodes[name]; known && len(nodes) < maxDirectPeers {
			nodes = append(nodes, node)
		}
	}
	open := gossip != nil && !f.closed && !f.leaving
	f.mu.Unlock()
	if !open {
		return
	}
	f.digestQueue.QueueBroadcast(digestBroadcast{key: digestKey(f.config.Name, digest.Pool), message: message})
	for i := range nodes {
		f.bytesSent.Add(int64(len(message)))
		_ = gossip.SendBestEffort(&nodes[i], message) // best effort: the gossip delivers it as well
	}
}

// receiveDigest delivers a digest to its pool and queues it for further gossip, unchanged and still under its author's name. Digests that
// are not newer than the author's latest, or that have an unknown author or pool, are dropped.
func (f *Fleet) receiveDigest(message []byte) {
	d, err := decodeDigest(message)
	if err != nil {
		f.recordMalformed(err)
		return
	}
	key := digestKey(d.from, d.digest.Pool)
	version := digestVersion{incarnation: d.incarnation, seq: d.digest.Seq}
	f.mu.Lock()
	_, known := f.nodes[d.from]
	pool := f.pools[d.digest.Pool]
	isNew := known && pool != nil && f.latestDigests[key].isNewer(version)
	if isNew {
		f.latestDigests[key] = version
	}
	f.mu.Unlock()
	if !isNew {
		return
	}
	pool.deliver(d)
	f.digestQueue.QueueBroadcast(digestBroadcast{key: key, message: slices.Clone(message)})
}
