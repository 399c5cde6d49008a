package e2e

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	// waitLimit bounds a wait for a condition, so that a failure ends.
	waitLimit = 40 * time.Second
	waitStep  = 20 * time.Millisecond
	// logTail is how much of a process's log a failed test prints, in bytes.
	logTail = 8000
)

// binaries is the folder with the built commands.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "endivemoor-e2e-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the commands: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// process is one started command.
type process struct {
	name string
	cmd  *exec.Cmd
	log  string
	// gone is closed when it has ended; then err says how.
	gone chan struct{}
	err  error
	once sync.Once
}

// start runs a command and ends it with the test.
func start(t *testing.T, dir, name, command string, args ...string) *process {
	t.Helper()
	return startWith(t, nil, dir, name, command, args...)
}

// startWith is start with further variables of the environment.
func startWith(t *testing.T, env []string, dir, name, command string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(dir, name+".log"), gone: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, command), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.gone)
	}()
	t.Cleanup(func() { p.end(t) })
	return p
}

// damage is what a process must never write: the Go runtime's own findings.
var damage = regexp.MustCompile(`(?m)^(panic:|fatal error:|WARNING: DATA RACE)`)

// end kills the process, paused or not, and prints its log if the test failed.
func (p *process) end(t *testing.T) {
	p.once.Do(func() {
		_ = p.cmd.Process.Kill()
		<-p.gone
		text, err := os.ReadFile(p.log)
		require.NoError(t, err)
		if damage.Match(text) {
			t.Errorf("%s was damaged", p.name)
		}
		if t.Failed() {
			t.Logf("%s: %v\n%s", p.name, p.err, text[max(0, len(text)-logTail):])
		}
	})
}

func (p *process) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	require.NoError(t, p.cmd.Process.Signal(s), p.name)
}

// kill is SIGKILL; it returns when the process is gone.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.gone
}

func (p *process) pause(t *testing.T)  { p.signal(t, syscall.SIGSTOP) }
func (p *process) resume(t *testing.T) { p.signal(t, syscall.SIGCONT) }

// Ports come from below the range that the kernel gives to outgoing
// connections, so that none is taken between its choice and its use.
const (
	firstPort = 15000
	lastPort  = 32000
)

// nextPort starts at a place of this process's own.
var nextPort = firstPort + os.Getpid()*61%(lastPort-firstPort)

// freeAddr returns an unused loopback address, each only once.
func freeAddr(t *testing.T) string {
	t.Helper()
	for range lastPort - firstPort {
		nextPort++
		if nextPort >= lastPort {
			nextPort = firstPort
		}
		addr := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if ln, err := net.Listen("tcp", addr); err == nil {
			require.NoError(t, ln.Close())
			return addr
		}
	}
	require.FailNow(t, "no free port")
	return ""
}

// eventually waits for a condition, on the test's own goroutine.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !condition(); time.Sleep(waitStep) {
		if time.Now().After(limit) {
			require.FailNow(t, "gave up waiting", what)
		}
	}
}
