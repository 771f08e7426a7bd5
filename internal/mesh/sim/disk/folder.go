package disk

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
)

// folder maps names to files.
type folder struct {
	cached   map[string]*file // as processes see them
	durable  map[string]*file // as of the last sync of the folder
	unsynced []nameChange     // what was done since then
}

// nameChange is one change of names: file gets the name to and loses the name from. One of the two is "" if there is no such name.
type nameChange struct {
	file     *file
	from, to string
}

func newFolder() folder {
	return folder{cached: map[string]*file{}, durable: map[string]*file{}}
}

func (n nameChange) apply(names map[string]*file) {
	if n.from != "" {
		delete(names, n.from)
	}
	if n.to != "" {
		names[n.to] = n.file
	}
}

func (f *folder) apply(n nameChange) {
	n.apply(f.cached)
	f.unsynced = append(f.unsynced, n)
}

// create returns the file of a name, which is emptied if there was one.
func (f *folder) create(name string) *file {
	if old, ok := f.cached[name]; ok {
		old.truncate()
		return old
	}
	created := &file{}
	f.apply(nameChange{file: created, to: name})
	return created
}

func (f *folder) remove(name string) error {
	old, ok := f.cached[name]
	if !ok {
		return notExist("remove", name)
	}
	f.apply(nameChange{file: old, from: name})
	return nil
}

func (f *folder) rename(from, to string) error {
	old, ok := f.cached[from]
	if !ok {
		return notExist("rename", from)
	}
	f.apply(nameChange{file: old, from: from, to: to})
	return nil
}

func (f *folder) sync() {
	f.durable = maps.Clone(f.cached)
	f.unsynced = nil
}

// losePower keeps or loses each unsynced change of names by itself, and tears the files that are left in one of the modes.
func (f *folder) losePower(rng *rand.Rand, modes []TearMode) {
	for _, n := range f.unsynced {
		if rng.IntN(2) == 0 {
			n.apply(f.durable)
		}
	}
	f.cached, f.unsynced = maps.Clone(f.durable), nil
	for _, name := range slices.Sorted(maps.Keys(f.cached)) {
		f.cached[name].losePower(rng, modes)
	}
}

func notExist(op, name string) error {
	return &os.PathError{Op: op, Path: name, Err: os.ErrNotExist}
}
