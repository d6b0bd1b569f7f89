package main

import (
	"debug/elf"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
)

// deployKey returns the value of a string key in the deploy file.
func deployKey(t *testing.T, key string) string {
	t.Helper()
	text, err := os.ReadFile("../../deploy/balancer.toml")
	if err != nil {
		t.Fatal(err)
	}
	m := regexp.MustCompile(`(?m)^` + key + ` = "([^"]*)"`).FindSubmatch(text)
	if m == nil {
		t.Fatalf("the deploy file has no line %s = \"...\"", key)
	}
	return string(m[1])
}

// The platform's test setup loads a library of its own into the router. The program that the deploy file builds
// therefore has to be linked dynamically against the C library, and the `run` command has to replace itself with that
// program.
func TestDeployFileBuildsADynamicProgram(t *testing.T) {
	const outDir, packages = "-o bin/", "./cmd/..."
	build := deployKey(t, "build")
	for _, wanted := range []string{"CGO_ENABLED=1 ", "-ldflags=-linkmode=external "} {
		// Without them, the machine's Go setup decides whether the C library is used.
		if !strings.Contains(build, wanted) {
			t.Errorf("build = %q lacks %q", build, wanted)
		}
	}
	if !strings.Contains(build, outDir) || !strings.Contains(build, packages) {
		t.Fatalf("build = %q: the test expects %q and %q in it", build, outDir, packages)
	}
	bin := filepath.Join(t.TempDir(), "mintdoor")
	build = strings.Replace(build, "mkdir -p bin", "true", 1)
	build = strings.Replace(strings.Replace(build, outDir, "-o "+bin, 1), packages, "./cmd/mintdoor", 1)
	cmd := exec.Command("/bin/sh", "-c", build)
	cmd.Dir = "../.."
	if out, err := cmd.CombinedOutput(); err != nil {
		t.Fatalf("%s: %v\n%s", build, err, out)
	}
	program, err := elf.Open(bin)
	if err != nil {
		t.Fatal(err)
	}
	defer program.Close()
	if program.Section(".interp") == nil {
		t.Error("the program has no interpreter, so no library can be loaded into it")
	}
	libs, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(strings.Join(libs, " "), "libc.so") {
		t.Errorf("the program is linked against %q, not the C library", libs)
	}
	if run := deployKey(t, "run"); !strings.HasPrefix(run, "exec bin/mintdoor ") {
		t.Errorf("run = %q does not replace itself with the program", run)
	}
}
