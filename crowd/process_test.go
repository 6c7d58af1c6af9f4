package crowd

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/bilberrydeck/bilberrydeck/internal/testprogram"
)

// process is one process of the program under test. It records how much it holds.
type process struct {
	t    *testing.T
	args []string
	cmd  *exec.Cmd
	log  string // path
	done chan struct{}

	mu             sync.Mutex
	maxDescriptors int // sockets, the largest number seen
	ended          bool
}

// startProcess starts the program. It is killed when the test ends.
func startProcess(t *testing.T, args ...string) *process {
	return startLimitedProcess(t, 0, args...)
}

// startLimitedProcess starts the program with a limit of descriptors that the kernel enforces, 0 for none.
func startLimitedProcess(t *testing.T, descriptors int, args ...string) *process {
	path, err := testprogram.Path()
	require.NoError(t, err)
	cmd := exec.Command(path, args...)
	if descriptors > 0 {
		cmd = exec.Command("/bin/sh", append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptors), path}, args...)...)
	}
	log, err := os.CreateTemp(t.TempDir(), args[0]+"-*.log")
	require.NoError(t, err)
	p := &process{t: t, args: args, cmd: cmd, log: log.Name(), done: make(chan struct{})}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	require.NoError(t, p.cmd.Start())
	go func() {
		_ = p.cmd.Wait() // it is killed
		_ = log.Close()
		close(p.done)
	}()
	go p.watch()
	t.Cleanup(func() {
		p.mu.Lock()
		p.ended = true
		p.mu.Unlock()
		_ = p.cmd.Process.Kill() // it may have ended
		<-p.done
		if t.Failed() {
			p.printLog()
		}
	})
	return p
}

// watch samples the descriptors of the process until it ends.
func (p *process) watch() {
	for {
		sockets := 0
		names, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", p.cmd.Process.Pid))
		for _, name := range names {
			if target, err := os.Readlink(name); err == nil && strings.HasPrefix(target, "socket:") {
				sockets++
			}
		}
		p.mu.Lock()
		p.maxDescriptors = max(p.maxDescriptors, sockets)
		p.mu.Unlock()
		select {
		case <-p.done:
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// peakMemory returns the largest resident size of the process so far, in bytes.
func (p *process) peakMemory() int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	require.NoError(p.t, err, "%v has ended", p.args)
	for line := range strings.Lines(string(text)) {
		if value, found := strings.CutPrefix(line, "VmHWM:"); found {
			kb, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			require.NoError(p.t, err)
			return kb << 10
		}
	}
	require.FailNow(p.t, "no memory", "%v has ended: %s", p.args, text)
	return 0
}

// requireWithin checks that the process lives and has stayed within its limits.
func (p *process) requireWithin(l limits) {
	p.t.Helper()
	select {
	case <-p.done:
		require.FailNow(p.t, "the process has ended by itself", "%v", p.args)
	default:
	}
	p.mu.Lock()
	sockets := p.maxDescriptors
	p.mu.Unlock()
	memory := p.peakMemory()
	p.t.Logf("%s: %d MiB at its peak, %d sockets at most", p.args[0], memory>>20, sockets)
	if memory >= l.memoryBytes {
		p.t.Errorf("%v took %d MiB of memory, its VM has %d", p.args, memory>>20, l.memoryBytes>>20)
	}
	if l.descriptors > 0 && sockets > l.descriptors-reservedDescriptors {
		p.t.Errorf("%v had %d sockets, its VM allows %d", p.args, sockets, l.descriptors-reservedDescriptors)
	}
}

// printLog prints the end of the log.
func (p *process) printLog() {
	const tail = 3000
	text, err := os.ReadFile(p.log)
	if err != nil {
		return
	}
	p.t.Logf("end of the log of %v:\n%s", p.args, text[max(0, len(text)-tail):])
}
