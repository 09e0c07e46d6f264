package program

import (
	"bufio"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"parsleyramp/internal/telemetry"
)

// daemonEnv makes the test's own program a daemon with the settings file that it
// names; signals would end the test otherwise.
const daemonEnv = "PROGRAM_TEST_SETTINGS"

// TestDaemon is the daemon that other tests run. Its stop lasts until its input
// ends.
func TestDaemon(t *testing.T) {
	path := os.Getenv(daemonEnv)
	if path == "" {
		t.Skip("run by other tests")
	}
	d := Daemon{
		Name: "test", Settings: &testSettings{},
		Identify: func() (string, telemetry.Settings) { return "t", telemetry.Defaults() },
		Run: func(ctx context.Context, _ func() (context.Context, context.CancelFunc), _ *logrus.Entry) error {
			os.Stderr.WriteString("running\n")
			<-ctx.Done()
			// The reloader ends with the context as well.
			time.Sleep(200 * time.Millisecond)
			os.Stderr.WriteString("stopping\n")
			_, err := bufio.NewReader(os.Stdin).ReadString('\n')
			return err
		},
	}
	os.Exit(d.Main([]string{"-settings", path}))
}

// startDaemon runs TestDaemon as a process and returns its lines on standard
// error and its input.
func startDaemon(t *testing.T, path string) (*exec.Cmd, *bufio.Scanner, *os.File) {
	t.Helper()
	cmd := exec.Command(os.Args[0], "-test.run=^TestDaemon$")
	cmd.Env = append(os.Environ(), daemonEnv+"="+path)
	stderr, err := cmd.StderrPipe()
	if err != nil {
		t.Fatal(err)
	}
	stdinReader, stdin, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	cmd.Stdin = stdinReader
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		stdin.Close()
		stdinReader.Close()
		_ = cmd.Process.Kill()
	})
	return cmd, bufio.NewScanner(stderr), stdin
}

func awaitLine(t *testing.T, lines *bufio.Scanner, want string) {
	t.Helper()
	for lines.Scan() {
		if lines.Text() == want {
			return
		}
	}
	t.Fatalf("the daemon ended before it wrote %q", want)
}

func sendSignal(t *testing.T, cmd *exec.Cmd, s syscall.Signal) {
	t.Helper()
	if err := cmd.Process.Signal(s); err != nil {
		t.Fatal(err)
	}
}

// TestHangUpDuringAGracefulStopDoesNotEndIt sends SIGHUP while the daemon still
// finishes what it has begun.
func TestHangUpDoesNotInterruptAGracefulStop(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	writeFile(t, path, `{"name": "a"}`)
	cmd, lines, stdin := startDaemon(t, path)
	awaitLine(t, lines, "running")
	sendSignal(t, cmd, syscall.SIGTERM)
	awaitLine(t, lines, "stopping")
	sendSignal(t, cmd, syscall.SIGHUP)
	if _, err := stdin.WriteString("go on\n"); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("the stop was not graceful: %v", err)
	}
}

// TestHangUpBeforeTheSettingsAreReadDoesNotEndTheProgram sends SIGHUP while the
// daemon waits for its settings, which a named pipe holds back.
func TestHangUpBeforeSettingsAreReadIsIgnored(t *testing.T) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := syscall.Mkfifo(path, 0o600); err != nil {
		t.Fatal(err)
	}
	cmd, lines, _ := startDaemon(t, path)
	pipe, err := os.OpenFile(path, os.O_WRONLY, 0)
	if err != nil {
		t.Fatal(err)
	}
	// The daemon has opened the pipe and waits for its content.
	sendSignal(t, cmd, syscall.SIGHUP)
	const text = `{"name": "a"}`
	writeFile(t, path+".new", text)
	if err := os.Rename(path+".new", path); err != nil {
		t.Fatal(err)
	}
	if _, err := pipe.WriteString(text); err != nil {
		t.Fatal(err)
	}
	pipe.Close()
	awaitLine(t, lines, "running")
}
