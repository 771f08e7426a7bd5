package daemon

import (
	"bytes"
	"os"

	"github.com/juju/errors"
	"github.com/rs/zerolog"

	"cranegrade/internal/mesh/settings"
)

// settingsFile is the settings file, with the text that was last read and the settings at startup. It is not safe for concurrent use.
type settingsFile struct {
	path    string
	text    []byte
	current settings.Settings
}

// openSettings reads the settings file, whose path is in the options or the environment, and applies the options that override settings.
func openSettings(options Options) (*settingsFile, error) {
	file := &settingsFile{path: options.Settings}
	if file.path == "" {
		path, err := settings.Path()
		if err != nil {
			return nil, err
		}
		file.path = path
	}
	var err error
	if file.current, file.text, err = readSettings(file.path); err != nil {
		return nil, err
	}
	if options.ListenTransport != "" {
		if err := file.current.SetTransportListenAddress(options.ListenTransport); err != nil {
			return nil, err
		}
	}
	return file, nil
}

// reload passes the settings to the role if the file has changed. If the file can't be read or is invalid, the role keeps its settings.
func (f *settingsFile) reload(role Role, log zerolog.Logger) {
	changed, text, err := readSettings(f.path)
	if bytes.Equal(text, f.text) {
		return
	}
	f.text = text
	if err != nil {
		log.Error().Err(err).Str("path", f.path).Msg("changed settings file is invalid, the former settings stay in force")
		return
	}
	role.Reload(changed)
}

// readSettings reads and validates a settings file. It returns the text even if the settings in it are invalid.
func readSettings(path string) (settings.Settings, []byte, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return settings.Settings{}, nil, errors.Trace(err)
	}
	read, err := settings.Parse(text)
	return read, text, err
}
