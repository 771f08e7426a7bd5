package cli

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/settings"
)

// limitsName is the name on the command line of the limits item, which has no name of its own.
const limitsName = "limits"

type getCommand struct {
	env  *environment
	Args struct {
		API   string   `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		Names []string `positional-arg-name:"NAME" description:"of a route or a service, or \"limits\"; default: all"`
	} `positional-args:"yes" required:"1"`
}

// Execute prints the items that are named, or all.
func (c *getCommand) Execute([]string) error {
	text, table, err := c.env.api(c.Args.API).Configuration()
	if err != nil {
		return err
	}
	if len(c.Args.Names) == 0 {
		return c.env.printIndented(text)
	}
	for _, name := range c.Args.Names {
		if err := c.printNamed(table, name); err != nil {
			return err
		}
	}
	return nil
}

// printNamed prints the items of a name. The error says that there is none.
func (c *getCommand) printNamed(table config.Table, name string) error {
	found := false
	for _, item := range table.Items() {
		if item.Name == name || item.Kind == config.KindLimits && name == limitsName {
			found = true
			if err := c.env.printIndented(item.Body); err != nil {
				return err
			}
		}
	}
	if !found {
		return errors.Errorf("no route or service %q is in force", name)
	}
	return nil
}

// printIndented prints JSON, indented.
func (env *environment) printIndented(text []byte) error {
	var indented bytes.Buffer
	if err := json.Indent(&indented, text, "", "  "); err != nil {
		return err
	}
	env.println(indented.String())
	return nil
}

type checkCommand struct {
	env  *environment
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings in YAML, or a call of /v1/configuration/modify in JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a file without a mesh.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if extension := filepath.Ext(c.Args.File); extension == ".yaml" || extension == ".yml" {
		s, err := settings.Parse(text)
		if err != nil {
			return errors.Annotate(err, c.Args.File)
		}
		return c.env.print(s, func() { c.env.printf("%s: settings of %s\n", c.Args.File, s.NodeName) })
	}
	items, err := config.ParseItems(text)
	if err != nil {
		return errors.Annotate(err, c.Args.File)
	}
	return c.env.printItems(items)
}

// printItems prints the items that a call sets and deletes.
func (env *environment) printItems(items []config.Item) error {
	differences := config.Diff(config.Table{}, items)
	return env.print(differences, func() {
		for _, d := range differences {
			verb := "sets"
			if d.Action == config.ActionDelete {
				verb = "drops"
			}
			env.printf("%s %s %s, version %d\n", verb, d.Kind, d.Name, d.To)
		}
	})
}

type diffCommand struct {
	env  *environment
	Args struct {
		API  string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		File string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints what a change would do. The exit code is 1 if it would change anything or be rejected.
func (c *diffCommand) Execute([]string) error {
	items, err := readItems(c.Args.File)
	if err != nil {
		return err
	}
	_, table, err := c.env.api(c.Args.API).Configuration()
	if err != nil {
		return err
	}
	differences := config.Diff(table, items)
	if err := c.env.print(differences, func() { c.printText(differences) }); err != nil {
		return err
	}
	if _, _, err := table.ApplyItems(items); err != nil {
		return errors.Annotate(err, "it would be rejected")
	}
	for _, d := range differences {
		if d.Action != config.ActionNone && d.Action != config.ActionOutdated {
			return errNotWell
		}
	}
	return nil
}

func (c *diffCommand) printText(differences []config.ItemDiff) {
	for _, d := range differences {
		c.env.printf("%-9s %s %s, version %d -> %d\n", d.Action, d.Kind, d.Name, d.From, d.To)
		for _, f := range d.Fields {
			c.env.printf("            %s: %v -> %v\n", f.Path, f.Before, f.After)
		}
	}
}

// readItems reads the items of a call, or of a backup, from a file.
func readItems(path string) ([]config.Item, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	items, err := config.ParseItems(text)
	return items, errors.Annotate(err, path)
}

type applyCommand struct {
	env *environment
	changeAuthor
	Check  bool `long:"check" description:"only check the call by itself"`
	DryRun bool `long:"dry-run" description:"only print its effects on policies of other namespaces, and whether it would be rejected"`
	Wait   bool `long:"wait" description:"wait until the policies that it changes are active"`
	Args   struct {
		API  string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		File string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// acknowledgedResult is the result of apply.
type acknowledgedResult struct {
	Acknowledged int `json:"acknowledged"` // items
}

// Execute checks a change and, unless the options say otherwise, sends it.
func (c *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	update, err := c.readUpdate(c.Args.File)
	if err != nil {
		return err
	}
	api := c.env.api(c.Args.API)
	switch {
	case c.Check:
		return c.env.printItems(update.Items)
	case c.DryRun:
		_, table, err := api.Configuration()
		if err != nil {
			return err
		}
		return c.env.printEffects(table, update)
	}
	if text, err = c.addTo(text); err != nil {
		return err
	}
	if err := api.Modify(text); err != nil {
		return err
	}
	if c.Wait {
		if err := api.AwaitPolicyActive(); err != nil {
			return err
		}
	}
	result := acknowledgedResult{Acknowledged: len(update.Items)}
	return c.env.print(result, func() { c.env.printf("%d items acknowledged\n", result.Acknowledged) })
}

type backupCommand struct {
	env  *environment
	Args struct {
		API  string `positional-arg-name:"ADDR" description:"ControlPlane of a member"`
		File string `positional-arg-name:"FILE" description:"is written anew; restore reads it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the configuration, confirmed by a majority, as a call that restores it.
func (c *backupCommand) Execute([]string) error {
	text, table, err := c.env.api(c.Args.API).Configuration()
	if err != nil {
		return err
	}
	text, err = json.MarshalIndent(map[string]json.RawMessage{"Upsert": text}, "", "  ")
	if err != nil {
		return err
	}
	return c.env.writeItems(c.Args.File, text, table.Len())
}
