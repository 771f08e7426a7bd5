// Command switchboard is the operators' of a mesh: it draws it, reads and changes its configuration, looks into a register's
// disk, and starts a small one to look at.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"hollyspur/internal/exchange/patch"
	"hollyspur/internal/exchange/plant"
	"hollyspur/internal/exchange/register"
)

const callWithin = 3 * time.Second

type draw struct {
	Dot  bool `long:"dot" description:"for Graphviz, instead of a tree"`
	Args struct {
		Register string `positional-arg-name:"ADDR" description:"trunks of a register: its ip and the first port of InternalPortRange"`
	} `positional-args:"yes" required:"yes"`
}

// Execute draws the topology.
func (d *draw) Execute([]string) error {
	ctx, cancel := context.WithTimeout(context.Background(), callWithin)
	defer cancel()
	t, err := plant.Look(ctx, d.Args.Register)
	if err != nil {
		return err
	}
	if d.Dot {
		t.Dot(os.Stdout)
	} else {
		t.Text(os.Stdout)
	}
	return nil
}

type fetch struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
	} `positional-args:"yes" required:"yes"`
}

// Execute prints the configuration.
func (f *fetch) Execute([]string) error {
	text, err := call(http.MethodGet, f.Args.Control, "/v1/configuration/fetch", nil)
	if err != nil {
		return err
	}
	var out bytes.Buffer
	if err := json.Indent(&out, text, "", "  "); err != nil {
		return err
	}
	fmt.Println(out.String())
	return nil
}

type apply struct {
	Check bool `long:"check" description:"only check the call, as far as that can be told from it alone"`
	Args  struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		File    string `positional-arg-name:"FILE" description:"a call of /v1/configuration/modify, as JSON"`
	} `positional-args:"yes" required:"yes"`
}

// Execute checks a change and has it agreed on.
func (a *apply) Execute([]string) error {
	text, err := os.ReadFile(a.Args.File)
	if err != nil {
		return err
	}
	items, err := patch.Read(text)
	if err != nil {
		return errors.Annotate(err, a.Args.File)
	}
	if a.Check {
		for _, i := range items {
			verb := "set"
			if i.Dropped {
				verb = "drop"
			}
			fmt.Printf("%s %s %s, version %d\n", verb, i.Kind, i.Name.Name, i.Version)
		}
		return nil
	}
	if _, err := call(http.MethodPost, a.Args.Control, "/v1/configuration/modify", text); err != nil {
		return err
	}
	fmt.Printf("%d items acknowledged\n", len(items))
	return nil
}

type backup struct {
	Args struct {
		Control string `positional-arg-name:"ADDR" description:"ControlPlane of a register"`
		File    string `positional-arg-name:"FILE" description:"is written anew; restore reads it"`
	} `positional-args:"yes" required:"yes"`
}

// Execute writes the configuration, confirmed by a majority, as a call that brings it back.
func (b *backup) Execute([]string) error {
	text, err := call(http.MethodGet, b.Args.Control, "/v1/configuration/fetch", nil)
	if err != nil {
		return err
	}
	text, err = json.MarshalIndent(map[string]json.RawMessage{"Upsert": text}, "", "  ")
	if err != nil {
		return err
	}
	items, err := patch.Read(text)
	if err != nil {
		return errors.Annotate(err, "what came back")
	}
	beside := b.Args.File + ".new" // a backup that breaks off leaves the one before
	f, err := os.OpenFile(beside, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	_, err = f.Write(append(text, '\n'))
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(beside, b.Args.File)
	}
	if err != nil {
		return err
	}
	fmt.Printf("%d items in %s\n", len(items), b.Args.File)
	return nil
}

func call(method, addr, path string, body []byte) ([]byte, error) {
	r, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := (&http.Client{Timeout: callWithin}).Do(r)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("%s answers %s: %s", addr, resp.Status, bytes.TrimSpace(text))
	}
	return text, err
}

type inspect struct {
	Args struct {
		Dir string `positional-arg-name:"DIR" description:"a register's DataDir; the register must not run"`
	} `positional-args:"yes" required:"yes"`
}

// Execute tells what a register's disk holds.
func (i *inspect) Execute([]string) error { return register.Inspect(os.Stdout, i.Args.Dir) }

func main() {
	p := flags.NewParser(nil, flags.Default)
	add := func(name, about string, c any) {
		if _, err := p.AddCommand(name, about, about, c); err != nil {
			panic(err)
		}
	}
	add("draw", "draw the topology: registers, lines, servers", &draw{})
	add("fetch", "print the configuration", &fetch{})
	add("apply", "check a change of the configuration and have it agreed on", &apply{})
	add("backup", "write the configuration to a file", &backup{})
	add("restore", "bring the items of a backup back, where no newer versions stand", &apply{})
	add("inspect", "tell what a register's disk holds, changing nothing", &inspect{})
	add("tour", "start a small mesh on loopback, play traffic through it, tell what became of every request", &tour{})
	if _, err := p.Parse(); err != nil {
		if flags.WroteHelp(err) {
			return
		}
		os.Exit(1)
	}
}
