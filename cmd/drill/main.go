// Command drill runs the real program among fakes, injects faults, and checks from the records of the fakes that the four rules of the
// protocol were kept.
//
//	go run ./cmd/drill tour                            a first look
//	go run ./cmd/drill -list                           names all drills
//	go run ./cmd/drill -h                              explains the flags, with examples
//	go run ./cmd/drill -json -seed 7 -for 30s members  one JSON object, with the schedule of faults that seed 7 draws
//	go run ./cmd/drill -plant twice tour               violates a rule on purpose, which the drill must find
//
// It exits with 0 if all rules were kept, with 1 if one was violated or the drill's own expectations failed, and with 2 for wrong
// arguments.
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
