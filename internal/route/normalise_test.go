package route

import (
	"strings"
	"testing"
)

// A host is normalised to lower case without its port, or rejected.
func TestHost(t *testing.T) {
	for in, want := range map[string]string{
		"":          "",
		"A.b":       "a.b",
		"a.b.":      "a.b",
		"a:1":       "a",
		"a.:80":     "a",
		"a:":        "a",
		"[::1]":     "[::1]",
		"[::FF]:80": "[::ff]",
		"1.2.3.4":   "1.2.3.4",
		"a_b-c":     "a_b-c",
	} {
		if got, err := Host(in); err != nil || got != want {
			t.Errorf("%q: %q, %v", in, got, err)
		}
	}
	for _, in := range []string{
		".", "a..b", ".a", "a..", "a b", "a/b", "u@a", "a:b", "a:1:2", "a:123456", "[::1", "[::1]x", "[zz]",
		"é", "a%41", "a?", "a#", "a\x00", strings.Repeat("a", MaxHost+1),
	} {
		if got, err := Host(in); err == nil {
			t.Errorf("%q is accepted as %q", in, got)
		}
	}
}

// A path is normalised as the comment of Path says, or rejected.
func TestPath(t *testing.T) {
	for in, want := range map[string]string{
		"/":           "/",
		"/a":          "/a",
		"/a/":         "/a/",
		"//":          "/",
		"/a//b":       "/a/b",
		"/a/.":        "/a/",
		"/./a":        "/a",
		"/a/../b":     "/b",
		"/a/..":       "/",
		"/a/b/..":     "/a/",
		"/..a":        "/..a",
		"/a/...":      "/a/...",
		"/.a":         "/.a",
		"/%61":        "/a",
		"/%2F":        "/%2F",
		"/%2f":        "/%2F",
		"/a%2fb":      "/a%2Fb",
		"/%7e":        "/~",
		"/%2e":        "/",
		"/a/%2e%2e/b": "/b",
		"/a%20b":      "/a%20b",
		"/%C3%a9":     "/%C3%A9",
		"/%5c":        "/%5C",
		"/a/.//../b":  "/b",
		"/%252f":      "/%252f",
		"/a;b=c":      "/a;b=c",
	} {
		if got, err := Path(in); err != nil || got != want {
			t.Errorf("%q: %q, %v, not %q", in, got, err, want)
		}
	}
	for _, in := range []string{
		"", "a", "*", "/..", "/a/../..", "/../a", "/%2e%2e/a", "/%", "/%4", "/%zz", "/%00", "/%0a",
		"/a\x00", "/a\nb", "/a\\b", "/" + strings.Repeat("a", MaxPath),
	} {
		if got, err := Path(in); err == nil {
			t.Errorf("%q is accepted as %q", in, got)
		}
	}
}

// A path that is accepted is normalised: normalising it again changes nothing, and it has no dot segment or empty segment.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/", "/a/../b", "/%2e%2e/x", "/a%2fb", "//..//", "/%zz", "/\\", "/a/./%2E/"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := Path(s)
		if err != nil {
			return
		}
		again, err := Path(p)
		if err != nil || again != p {
			t.Fatalf("%q is normalised to %q, and that to %q, %v", s, p, again, err)
		}
		for i, seg := range strings.Split(p[1:], "/") {
			if seg == "." || seg == ".." || seg == "" && i < strings.Count(p, "/")-1 {
				t.Fatalf("%q is normalised to %q", s, p)
			}
		}
	})
}

// A host that is accepted is normalised: normalising it again changes nothing.
func FuzzHost(f *testing.F) {
	for _, s := range []string{"a", "A.b.:80", "[::1]:8", "a..b", ":", ".", "[", "a:1:2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		h, err := Host(s)
		if err != nil {
			return
		}
		if again, err := Host(h); err != nil || again != h || strings.ToLower(h) != h || strings.HasSuffix(h, ".") {
			t.Fatalf("%q is normalised to %q, and that to %q, %v", s, h, again, err)
		}
	})
}
