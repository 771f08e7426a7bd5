package docs

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"cranegrade/internal/testkit"
)

const (
	// commandTimeout bounds each command of a test, on a busy machine.
	commandTimeout = 60 * time.Second
	commandPages   = "../README.md *.md"
	exitUsage      = 2
)

// commandsRunElsewhere are the commands of the pages that other tests run, by their beginning.
var commandsRunElsewhere = map[string]string{
	"meshctl ":         "internal/mesh/cli, TestDocumentedCommands",
	"go test ":         ".ci/run",
	"kill -HUP PID":    "programs.start sends both signals",
	"kill -TERM PID":   "programs.start sends both signals",
	"go build -o bin/": "buildPrograms",
}

// shownCommand matches a line of a page that shows a command: indented by four spaces; a comment stands behind three spaces or more.
var shownCommand = regexp.MustCompile(`^    ((?:bin/|target/)?(?:cranegrade|sidecar|controlplane|meshctl) \S.*?|go (?:run|build|test) .*?|curl .*?|printf .*?|kill .*?)(?:   +\S.*| +# .*)?$`)

// shownCommands returns the commands of all pages, each once.
func shownCommands(t *testing.T) []string {
	t.Helper()
	var commands []string
	for pattern := range strings.FieldsSeq(commandPages) {
		pages, err := filepath.Glob(pattern)
		if err != nil {
			t.Fatal(err)
		}
		for _, page := range pages {
			text, err := os.ReadFile(page)
			if err != nil {
				t.Fatal(err)
			}
			for line := range strings.Lines(string(text)) {
				match := shownCommand.FindStringSubmatch(strings.TrimRight(line, "\n"))
				if match != nil && !slices.Contains(commands, match[1]) {
					commands = append(commands, match[1])
				}
			}
		}
	}
	if len(commands) < 50 {
		t.Fatalf("the pages show only %d commands", len(commands))
	}
	return commands
}

// programs are built programs, by their folder.
type programs string

// buildPrograms builds the programs as the README says.
func buildPrograms(t *testing.T) programs {
	t.Helper()
	dir := t.TempDir()
	cmd := exec.Command("go", "build", "-o", dir+"/", "./cmd/...")
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("go build: %v\n%s", err, out)
	}
	return programs(dir)
}

// run runs a program from the root of the repository and returns its exit code and what it printed.
func (p programs) run(t *testing.T, program string, args ...string) (code int, output string) {
	t.Helper()
	cmd := exec.CommandContext(t.Context(), filepath.Join(string(p), program), args...)
	cmd.Dir = root
	cmd.WaitDelay = commandTimeout
	out, err := cmd.CombinedOutput()
	if cmd.ProcessState == nil {
		t.Fatalf("%s: %v", program, err)
	}
	return cmd.ProcessState.ExitCode(), string(out)
}

// Ports of freeAddress: below those that the system gives to others' listeners and connections, so that nobody else takes one before
// the program listens there, or after it has ended.
const (
	firstFreePort = 20_000
	lastFreePort  = 32_000
)

// usedAddresses has the addresses that freeAddress returned: each is for one test alone, for tests run beside each other.
var usedAddresses sync.Map

// freeAddress returns a loopback address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", firstFreePort+rand.IntN(lastFreePort-firstFreePort))
		if l, err := net.Listen("tcp", address); err == nil {
			l.Close()
			if _, used := usedAddresses.LoadOrStore(address, true); used {
				continue
			}
			return address
		}
	}
	t.Fatal("no free port")
	return ""
}

// closingAddress returns an address at which every connection is closed at once. It stays taken until the test ends: a program that
// calls it must not reach the server of another test.
func closingAddress(t *testing.T) string {
	t.Helper()
	return testkit.Listen(t, func(net.Conn, *bufio.Reader) {})
}

// exampleFile is a copy of a file of deploy/examples. The addresses at which the program listens are free ones; at the others, such as
// a registry's, connections are closed.
type exampleFile struct {
	path      string
	addresses map[string]string // by the address of the example
}

var (
	fileLine        = regexp.MustCompile(`(?m)^.*$`)
	loopbackAddress = regexp.MustCompile(`127\.0\.0\.[0-9]+:[0-9]+`)
	// listenKey matches a line that names where the program listens.
	listenKey = regexp.MustCompile(`^\s*(listen|listen_h2|admin|operator)\s*=`)
)

