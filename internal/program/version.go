package program

import "runtime/debug"

// revisionLength is how many digits of a revision the version shows.
const revisionLength = 12

// version returns the version of the program and of Go, as far as the build has recorded them.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "of an unknown version"
	}
	text, modified := info.Main.Version, false
	if text == "" || text == "(devel)" {
		text = "devel"
		for _, s := range info.Settings {
			switch s.Key {
			case "vcs.revision":
				text = s.Value[:min(revisionLength, len(s.Value))]
			case "vcs.modified":
				modified = s.Value == "true"
			}
		}
	}
	if modified {
		text += " with changes"
	}
	return text + " " + info.GoVersion
}
