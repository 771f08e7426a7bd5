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

// Execute prints the contents of a member's disk.
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

// Execute writes the configuration on a member's disk as a call that restores it.
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

// itemsResult is the result of backup and recover.
type itemsResult struct {
	Items int `json:"items"` // in the file
}

// writeItems writes a call to a file and prints the number of its items.
func (env *environment) writeItems(path string, text []byte, count int) error {
	if err := replaceFile(path, append(text, '\n')); err != nil {
		return err
	}
	return env.print(itemsResult{Items: count}, func() { env.printf("%d items in %s\n", count, path) })
}

// replaceFile replaces a file atomically, by renaming a synced temporary file. If it fails, the file is unchanged.
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
