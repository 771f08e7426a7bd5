// Command interp checks that programs are linked dynamically: it exits 1 unless each program that is given to it has an
// interpreter in its ELF header, which preloading a library needs. A build that is linked statically would ignore the library
// without a word, and a check that relies on it would pass for nothing.
//
//	go run ./internal/testkit/interp PROGRAM...
package main

import (
	"debug/elf"
	"errors"
	"fmt"
	"os"
)

func main() {
	for _, path := range os.Args[1:] {
		if err := check(path); err != nil {
			fmt.Fprintf(os.Stderr, "%s: %v\n", path, err)
			os.Exit(1)
		}
	}
}

// errStatic says that a program has no interpreter.
var errStatic = errors.New("it is linked statically")

// check returns an error unless the program at path has an interpreter.
func check(path string) error {
	f, err := elf.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = f.Close() }() // it was only read
	for _, p := range f.Progs {
		if p.Type == elf.PT_INTERP {
			return nil
		}
	}
	return errStatic
}
