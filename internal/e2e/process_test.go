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
	// waitLimit bounds a wait for a condition, so that a failing test ends.
	waitLimit        = 40 * time.Second
	waitPollInterval = 20 * time.Millisecond
	// logTail is the size in bytes of the end of a process's log that a failed test prints.
	logTail = 8000
)

// binaries is the directory of the built commands.
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
	// exited is closed when the process has exited; err is then the result of Wait.
	exited chan struct{}
	err    error
	once   sync.Once
}

// start runs a command and kills it at the end of the test.
func start(t *testing.T, dir, name, command string, args ...string) *process {
	t.Helper()
	return startWith(t, nil, dir, name, command, args...)
}

// startWith is start with additional environment variables.
func startWith(t *testing.T, env []string, dir, name, command string, args ...string) *process {
	t.Helper()
	p := &process{name: name, log: filepath.Join(dir, name+".log"), exited: make(chan struct{})}
	out, err := os.OpenFile(p.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	require.NoError(t, err)
	defer func() { _ = out.Close() }()
	p.cmd = exec.Command(filepath.Join(binaries, command), args...)
	p.cmd.Env = append(os.Environ(), env...)
	p.cmd.Stdout, p.cmd.Stderr = out, out
	require.NoError(t, p.cmd.Start())
	go func() {
		p.err = p.cmd.Wait()
		close(p.exited)
	}()
	t.Cleanup(func() { p.cleanUp(t) })
	return p
}

// runtimeFailure matches the Go runtime's reports of a crash or a data race, which no process may
// write.
var runtimeFailure = regexp.MustCompile(`(?m)^(panic:|fatal error:|WARNING: DATA RACE)`)

// cleanUp kills the process, even if it is paused, and prints the end of its log if the test
// failed.
func (p *process) cleanUp(t *testing.T) {
	p.once.Do(func() {
		_ = p.cmd.Process.Kill()
		<-p.exited
		text, err := os.ReadFile(p.log)
		require.NoError(t, err)
		if runtimeFailure.Match(text) {
			t.Errorf("%s: log reports a panic, fatal error or data race", p.name)
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

// kill sends SIGKILL and waits until the process has exited.
func (p *process) kill(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGKILL)
	<-p.exited
}

func (p *process) pause(t *testing.T)  { p.signal(t, syscall.SIGSTOP) }
func (p *process) resume(t *testing.T) { p.signal(t, syscall.SIGCONT) }

// Ports are below the kernel's range for outgoing connections, so that none is taken between its
// choice and its use.
const (
	firstPort = 15000
	lastPort  = 32000
)

// nextPort starts at an offset that depends on the process id, so that concurrent test processes
// choose different ports.
var nextPort = firstPort + os.Getpid()*61%(lastPort-firstPort)

// freeAddr returns an unused loopback address; it does not return an address twice before all ports
// were tried.
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

// eventually polls a condition on the test's own goroutine and fails the test after waitLimit.
func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for limit := time.Now().Add(waitLimit); !condition(); time.Sleep(waitPollInterval) {
		if time.Now().After(limit) {
			require.FailNow(t, "condition not met within the limit", what)
		}
	}
}