func copyExample(t *testing.T, name string, addresses map[string]string) exampleFile {
	t.Helper()
	text, err := os.ReadFile(filepath.Join(root, "deploy/examples", name))
	if err != nil {
		t.Fatal(err)
	}
	example := exampleFile{path: filepath.Join(t.TempDir(), name), addresses: map[string]string{}}
	text = fileLine.ReplaceAllFunc(text, func(line []byte) []byte {
		return loopbackAddress.ReplaceAllFunc(line, func(address []byte) []byte {
			shown := string(address)
			switch _, found := example.addresses[shown]; {
			case found:
			case addresses[shown] != "":
				example.addresses[shown] = addresses[shown]
			case listenKey.Match(line):
				example.addresses[shown] = freeAddress(t)
			default:
				example.addresses[shown] = closingAddress(t)
			}
			return []byte(example.addresses[shown])
		})
	})
	stateFolder := regexp.MustCompile(`(?m)^state = "[^"]*?(/[^/"]+\.db)?"`)
	text = stateFolder.ReplaceAll(text, []byte(`state = "`+filepath.Dir(example.path)+`$1"`))
	if err := os.WriteFile(example.path, text, 0o600); err != nil {
		t.Fatal(err)
	}
	return example
}

// start starts a node and waits until it listens. The test ends it with SIGHUP and SIGTERM, after which it must exit with 0.
func (p programs) start(t *testing.T, args ...string) {
	t.Helper()
	cmd := exec.Command(filepath.Join(string(p), "cranegrade"), args...) // the test's context ends before its clean-up
	cmd.Dir = root
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	listening, ended := make(chan struct{}), make(chan error, 1)
	var log bytes.Buffer
	go func() {
		lines := bufio.NewScanner(stderr)
		for isListening := false; lines.Scan(); {
			fmt.Fprintln(&log, lines.Text())
			if !isListening && strings.Contains(lines.Text(), "listening on ") {
				isListening = true
				close(listening)
			}
		}
		ended <- cmd.Wait()
	}()
	select {
	case <-listening:
	case err := <-ended:
		t.Fatalf("cranegrade %q ended: %v\n%s", args, err, &log)
	case <-time.After(commandTimeout):
		t.Fatalf("cranegrade %q does not listen", args)
	}
	t.Cleanup(func() {
		for _, signal := range []syscall.Signal{syscall.SIGHUP, syscall.SIGTERM} {
			if err := cmd.Process.Signal(signal); err != nil {
				t.Errorf("cranegrade %q: %v: %v", args, signal, err)
			}
		}
		select {
		case err := <-ended:
			if err != nil {
				t.Errorf("cranegrade %q after SIGTERM: %v\n%s", args, err, &log)
			}
		case <-time.After(commandTimeout):
			_ = cmd.Process.Kill()
			t.Errorf("cranegrade %q still runs after SIGTERM", args)
		}
	})
}

// Each command that the pages show is run as it is shown, with its placeholders filled in, here or in the test that commandsRunElsewhere
// names. A command that is shown and that no case below knows fails the test.
func TestShownCommands(t *testing.T) {
	p := buildPrograms(t)
	for _, command := range shownCommands(t) {
		t.Run(command, func(t *testing.T) {
			t.Parallel()
			for beginning := range commandsRunElsewhere {
				if strings.HasPrefix(command, beginning) {
					return
				}
			}
			words := strings.Fields(command)
			switch {
			case strings.HasPrefix(command, "go build "):
				p.checkBuild(t, words)
			case strings.HasPrefix(command, "go run ./cmd/drill"):
				p.checkDrill(t, words[3:])
			case command == "go run ./cmd/cranesim":
				p.checkExit(t, 0, "cranesim", "-seeds", "1", "choke")
			case strings.HasPrefix(command, "go run ./cmd/meshctl demo "):
				p.checkExit(t, 0, "meshctl", append(words[3:], "--help")...)
			case strings.HasPrefix(command, "target/"):
				p.checkSettings(t, words)
			case strings.HasPrefix(command, "curl "):
				p.checkFirstRequest(t, command)
			case strings.HasPrefix(command, "printf "):
				p.checkOperatorsPort(t, command)
			default:
				p.checkNode(t, words[1:])
			}
		})
	}
}

func (p programs) checkExit(t *testing.T, want int, program string, args ...string) {
	t.Helper()
	if code, output := p.run(t, program, args...); code != want {
		t.Errorf("%s %q: exit %d, want %d\n%s", program, args, code, want, output)
	}
}

// checkBuild runs a build command with another target folder.
func (p programs) checkBuild(t *testing.T, words []string) {
	t.Helper()
	cmd := exec.Command("go", "build", "-o", t.TempDir()+"/", words[len(words)-1])
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Errorf("%v\n%s", err, out)
	}
}

// checkDrill looks a drill and its flags up: package drill plays each of them.
func (p programs) checkDrill(t *testing.T, args []string) {
	t.Helper()
	_, list := p.run(t, "drill", "-list")
	_, help := p.run(t, "drill", "-h")
	for _, arg := range args {
		switch {
		case strings.HasPrefix(arg, "-"):
			if !strings.Contains(help, "  "+arg) {
				t.Errorf("drill has no flag %s:\n%s", arg, help)
			}
		case !strings.Contains("\n"+list, "\n"+arg+" "):
			t.Errorf("there is no drill %q:\n%s", arg, list)
		}
	}
}

