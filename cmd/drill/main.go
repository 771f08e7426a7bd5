// Command drill starts the real program among fakes, plays faults, and judges the four rules from the fakes' own records.
//
//	go run ./cmd/drill tour               a first look
//	go run ./cmd/drill -list              what there is
//	go run ./cmd/drill [-json] [-seed N] [-for DURATION] [-plant BREACH] NAME
//
// It exits 1 if a rule was broken, or if what the drill itself expects did not come about.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"cranegrade/internal/drill"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	os.Exit(drill.Run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
