package integration

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/testprogram"
)

// waitTimeout bounds each wait for a condition. It is long enough that a test which
// reaches it has failed, however slow the machine is.
const waitTimeout = 60 * time.Second

// TestMain runs the tests and removes the binary that they built.
func TestMain(m *testing.M) {
	code := m.Run()
	testprogram.Remove()
	os.Exit(code)
}

// build compiles the program once for all tests and returns the path of the binary.
func build(t testing.TB) string {
	path, err := testprogram.Path()
	require.NoError(t, err)
	return path
}

// process is one operating system process of the program under test.
type process struct {
	t    testing.TB
	args []string
	cmd  *exec.Cmd
	log  *lockedBuffer
	done chan error
}

// lockedBuffer collects the output of a process.
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

// start runs the program with the given arguments. The process is killed when the
// test ends, and its output is logged if the test failed.
func start(t testing.TB, args ...string) *process {
	p := &process{t: t, args: args, log: &lockedBuffer{}}
	p.run()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("output of %v:\n%s", args, tail(p.log.String(), 6000))
		}
	})
	return p
}

func tail(s string, n int) string {
	if len(s) > n {
		return s[len(s)-n:]
	}
	return s
}

func (p *process) run() {
	p.cmd = exec.Command(build(p.t), p.args...)
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	require.NoError(p.t, p.cmd.Start())
	done := make(chan error, 1)
	cmd := p.cmd
	go func() { done <- cmd.Wait() }()
	p.done = done
}

// kill ends the process with SIGKILL, as a power failure would, and waits for its end.
func (p *process) kill() {
	if p.cmd == nil {
		return
	}
	_ = p.cmd.Process.Signal(syscall.SIGCONT) // a stopped process cannot be reaped
	_ = p.cmd.Process.Kill()
	<-p.done
	p.cmd = nil
}

// restart kills the process and starts it again.
func (p *process) restart() {
	p.kill()
	p.run()
}

func (p *process) signal(s syscall.Signal) {
	require.NoError(p.t, p.cmd.Process.Signal(s))
}

// wait waits until the process exits by itself and returns its exit code.
func (p *process) wait() int {
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		require.FailNow(p.t, "process did not end", "%v", p.args)
	}
	code := p.cmd.ProcessState.ExitCode()
	p.cmd = nil
	return code
}

// runCommand runs the program until it exits and returns its output and exit code.
func runCommand(t testing.TB, args ...string) (stdout, stderr string, code int) {
	cmd := exec.Command(build(t), args...)
	var out, errs bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if _, exited := err.(*exec.ExitError); err != nil && !exited {
		require.NoError(t, err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// waitFor polls until condition returns true and fails the test after waitTimeout.
func waitFor(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if condition() {
			return
		}
	}
	require.FailNow(t, "timed out waiting", description)
}

func writeFile(t testing.TB, dir, name, text string) string {
	path := filepath.Join(dir, name)
	require.NoError(t, os.MkdirAll(filepath.Dir(path), 0o755))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o644))
	return path
}
