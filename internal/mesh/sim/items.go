package sim

import (
	"fmt"
	"hash/fnv"
	"strings"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/history"
)

// itemNames is the number of services that operators configure. It is small, so that changes conflict.
const itemNames = 6

// Shape of the changes that operators draft.
const (
	twoItemShare       = 0.3  // of the changes have two items
	deletionShare      = 0.1  // of the items are deleted
	reusedVersionShare = 0.12 // of the items carry a version that was used before
	maxContent         = 1000
)

// itemVersion returns an item as histories record it.
func itemVersion(i config.Item) history.ItemVersion {
	v := history.ItemVersion{
		Item:    history.Item{Kind: i.Kind.String(), Name: i.Name},
		Version: i.Version,
		Deleted: i.Deleted,
	}
	if !i.Deleted {
		h := fnv.New32a()
		h.Write([]byte(i.Host))
		h.Write(i.Body)
		v.Digest = fmt.Sprintf("%08x", h.Sum32())
	}
	return v
}

// itemVersions returns items as histories record them.
func itemVersions(items []config.Item) []history.ItemVersion {
	l := make([]history.ItemVersion, 0, len(items))
	for _, i := range items {
		l = append(l, itemVersion(i))
	}
	return l
}

// draft is one item of a request that is being drafted.
type draft struct {
	name    string
	version int64
	content int
	deleted bool
}

// draftModifyRequest drafts a request of one or two items. Most carry the next version of an item, some a version that an operator
// has used with another content, and some delete the item.
func (w *World) draftModifyRequest() []byte {
	first := w.random.IntN(itemNames)
	drafts := []draft{w.draftItem(first)}
	if w.chance(twoItemShare) {
		drafts = append(drafts, w.draftItem((first+1+w.random.IntN(itemNames-1))%itemNames))
	}
	return encodeModifyRequest(drafts)
}

// draftItem drafts one item, by its number.
func (w *World) draftItem(n int) draft {
	d := draft{
		name:    fmt.Sprintf("service%d", n),
		content: 1 + w.random.IntN(maxContent),
		deleted: w.chance(deletionShare),
	}
	d.version = w.versions[d.name]
	if d.version == 0 || !w.chance(reusedVersionShare) {
		d.version++
		w.versions[d.name] = d.version
	}
	return d
}

// encodeModifyRequest returns the JSON of a request.
func encodeModifyRequest(drafts []draft) []byte {
	var upserts, drops []string
	for _, d := range drafts {
		if d.deleted {
			drops = append(drops, fmt.Sprintf(`{"Name":%q,"ConfigVersion":%d}`, d.name, d.version))
		} else {
			upserts = append(upserts, fmt.Sprintf(`{"Name":%q,"HealthPath":"/health","MaxConnections":%d,"ConfigVersion":%d}`,
				d.name, d.content, d.version))
		}
	}
	var parts []string
	if len(upserts) > 0 {
		parts = append(parts, `"Upsert":{"ListenerList":[],"UpstreamGroups":[`+strings.Join(upserts, ",")+`]}`)
	}
	if len(drops) > 0 {
		parts = append(parts, `"Remove":{"UpstreamGroups":[`+strings.Join(drops, ",")+`]}`)
	}
	return []byte("{" + strings.Join(parts, ",") + "}")
}
