package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"
)

// programCommand returns the command that runs the program by the platform's configuration: as the deploy file says if
// .ci/run passes that on in NODE_RUN, and otherwise a program built here.
func programCommand(t *testing.T, config string) *exec.Cmd {
	t.Helper()
	run := os.Getenv("NODE_RUN")
	if run == "" {
		run = "exec " + buildProgram(t, ".")
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = "../.."
	cmd.Env = append(os.Environ(), "ROUTER_CONFIG="+config)
	return cmd
}

// The program becomes ready, serves a request, follows another registry after SIGHUP unless its file is invalid, and ends with
// 0 after SIGTERM.
func TestProgram(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.WriteString(w, r.Header.Get("X-Correlation-Id"))
	}))
	defer server.Close()
	moved := make(chan struct{}, 1)
	discovery := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case moved <- struct{}{}:
		default:
		}
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer discovery.Close()
	config := filepath.Join(t.TempDir(), "config.json")
	const before = "127.0.0.1:1"
	text := platformConfig{
		listen: "127.0.0.1:0", discovery: before, memoryMB: 192, sockets: 1024, class: "read", effect: "read_like", targetMS: 1000, deadlineMS: 30_000,
		servers: map[string]string{"s": strings.TrimPrefix(server.URL, "http://")},
	}.text()
	write := func(text string) {
		t.Helper()
		if err := os.WriteFile(config, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(text)
	cmd := programCommand(t, config)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	defer cmd.Process.Kill()
	var listen string
	lines := bufio.NewScanner(stderr)
	for listen == "" {
		if !lines.Scan() {
			t.Fatal("the program ended before it listened")
		}
		_, listen, _ = strings.Cut(lines.Text(), "listening on ")
	}
	ended, kept := make(chan error, 1), make(chan struct{}, 1)
	go func() {
		for lines.Scan() {
			if strings.Contains(lines.Text(), "stays as it was") {
				kept <- struct{}{}
			}
		}
		ended <- cmd.Wait()
	}()

	get := func(path string) (string, error) {
		r, err := http.NewRequest("GET", "http://"+listen+path, nil)
		if err != nil {
			return "", err
		}
		r.Header.Set("X-Correlation-Id", "c-1")
		r.Header.Set("X-Time-Left", "30000m")
		resp, err := (&http.Client{Timeout: limit}).Do(r)
		if err != nil {
			return "", err
		}
		defer resp.Body.Close()
		b, err := io.ReadAll(resp.Body)
		return fmt.Sprintf("%d %s", resp.StatusCode, b), err
	}
	if got, err := get("/health/ready"); err != nil || got != "200 " {
		t.Errorf("ready: %q, %v", got, err)
	}
	if got, err := get("/read/1"); err != nil || got != "200 c-1" {
		t.Errorf("request: %q, %v", got, err)
	}
	hangUp := func(text string, seen <-chan struct{}) {
		t.Helper()
		write(text)
		if err := cmd.Process.Signal(syscall.SIGHUP); err != nil {
			t.Fatal(err)
		}
		select {
		case <-seen:
		case err := <-ended:
			t.Fatalf("SIGHUP ended the program: %v", err)
		case <-time.After(limit):
			t.Fatal("SIGHUP did nothing")
		}
		if got, err := get("/read/1"); err != nil || got != "200 c-1" {
			t.Errorf("after SIGHUP: %q, %v", got, err)
		}
	}
	hangUp(`{"listen":`, kept)
	hangUp(strings.Replace(text, before, strings.TrimPrefix(discovery.URL, "http://"), 1), moved)
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	select {
	case err := <-ended:
		if err != nil {
			t.Errorf("after SIGTERM: %v", err)
		}
	case <-time.After(limit):
		t.Error("still running after SIGTERM")
	}
}

// A configuration that is missing or malformed is one line on standard error, and exit code 1.
func TestProgramRejectsBadConfig(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "config.json")
	if err := os.WriteFile(bad, []byte(`{"listen":7}`), 0o600); err != nil {
		t.Fatal(err)
	}
	for _, config := range []string{"", filepath.Join(t.TempDir(), "none"), bad} {
		cmd := programCommand(t, config)
		var stdout, stderr bytes.Buffer
		cmd.Stdout, cmd.Stderr = &stdout, &stderr
		err := cmd.Run()
		var exit *exec.ExitError
		if !errors.As(err, &exit) || exit.ExitCode() != 1 {
			t.Errorf("config %q: %v", config, err)
		}
		if s := stderr.String(); strings.Count(s, "\n") != 1 || !strings.HasPrefix(s, "cranegrade: ") || stdout.Len() > 0 {
			t.Errorf("config %q: standard error %q, output %q", config, s, stdout.String())
		}
	}
}

// Each example of a proxy's configuration is what proxy-config prints for its mode, and proxy-check has no finding in it.
func TestProxyConfigPrintsTheExamples(t *testing.T) {
	for mode, file := range map[string]string{"header": "extproc.toml", "metadata": "extproc.toml", "fallbacks": "extproc-fallbacks.toml", "every-try": "extproc-every-try.toml"} {
		config, example := "../../deploy/examples/"+file, "../../deploy/examples/envoy-"+mode+".yaml"
		var out, complaint bytes.Buffer
		if code := proxyConfig([]string{"-config", config, "-mode", mode}, &out, &complaint); code != 0 {
			t.Errorf("%s: exit %d, %s", mode, code, &complaint)
			continue
		}
		if want, err := os.ReadFile(example); err != nil || !bytes.Equal(out.Bytes(), want) {
			t.Errorf("%s is not what proxy-config -mode %s prints, %v", example, mode, err)
		}
		out.Reset()
		if code := proxyCheck([]string{example, "-config", config}, &out, &complaint); code != 0 {
			t.Errorf("%s: exit %d, %s%s", example, code, &out, &complaint)
		}
	}
	for _, args := range [][]string{
		{},
		{"-config", "../../deploy/examples/extproc.toml"},
		{"-config", "none", "-mode", "header"},
		{"-config", "../../deploy/examples/extproc.toml", "-mode", "every-try"},
		{"-config", "../../deploy/examples/routes.toml", "-mode", "header"},
		{"-config", "../../deploy/examples/extproc.toml", "-mode", "header", "-processor", "127.0.0.1:0"},
	} {
		var out, complaint bytes.Buffer
		if code := proxyConfig(args, &out, &complaint); code == 0 || out.Len() > 0 || complaint.Len() == 0 {
			t.Errorf("%v: exit %d, %s%s", args, code, &out, &complaint)
		}
	}
}
