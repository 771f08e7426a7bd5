package cli

import (
	"encoding/json"
	"os"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/policy"
)

// changeAuthor has the options for the author of a change and the consents to it.
type changeAuthor struct {
	By       string   `long:"by" value-name:"NAME" description:"an owner of the namespaces that are changed; default: the mesh's operator"`
	Consents []string `long:"consent" value-name:"NAMESPACE:NAME" description:"consent of an owner of a policy that the change loosens"`
}

// addTo returns the JSON of a call with the author and consents added.
func (a changeAuthor) addTo(text []byte) ([]byte, error) {
	if a.By == "" && len(a.Consents) == 0 {
		return text, nil
	}
	var call map[string]json.RawMessage
	if err := json.Unmarshal(text, &call); err != nil {
		return nil, err
	}
	var err error
	if a.By != "" {
		if call["By"], err = json.Marshal(a.By); err != nil {
			return nil, err
		}
	}
	if len(a.Consents) > 0 {
		if call["Consents"], err = json.Marshal(a.Consents); err != nil {
			return nil, err
		}
	}
	return json.Marshal(call)
}

// readUpdate reads a call from a file and adds the author and consents.
func (a changeAuthor) readUpdate(path string) (update config.Update, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return update, err
	}
	if update, err = config.ParseUpdate(text); err != nil {
		return update, errors.Annotate(err, path)
	}
	if a.By != "" {
		update.Author = a.By
	}
	update.Consents = append(update.Consents, a.Consents...)
	return update, nil
}

// printEffects prints the effects of a call on policies of other namespaces. The error says why the call would be rejected.
func (env *environment) printEffects(table config.Table, update config.Update) error {
	_, updated, effects, err := table.ApplyUpdate(update)
	if err != nil {
		return errors.Annotate(err, "it would be rejected")
	}
	if effects == nil {
		effects = []policy.Effect{}
	}
	return env.print(effects, func() {
		for _, effect := range effects {
			env.println(effect)
		}
		env.printf("%d items would change, %d fields of others' policies\n", len(updated), len(effects))
	})
}

type policyCheck struct {
	env *environment
	changeAuthor
	Against string `long:"against" required:"yes" value-name:"FILE" description:"a file from meshctl backup"`
	Args    struct {
		File string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a change against a backup, without a mesh. The exit code is 1 if it would be rejected.
func (c *policyCheck) Execute([]string) error {
	items, err := readItems(c.Against)
	if err != nil {
		return err
	}
	table, _ := config.Table{}.Merge(items)
	update, err := c.readUpdate(c.Args.File)
	if err != nil {
		return err
	}
	return c.env.printEffects(table, update)
}