// checkSettings has a program of the mesh check a settings file.
func (p programs) checkSettings(t *testing.T, words []string) {
	t.Helper()
	settings := filepath.Join(t.TempDir(), "settings.yaml")
	text := `{NodeName: node-1, IpAddress: 127.0.0.1, InternalPortRange: [7000, 7010], DataDir: /tmp/data,
  ListenAddrs: {Inbound: "127.0.0.1:7020", Outbound: "127.0.0.1:7021", Readiness: "127.0.0.1:7022", ControlPlane: "127.0.0.1:7023"},
  SeedNodes: ["127.0.0.1:7023"], Limits: {MaxFds: 4096, MemoryMb: 200}}`
	if err := os.WriteFile(settings, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	program, args := filepath.Base(words[0]), words[1:]
	if !slices.Contains(args, "--check") {
		args = append(args, "--check", "--settings", "FILE")
	}
	for i, arg := range args {
		if arg == "FILE" {
			args[i] = settings
		}
	}
	p.checkExit(t, 0, program, args...)
}

// checkFirstRequest sends the request of a curl command to a node that runs by the example of a first request.
func (p programs) checkFirstRequest(t *testing.T, command string) {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "served "+r.URL.Path)
	}))
	defer server.Close()
	example := copyExample(t, "first-request.toml", map[string]string{"127.0.0.1:9001": strings.TrimPrefix(server.URL, "http://")})
	p.start(t, "-config", example.path)
	words := strings.Fields(command)
	url := words[len(words)-1]
	for shown, real := range example.addresses {
		url = strings.Replace(url, shown, real, 1)
	}
	request, err := http.NewRequest(http.MethodGet, url, nil)
	if err != nil {
		t.Fatal(err)
	}
	for _, header := range regexp.MustCompile(`-H '([^:]+): ([^']+)'`).FindAllStringSubmatch(command, -1) {
		request.Header.Set(header[1], header[2])
	}
	response, err := (&http.Client{Timeout: commandTimeout}).Do(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	if body, err := io.ReadAll(response.Body); err != nil || response.StatusCode != http.StatusOK || string(body) != "served /read/1" {
		t.Errorf("%s, %q, %v", response.Status, body, err)
	}
}

// checkOperatorsPort sends the line of a printf command to a node's operators' port, which must answer in its form.
func (p programs) checkOperatorsPort(t *testing.T, command string) {
	t.Helper()
	example := copyExample(t, "operators.toml", nil)
	p.start(t, "-config", example.path)
	conn, err := net.Dial("tcp", example.addresses["127.0.0.1:7000"])
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	line := strings.Split(command, "'")[1]
	if _, err := io.WriteString(conn, strings.ReplaceAll(line, `\n`, "\n")); err != nil {
		t.Fatal(err)
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	if err != nil || !regexp.MustCompile(`^(200|400) `).MatchString(answer) {
		t.Errorf("%q, %v", answer, err)
	}
}

// checkNode runs a command of cranegrade. Where it asks a running node, or starts one, one runs by an example of its kind.
func (p programs) checkNode(t *testing.T, args []string) {
	t.Helper()
	example := map[string]string{"fleet": "fleet.toml", "zones": "zones.toml", "proxy-config": "extproc.toml", "proxy-check": "extproc.toml"}[args[0]]
	for _, arg := range args {
		if strings.HasPrefix(arg, "deploy/examples/") {
			example = filepath.Base(arg)
		}
	}
	if example == "" {
		example = "two-services.toml"
	}
	file := copyExample(t, example, nil)
	dir := t.TempDir()
	if redirect := slices.Index(args, ">"); redirect >= 0 {
		args = args[:redirect]
	}
	filled := make([]string, len(args))
	for i, arg := range args {
		switch {
		case arg == "FILE", arg == "node.toml", strings.HasPrefix(arg, "deploy/examples/"):
			filled[i] = file.path
		case arg == "MODE":
			filled[i] = "header"
		case arg == "envoy.yaml":
			filled[i] = "deploy/examples/envoy-header.yaml"
		case arg == "DIR":
			filled[i] = dir
		default:
			filled[i] = arg
		}
	}
	if strings.HasPrefix(filled[0], "-") {
		p.start(t, filled...)
		return
	}
	if args[0] == "fleet" || args[0] == "zones" {
		p.start(t, "-config", file.path)
	}
	// A member that is unknown to the node's fleet can't be forgotten: only the command line must be right.
	if code, output := p.run(t, "cranegrade", filled...); code != 0 && !slices.Contains(args, "forget") || code == exitUsage {
		t.Errorf("cranegrade %q: exit %d\n%s", filled, code, output)
	}
}
