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

// deployKey reads a string from the deploy file.
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

// The platform's rig loads a library of its own into the router: the program that the deploy file builds
// has to be linked dynamically against the C library, and `run` has to become that program.
func TestDeployFileBuildsADynamicProgram(t *testing.T) {
	const outDir, packages = "-o bin/", "./cmd/..."
	build := deployKey(t, "build")
	for _, wanted := range []string{"CGO_ENABLED=1 ", "-ldflags=-linkmode=external "} {
		if !strings.Contains(build, wanted) { // without them it hangs on the machine whether the C library is used
			t.Errorf("build = %q lacks %q", build, wanted)
		}
	}
	if !strings.Contains(build, outDir) || !strings.Contains(build, packages) {
		t.Fatalf("build = %q: this test knows %q and %q", build, outDir, packages)
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
		t.Error("the program has no interpreter: nothing can be loaded into it")
	}
	libs, err := program.ImportedLibraries()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(strings.Join(libs, " "), "libc.so") {
		t.Errorf("the program is linked against %q, not the C library", libs)
	}
	if run := deployKey(t, "run"); !strings.HasPrefix(run, "exec bin/mintdoor ") {
		t.Errorf("run = %q does not end in one process", run)
	}
}
