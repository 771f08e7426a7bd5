package disk

import (
	"maps"
	"math/rand/v2"
	"os"
	"slices"
)

// folder is the names of files.
type folder struct {
	names    map[string]*file // as processes see them
	lasting  map[string]*file // as of the last sync of the folder
	unsynced []naming         // what was done since then
}

// naming is one change of names: file gets the name to, and loses the name from. One of the names may be empty.
type naming struct {
	file     *file
	from, to string
}

func newFolder() folder {
	return folder{names: map[string]*file{}, lasting: map[string]*file{}}
}

func (n naming) apply(names map[string]*file) {
	if n.from != "" {
		delete(names, n.from)
	}
	if n.to != "" {
		names[n.to] = n.file
	}
}

func (f *folder) do(n naming) {
	n.apply(f.names)
	f.unsynced = append(f.unsynced, n)
}

// create is the file of a name, emptied if there was one.
func (f *folder) create(name string) *file {
	if old, is := f.names[name]; is {
		old.truncate()
		return old
	}
	made := &file{}
	f.do(naming{file: made, to: name})
	return made
}

func (f *folder) remove(name string) error {
	old, is := f.names[name]
	if !is {
		return missing("remove", name)
	}
	f.do(naming{file: old, from: name})
	return nil
}

func (f *folder) rename(from, to string) error {
	old, is := f.names[from]
	if !is {
		return missing("rename", from)
	}
	f.do(naming{file: old, from: from, to: to})
	return nil
}

func (f *folder) sync() {
	f.lasting = maps.Clone(f.names)
	f.unsynced = nil
}

// lose keeps each unsynced change of names or not, by itself, and tears the files that are left.
func (f *folder) lose(rng *rand.Rand, tears []Tear) {
	for _, n := range f.unsynced {
		if rng.IntN(2) == 0 {
			n.apply(f.lasting)
		}
	}
	f.names, f.unsynced = maps.Clone(f.lasting), nil
	for _, name := range slices.Sorted(maps.Keys(f.names)) {
		f.names[name].lose(rng, tears)
	}
}

func missing(op, name string) error {
	return &os.PathError{Op: op, Path: name, Err: os.ErrNotExist}
}
