package cli

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/controlplane"
)

type inspectCommand struct {
	env  *environment
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"a member's DataDir; the member must not run"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells what a member's disk holds.
func (c *inspectCommand) Execute([]string) error {
	contents, err := controlplane.Inspect(c.Args.Dir)
	if err != nil {
		return err
	}
	return c.env.print(contents, func() { contents.WriteText(c.env.out) })
}

type recoverCommand struct {
	env  *environment
	Args struct {
		Dir  string `positional-arg-name:"DIR" description:"a member's DataDir; the member must not run"`
		File string `positional-arg-name:"FILE" description:"is written anew; restore reads it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the configuration that a member's disk holds, as a call that brings it back.
func (c *recoverCommand) Execute([]string) error {
	request, err := controlplane.RecoverConfiguration(c.Args.Dir)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(request, "", "  ")
	if err != nil {
		return err
	}
	items, err := config.ParseItems(text)
	if err != nil {
		return errors.Annotatef(err, "reading the configuration on the disk %s", c.Args.Dir)
	}
	return c.env.writeItems(c.Args.File, text, len(items))
}

// itemsResult is backup and recover as JSON.
type itemsResult struct {
	Items int `json:"items"` // in the file
}

// writeItems writes a call into a file and says how many items it has.
func (env *environment) writeItems(path string, text []byte, count int) error {
	if err := replaceFile(path, append(text, '\n')); err != nil {
		return err
	}
	return env.print(itemsResult{Items: count}, func() { env.printf("%d items in %s\n", count, path) })
}

// replaceFile writes a file anew, synced. A write that fails leaves the file as it was.
func replaceFile(path string, text []byte) error {
	temporary := path + ".new"
	file, err := os.OpenFile(temporary, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(temporary, path)
}
