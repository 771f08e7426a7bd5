package testfleet

import "testing"

// Each mutation still fits the package that it is put into, and an unknown one is refused.
func TestBuildMutant(t *testing.T) {
	t.Parallel()
	dir := t.TempDir()
	for _, mutation := range []Mutation{MutationSeen, MutationStalled, MutationLiar, MutationGullible} {
		if _, err := BuildMutant(dir, mutation); err != nil {
			t.Errorf("%s: %v", mutation, err)
		}
	}
	if path, err := BuildMutant(dir, "unknown"); err == nil {
		t.Errorf("an unknown mutation was built: %s", path)
	}
}
