package mesh

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// After the first start the seeds may be others, fewer, or down. Registers find each other by their disks where nobody answers at
// their seeds, and none of them founds a second core; a line finds them by the one seed that is there.
func TestSeedsTurnOver(t *testing.T) {
	m := start(t, "stock", "orders")
	nobody := func(n int) string { return fmt.Sprintf("%s.%d:9", m.net, 240+n) }
	for _, x := range m.Registers {
		x.Kill()
	}
	for _, x := range m.Registers {
		assert.NilError(t, x.Seeds(nobody(1), nobody(2), nobody(3)))
		assert.NilError(t, x.Start())
	}
	m.change(t, 2, Route("one", "idempotent", "/one/", "stock", 2))
	for _, x := range m.Registers {
		x.holds(t, `"/one/"`)
	}
	for n, x := range m.Lines {
		x.Kill()
		assert.NilError(t, x.Seeds(nobody(1), m.Registers[1+n].At("ControlPlane"), nobody(2)))
		assert.NilError(t, x.Start())
		x.served(t, "GET", "/one/", "")
	}
	// One whose disk is lost has the new seeds to go by, one of which is there.
	lost := m.Registers[0]
	lost.Kill()
	assert.NilError(t, lost.Wipe())
	assert.NilError(t, lost.Seeds(nobody(1), m.Registers[2].At("ControlPlane")))
	assert.NilError(t, lost.Start())
	lost.holds(t, `"/one/"`)
	m.change(t, 3, Route("two", "idempotent", "/two/", "stock", 3))
	lost.holds(t, `"/two/"`)
	m.clean(t)
}
