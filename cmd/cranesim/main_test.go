package main

import (
	"bytes"
	"strings"
	"testing"
)

func TestComparesPoliciesInScenario(t *testing.T) {
	var stdout, stderr bytes.Buffer
	if code := run([]string{"-seeds", "1", "-servers", "2", "-seconds", "cold-burst"}, &stdout, &stderr); code != exitOK || stderr.Len() > 0 {
		t.Fatalf("exit code %d: %s", code, stderr.String())
	}
	for _, want := range []string{"shape", "cold-burst  module", "cold-burst  static", "cold-burst  none", "59 s", "{Offered:"} {
		if !strings.Contains(stdout.String(), want) {
			t.Errorf("no %q in\n%s", want, stdout.String())
		}
	}
}

func TestWrongCommandLineIsRefused(t *testing.T) {
	for _, args := range [][]string{{"none-such"}, {"-none-such"}} {
		var stdout, stderr bytes.Buffer
		if code := run(args, &stdout, &stderr); code != exitUsage || stderr.Len() == 0 {
			t.Errorf("%v: exit code %d, %q", args, code, stderr.String())
		}
	}
}
