package main

import (
	"bytes"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"cranegrade/internal/zone"
	"cranegrade/internal/zone/report"
	"cranegrade/internal/zone/store"
)

// The zones of two nodes that do not run are summed from the files that they keep. A node without a file is named.
func TestZonesOfStoppedNodes(t *testing.T) {
	example, err := os.ReadFile("../../deploy/examples/zones.toml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	var args []string
	for _, name := range []string{"one", "two"} {
		state := filepath.Join(dir, name+".db")
		text := regexp.MustCompile(`(?m)^state = .*$`).ReplaceAllString(string(example), `state = "`+state+`"`)
		text = regexp.MustCompile(`(?m)^name = "edge.*$`).ReplaceAllString(text, `name = "`+name+`"`)
		text = regexp.MustCompile(`(?m)^admin = .*$`).ReplaceAllString(text, "")
		config := filepath.Join(dir, name+".toml")
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		s, err := store.Open(state)
		if err != nil {
			t.Fatal(err)
		}
		book := zone.NewAccounting(nil)
		book.Add(time.Duration(time.Now().UnixNano()), zone.Key{Pair: zone.Pair{From: "a", To: "b"}, Pool: "p", Class: "c"}, zone.Traffic{Requests: 2, Out: 3, In: 4})
		if err := s.Save(book.TakeChanges(), 0); err != nil {
			t.Fatal(err)
		}
		s.Close()
		args = append(args, "-config", config)
	}
	var stdout, stderr bytes.Buffer
	if code := showZones(append(args, "-format", "json"), &stdout, &stderr); code != 0 {
		t.Fatalf("exit %d: %s", code, stderr.String())
	}
	r, err := report.Parse(stdout.Bytes())
	if err != nil || len(r.Rows) != 1 || r.Rows[0].Requests != 4 || r.Rows[0].In != 8 || !strings.Contains(r.Node, ", ") {
		t.Errorf("%+v, %v", r, err)
	}
	stdout.Reset()
	if code := showZones(append(args, "-config", filepath.Join(dir, "none.toml"), "-format", "json"), &stdout, &stderr); code != 1 || !strings.Contains(stderr.String(), "none.toml") || stdout.Len() == 0 {
		t.Errorf("exit %d, %q, %d bytes", code, stderr.String(), stdout.Len())
	}
}
