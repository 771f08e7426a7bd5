package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/hashicorp/memberlist"

	"cranegrade/internal/fleet/membership"
	"cranegrade/internal/fleet/outlier"
)

const (
	// maxDirectPeers bounds the members that a digest is sent to directly.
	maxDirectPeers = 64
	// digestRetransmitMult is how often the gossip sends a digest on, times the logarithm of the members.
	digestRetransmitMult = 2
	// incarnationBytes is the length of an incarnation in a digest message.
	incarnationBytes = 8
)

// digestVersion is the latest digest of a member and pool that was received.
type digestVersion struct {
	incarnation uint64
	seq         uint32
}

// isNewer reports whether a digest is newer than this version. Sequence numbers wrap around.
func (v digestVersion) isNewer(next digestVersion) bool {
	return v.incarnation != next.incarnation || int32(next.seq-v.seq) > 0
}

// digestKey identifies the digests of a member and pool.
func digestKey(member string, pool uint32) string {
	return member + "\x00" + string(binary.LittleEndian.AppendUint32(nil, pool))
}

// digestBroadcast is a digest that the gossip sends to all members. It implements memberlist's NamedBroadcast: a later digest of the same
// member and pool takes the place of one that is still queued.
type digestBroadcast struct {
	key     string
	message []byte
}

// Name returns the digest's key.
func (b digestBroadcast) Name() string { return b.key }

// Message returns the encoded message.
func (b digestBroadcast) Message() []byte { return b.message }

// Finished does nothing: nobody waits for a digest.
func (b digestBroadcast) Finished() {}

// Invalidates reports whether another broadcast is of the same member and pool.
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

// decodeDigest decodes what encodeDigest returned. The error is an outlier.ErrDigest.
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

// broadcastDigest sends a digest at once to some members, those that draw from the same servers, and by the gossip to all.
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
		_ = gossip.SendBestEffort(&nodes[i], message) // the gossip brings it, too
	}
}

// receiveDigest delivers a digest to its pool. If it is newer than those before, the gossip sends it on unchanged, in the name of the
// member that it is of.
func (f *Fleet) receiveDigest(message []byte) {
	d, err := decodeDigest(message)
	if err != nil {
		f.recordUnreadable(err)
		return
	}
	key := digestKey(d.from, d.digest.Pool)
	version := digestVersion{incarnation: d.incarnation, seq: d.digest.Seq}
	f.mu.Lock()
	_, known := f.nodes[d.from]
	pool := f.pools[d.digest.Pool]
	isNews := known && pool != nil && f.latestDigests[key].isNewer(version)
	if isNews {
		f.latestDigests[key] = version
	}
	f.mu.Unlock()
	if !isNews {
		return
	}
	pool.deliver(d)
	f.digestQueue.QueueBroadcast(digestBroadcast{key: key, message: slices.Clone(message)})
}
