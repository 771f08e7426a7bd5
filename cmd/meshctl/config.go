package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"

	"github.com/juju/errors"

	"cranegrade/internal/mesh/config"
	"cranegrade/internal/mesh/controlplane"
	"cranegrade/internal/mesh/settings"
	"cranegrade/internal/mesh/transport"
)

type getCommand struct {
	Args struct {
		Control string   `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		Names   []string `positional-arg-name:"NAME" description:"of a route or a service, or \"limits\"; none: all"`
	} `positional-args:"yes" required:"1"`
}

// Execute prints items.
func (g *getCommand) Execute([]string) error {
	text, table, err := fetchConfig(g.Args.Control)
	if err != nil {
		return err
	}
	if len(g.Args.Names) == 0 {
		return indent(text)
	}
	for _, name := range g.Args.Names {
		found := false
		for _, i := range table.Items() {
			if i.Key.Name == name || i.Kind == config.KindLimits && name == "limits" {
				found = true
				if err := indent(i.Body); err != nil {
					return err
				}
			}
		}
		if !found {
			return errors.Errorf("no route or service %q stands", name)
		}
	}
	return nil
}

func indent(text []byte) error {
	var out bytes.Buffer
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

// fetchConfig is the configuration, confirmed by a majority.
func fetchConfig(addr string) ([]byte, config.Table, error) {
	text, err := callAPI(http.MethodGet, addr, "/v1/configuration/fetch", nil)
	if err != nil {
		return nil, config.Table{}, err
	}
	items, err := config.ParseItems([]byte(`{"Upsert":` + string(text) + `}`))
	if err != nil {
		return nil, config.Table{}, errors.Annotate(err, "what came back")
	}
	t, _ := config.Table{}.Merge(items)
	return text, t, nil
}

type checkCommand struct {
	Args struct {
		File string `positional-arg-name:"FILE" description:"settings in YAML, or a call of /v1/configuration/modify in JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a file by itself.
func (c *checkCommand) Execute([]string) error {
	text, err := os.ReadFile(c.Args.File)
	if err != nil {
		return err
	}
	if ext := filepath.Ext(c.Args.File); ext == ".yaml" || ext == ".yml" {
		s, err := settings.Parse(text)
		if err != nil {
			return errors.Annotate(err, c.Args.File)
		}
		return printResult(s, func() { fmt.Printf("%s: settings of %s\n", c.Args.File, s.NodeName) })
	}
	items, err := config.ParseItems(text)
	if err != nil {
		return errors.Annotate(err, c.Args.File)
	}
	return printItems(items)
}

// printItems tells the items of a call.
func printItems(items []config.Item) error {
	l := config.Diff(config.Table{}, items)
	return printResult(l, func() {
		for _, d := range l {
			verb := "sets"
			if d.Action == config.ActionDelete {
				verb = "drops"
			}
			fmt.Printf("%s %s %s, version %d\n", verb, d.Kind, d.Name, d.To)
		}
	})
}

type diffCommand struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		File    string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells what a change would do.
func (d *diffCommand) Execute([]string) error {
	text, err := os.ReadFile(d.Args.File)
	if err != nil {
		return err
	}
	items, err := config.ParseItems(text)
	if err != nil {
		return errors.Annotate(err, d.Args.File)
	}
	_, table, err := fetchConfig(d.Args.Control)
	if err != nil {
		return err
	}
	l := config.Diff(table, items)
	if err := printResult(l, func() {
		for _, x := range l {
			fmt.Printf("%-9s %s %s, version %d -> %d\n", x.Action, x.Kind, x.Name, x.From, x.To)
			for _, f := range x.Fields {
				fmt.Printf("            %s: %v -> %v\n", f.Path, f.Before, f.After)
			}
		}
	}); err != nil {
		return err
	}
	if _, _, err := table.ApplyItems(items); err != nil {
		return errors.Annotate(err, "it would be refused")
	}
	for _, x := range l {
		if x.Action != config.ActionNone && x.Action != config.ActionOutdated {
			return errNotWell
		}
	}
	return nil
}

type applyCommand struct {
	changeAuthor
	Check  bool `long:"check" description:"only check the call, as far as that can be told from it alone"`
	DryRun bool `long:"dry-run" description:"only tell what it would do to the rules of other namespaces, and whether it would be turned down"`
	Wait   bool `long:"wait" description:"until the namespaces' rules that it changes bind"`
	Args   struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		File    string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a change and has it agreed on.
func (a *applyCommand) Execute([]string) error {
	text, err := os.ReadFile(a.Args.File)
	if err != nil {
		return err
	}
	c, err := a.changeAuthor.read(a.Args.File)
	if err != nil {
		return err
	}
	items := c.Items
	switch {
	case a.Check:
		return printItems(items)
	case a.DryRun:
		_, table, err := fetchConfig(a.Args.Control)
		if err != nil {
			return err
		}
		return printEffects(table, c)
	}
	if text, err = a.changeAuthor.addTo(text); err != nil {
		return err
	}
	if _, err := callAPI(http.MethodPost, a.Args.Control, "/v1/configuration/modify", text); err != nil {
		return err
	}
	if a.Wait {
		if err := awaitPolicyActive(a.Args.Control); err != nil {
			return err
		}
	}
	return printResult(map[string]int{"acknowledged": len(items)}, func() { fmt.Printf("%d items acknowledged\n", len(items)) })
}

type backupCommand struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		File    string `positional-arg-name:"FILE" description:"is written anew; restore reads it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the configuration, confirmed by a majority, as a call that brings it back.
func (b *backupCommand) Execute([]string) error {
	text, table, err := fetchConfig(b.Args.Control)
	if err != nil {
		return err
	}
	text, err = json.MarshalIndent(map[string]json.RawMessage{"Upsert": text}, "", "  ")
	if err != nil {
		return err
	}
	if err := replaceFile(b.Args.File, append(text, '\n')); err != nil {
		return err
	}
	return printResult(map[string]int{"items": table.Len()}, func() { fmt.Printf("%d items in %s\n", table.Len(), b.Args.File) })
}

// callAPI is an operator's. A register that answers nothing, or that it can't say, is ErrSilent.
func callAPI(method, addr, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: globalOptions.Within}).Do(r)
	if err != nil {
		return nil, errors.WithType(err, transport.ErrNoReply)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(io.LimitReader(resp.Body, 64<<20))
	if err != nil {
		return nil, errors.WithType(err, transport.ErrNoReply)
	}
	if resp.StatusCode != http.StatusOK {
		err = errors.Errorf("%s answers %s: %s", addr, resp.Status, strings.TrimSpace(string(text)))
		if resp.StatusCode == http.StatusServiceUnavailable {
			err = errors.WithType(err, transport.ErrNoReply)
		}
	}
	return text, err
}

type recoverCommand struct {
	Args struct {
		Dir  string `positional-arg-name:"DIR" description:"a register's DataDir; the register must not run"`
		File string `positional-arg-name:"FILE" description:"is written anew; restore reads it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the configuration that a register's disk holds, as a call that brings it back.
func (r *recoverCommand) Execute([]string) error {
	m, err := controlplane.RecoverConfiguration(r.Args.Dir)
	if err != nil {
		return err
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err != nil {
		return err
	}
	items, err := config.ParseItems(text)
	if err != nil {
		return errors.Annotate(err, "what the disk holds")
	}
	if err := replaceFile(r.Args.File, append(text, '\n')); err != nil {
		return err
	}
	return printResult(map[string]int{"items": len(items)}, func() { fmt.Printf("%d items in %s\n", len(items), r.Args.File) })
}

// replaceFile writes a file anew, synced: one that breaks off leaves the one before.
func replaceFile(file string, text []byte) error {
	beside := file + ".new" // a backup that breaks off leaves the one before
	f, err := os.OpenFile(beside, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(text)
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(beside, file)
	}
	return err
}
