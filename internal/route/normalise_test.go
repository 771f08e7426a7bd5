package route

import (
	"strings"
	"testing"
)

// NormaliseHost converts a host to lower case and removes the port, or rejects the host.
func TestNormaliseHost(t *testing.T) {
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
		if got, err := NormaliseHost(in); err != nil || got != want {
			t.Errorf("%q is normalised to %q, %v; want %q", in, got, err, want)
		}
	}
	for _, in := range []string{
		".", "a..b", ".a", "a..", "a b", "a/b", "u@a", "a:b", "a:1:2", "a:123456", "[::1", "[::1]x", "[zz]",
		"é", "a%41", "a?", "a#", "a\x00", strings.Repeat("a", MaxHost+1),
	} {
		if got, err := NormaliseHost(in); err == nil {
			t.Errorf("%q is normalised to %q, want an error", in, got)
		}
	}
}

// NormalisePath normalises as its doc comment defines, or rejects the path.
func TestNormalisePath(t *testing.T) {
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
		if got, err := NormalisePath(in); err != nil || got != want {
			t.Errorf("%q is normalised to %q, %v; want %q", in, got, err, want)
		}
	}
	for _, in := range []string{
		"", "a", "*", "/..", "/a/../..", "/../a", "/%2e%2e/a", "/%", "/%4", "/%zz", "/%00", "/%0a",
		"/a\x00", "/a\nb", "/a\\b", "/" + strings.Repeat("a", MaxPath),
	} {
		if got, err := NormalisePath(in); err == nil {
			t.Errorf("%q is normalised to %q, want an error", in, got)
		}
	}
}

// The result of NormalisePath is normalised: NormalisePath does not change it, it has no dot segments, and only its last
// segment may be empty.
func FuzzPath(f *testing.F) {
	for _, s := range []string{"/", "/a/../b", "/%2e%2e/x", "/a%2fb", "//..//", "/%zz", "/\\", "/a/./%2E/"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		p, err := NormalisePath(s)
		if err != nil {
			return
		}
		again, err := NormalisePath(p)
		if err != nil || again != p {
			t.Fatalf("%q is normalised to %q, and that to %q, %v; want no change the second time", s, p, again, err)
		}
		for i, seg := range strings.Split(p[1:], "/") {
			if seg == "." || seg == ".." || seg == "" && i < strings.Count(p, "/")-1 {
				t.Fatalf("%q is normalised to %q, which has a dot segment or an empty one", s, p)
			}
		}
	})
}

// The result of NormaliseHost is normalised: NormaliseHost does not change it, and it is in lower case without a trailing dot.
func FuzzHost(f *testing.F) {
	for _, s := range []string{"a", "A.b.:80", "[::1]:8", "a..b", ":", ".", "[", "a:1:2"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, s string) {
		h, err := NormaliseHost(s)
		if err != nil {
			return
		}
		if again, err := NormaliseHost(h); err != nil || again != h || strings.ToLower(h) != h || strings.HasSuffix(h, ".") {
			t.Fatalf("%q is normalised to %q, and that to %q, %v; want no change the second time", s, h, again, err)
		}
	})
}
