package daemon

import (
	"context"
	"os"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"cranegrade/internal/mesh/settings"
)

const (
	testTimeout = 20 * time.Second
	validFile   = "NodeName: one\nIpAddress: 10.0.0.1\nInternalPortRange: [7380, 7395]\n"
)

// fakeRole runs until its context is cancelled, and forwards the settings passed to Reload.
type fakeRole struct {
	reloaded chan settings.Settings
	err      error // if set, Run returns it immediately
}

func (r *fakeRole) Run(ctx context.Context) error {
	if r.err != nil {
		return r.err
	}
	<-ctx.Done()
	return nil
}

func (r *fakeRole) Reload(set settings.Settings) { r.reloaded <- set }
func (r *fakeRole) Addr() string                 { return "" }

func writeSettings(t *testing.T, path, text string) {
	t.Helper()
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
}

func openTestSettings(t *testing.T) *settingsFile {
	t.Helper()
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeSettings(t, path, validFile)
	file, err := openSettings(Options{Settings: path})
	assert.NilError(t, err)
	return file
}

func TestOpenSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeSettings(t, path, validFile)
	t.Setenv(settings.PathVariable, path)
	file, err := openSettings(Options{ListenTransport: "127.0.0.1:7001"})
	assert.NilError(t, err)
	assert.Equal(t, file.path, path)
	assert.Equal(t, file.current.TransportListenAddress("10.0.0.1:7380"), "127.0.0.1:7001")

	_, err = openSettings(Options{Settings: path + ".none"})
	assert.ErrorIs(t, err, os.ErrNotExist)
	_, err = openSettings(Options{ListenTransport: "nowhere"})
	assert.ErrorContains(t, err, "transport listen address")
	t.Setenv(settings.PathVariable, "")
	_, err = openSettings(Options{})
	assert.ErrorContains(t, err, settings.PathVariable)
}

func TestReloadSkipsUnchangedAndInvalidSettings(t *testing.T) {
	file := openTestSettings(t)
	role := &fakeRole{reloaded: make(chan settings.Settings, 8)}
	file.reload(role, zerolog.Nop())
	assert.Equal(t, len(role.reloaded), 0)
	writeSettings(t, file.path, "NodeName: [")
	file.reload(role, zerolog.Nop())
	assert.Equal(t, len(role.reloaded), 0)
	writeSettings(t, file.path, validFile+"Zone: east\n")
	file.reload(role, zerolog.Nop())
	file.reload(role, zerolog.Nop())
	assert.Equal(t, len(role.reloaded), 1)
	assert.Equal(t, (<-role.reloaded).Zone, "east")
}

func TestRunHandlesSignals(t *testing.T) {
	file := openTestSettings(t)
	role := &fakeRole{reloaded: make(chan settings.Settings, 8)}
	reload, terminate := make(chan os.Signal, 1), make(chan os.Signal, 1)
	ended := make(chan error, 1)
	go func() { ended <- run(role, file, zerolog.Nop(), reload, terminate) }()
	writeSettings(t, file.path, validFile+"Zone: east\n")
	reload <- syscall.SIGHUP
	select {
	case set := <-role.reloaded:
		assert.Equal(t, set.Zone, "east")
	case <-time.After(testTimeout):
		t.Fatal("the settings are not reloaded")
	}
	terminate <- syscall.SIGTERM
	select {
	case err := <-ended:
		assert.NilError(t, err)
	case <-time.After(testTimeout):
		t.Fatal("the role does not end")
	}
}

func TestRunReturnsErrorOfRole(t *testing.T) {
	want := errors.New("fault")
	err := run(&fakeRole{err: want}, openTestSettings(t), zerolog.Nop(), nil, nil)
	assert.ErrorIs(t, err, want)
}
