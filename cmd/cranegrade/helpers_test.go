package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"cranegrade/internal/admin"
	"cranegrade/internal/testkit"
)

// limit bounds every wait of these tests, which build and run whole programs.
const limit = 60 * time.Second

// programs are the programs that these tests run, each built once.
var programs struct {
	dir string

	mu    sync.Mutex        // guards paths, and is held while a program is built
	paths map[string]string // by package
}

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "cranegrade-test")
	if err != nil {
		panic(err)
	}
	programs.dir, programs.paths = dir, map[string]string{}
	code := m.Run()
	os.RemoveAll(dir)
	os.Exit(code)
}

// buildProgram builds a package's program, unless that was done before, and returns its path.
func buildProgram(t *testing.T, pkg string) string {
	t.Helper()
	programs.mu.Lock()
	defer programs.mu.Unlock()
	if path := programs.paths[pkg]; path != "" {
		return path
	}
	path := filepath.Join(programs.dir, fmt.Sprintf("program-%d", len(programs.paths)))
	if out, err := exec.Command("go", "build", "-o", path, pkg).CombinedOutput(); err != nil {
		t.Fatalf("build: %v\n%s", err, out)
	}
	programs.paths[pkg] = path
	return path
}

// platformConfig is a platform's configuration with one pool that has one class.
type platformConfig struct {
	listen, operator, discovery string // host:port; operator "": none
	memoryMB, sockets           int
	servers                     map[string]string // addresses by id
	class, effect               string
	targetMS, deadlineMS        int
}

// write writes the configuration into a file of its own and returns the file's path.
func (c platformConfig) write(t *testing.T) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(path, []byte(c.text()), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}

// text returns the configuration as the platform writes it.
func (c platformConfig) text() string {
	var targets []string
	for id, addr := range c.servers {
		targets = append(targets, fmt.Sprintf(`{"uid":%q,"endpoint":%q,"az":"a","state":"SERVING"}`, id, addr))
	}
	operator := ""
	if c.operator != "" {
		operator = fmt.Sprintf(`"operator":%q,`, c.operator)
	}
	return fmt.Sprintf(`{"name":"n0","listen":%q,%s"discovery":%q,"seed":"1f","limits":{"cores":1,"memory_mb":%d,"sockets":%d},
		"known":{"rev":1,"all":true,"targets":[%s]},
		"settings":{"lanes":[{"name":%q,"effect":%q,"target-ms":%d,"deadline-ms":%d}],"limits":{"max-attempts":3},"registry-mode":"on_request"}}`,
		c.listen, operator, c.discovery, c.memoryMB, c.sockets, strings.Join(targets, ","), c.class, c.effect, c.targetMS, c.deadlineMS)
}

// nodeProcess is one process of a node.
type nodeProcess struct {
	cmd         *exec.Cmd
	commandPort string     // address
	ended       chan error // receives the result of the process
	log         *lockedBuffer
}

// startNodeProcess starts a command that runs a node, which is killed when the test ends. It returns once the node accepts
// requests.
func startNodeProcess(t *testing.T, cmd *exec.Cmd, commandPort string) *nodeProcess {
	t.Helper()
	p := &nodeProcess{cmd: cmd, commandPort: commandPort, ended: make(chan error, 1), log: &lockedBuffer{}}
	cmd.Stderr = p.log
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- cmd.Wait() }()
	t.Cleanup(func() { cmd.Process.Kill() })
	testkit.Eventually(t, "the node never accepts requests", func() bool {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		ok, _, err := admin.Send(ctx, commandPort, admin.Command{Verb: admin.Check})
		return err == nil && ok
	})
	return p
}

// send sends a command to the process, and fails the test if no answer comes.
func (p *nodeProcess) send(t *testing.T, verb admin.Verb, id string) (ok bool, text string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	ok, text, err := admin.Send(ctx, p.commandPort, admin.Command{Verb: verb, ID: id})
	if err != nil {
		t.Fatalf("%s %s: %v", verb, id, err)
	}
	return ok, text
}

// lockedBuffer can be read while a process writes to it.
type lockedBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// freeAddr returns an address that was free a moment ago.
func freeAddr(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// sizeFrom returns the number in an environment variable, by which a longer run asks for more, or the usual one.
func sizeFrom(variable string, usual int) int {
	if n, err := strconv.Atoi(os.Getenv(variable)); err == nil {
		return n
	}
	return usual
}
