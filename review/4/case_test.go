package main

import (
	"os"
	"os/exec"
	"testing"
)

// The script of this case exits with 0. It runs only if REVIEW_CASES is set, after the build of deploy/system.toml and review/build-2.sh.
func TestReviewAnswersAreWholeAtSIGTERM(t *testing.T) {
	if os.Getenv("REVIEW_CASES") == "" {
		t.Skip("REVIEW_CASES is not set")
	}
	if out, err := exec.Command("./run.sh").CombinedOutput(); err != nil {
		t.Fatalf("run.sh: %v\n%s", err, out)
	}
}
