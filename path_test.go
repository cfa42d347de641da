package garnethitch_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"garnethitch"
	"garnethitch/internal/fakes"
)

// fakesProcessVar is the environment variable that makes the test binary serve the fakes of a
// controller's environment (services, workers and users) instead of running tests.
const fakesProcessVar = "GARNETHITCH_WORLD"

// TestMain runs the tests, or serves the fakes if fakesProcessVar is set.
func TestMain(m *testing.M) {
	if os.Getenv(fakesProcessVar) != "" {
		if err := fakes.ServeLoadHarness(os.Stdin, os.Stdout); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

// fakesProcess is a child process that plays every party of the protocols except the controller.
// It runs separately so that its resource usage is not counted as the controller's.
type fakesProcess struct {
	tb  testing.TB
	in  io.WriteCloser
	out *bufio.Reader
}

// send sends a command to the process and returns its reply. A reply that begins with "failed"
// fails the test.
func (p *fakesProcess) send(format string, args ...any) string {
	p.tb.Helper()
	fmt.Fprintf(p.in, format+"\n", args...)
	line, err := p.out.ReadString('\n')
	if line = strings.TrimSpace(line); err != nil || strings.HasPrefix(line, "failed") {
		p.tb.Fatalf(format+": %s %v", append(args, line, err)...)
	}
	return line
}

// startFakes starts a fakesProcess with the given number of machines, which send their heartbeats
// to serve, and returns the address of its cloud and state services.
func startFakes(tb testing.TB, machines int, serve string) (p *fakesProcess, services string) {
	tb.Helper()
	self, err := os.Executable()
	if err != nil {
		tb.Fatal(err)
	}
	cmd := exec.Command(self)
	cmd.Env = append(os.Environ(), fakesProcessVar+"=1")
	cmd.Stderr = os.Stderr
	p = &fakesProcess{tb: tb}
	out, err := cmd.StdoutPipe()
	if err == nil {
		p.in, err = cmd.StdinPipe()
	}
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		tb.Fatal(err)
	}
	p.out = bufio.NewReader(out)
	tb.Cleanup(func() {
		_ = p.in.Close()
		_ = cmd.Wait()
	})
	return p, strings.TrimPrefix(p.send("machines %d %s", machines, serve), "at ")
}

// startLoadedController starts a controller in this process and the fakes in another, and submits a
// job that fills every machine.
func startLoadedController(tb testing.TB, machines int) *fakesProcess {
	tb.Helper()
	serve, internal := freeAddr(tb), freeAddr(tb)
	p, services := startFakes(tb, machines, serve)
	path := writeSettings(tb, serve, internal, services)
	raiseStateLimits(tb, path)
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: path})
	if err != nil {
		tb.Fatal(err)
	}
	procs := runtime.GOMAXPROCS(0)
	tb.Cleanup(func() { runtime.GOMAXPROCS(procs) })
	startController(tb, controller)
	p.send("ready")
	p.send("job 100000")
	return p
}

// raiseStateLimits raises the request rates that a settings file allows at the state service, so
// that they do not limit the measurement.
func raiseStateLimits(tb testing.TB, path string) {
	tb.Helper()
	text, err := os.ReadFile(path)
	if err != nil {
		tb.Fatal(err)
	}
	replacer := strings.NewReplacer("\nrps = 150.0", "\nrps = 100000.0", "write_rps = 25.0", "write_rps = 100000.0")
	if err := os.WriteFile(path, []byte(replacer.Replace(string(text))), 0o600); err != nil {
		tb.Fatal(err)
	}
}

// resourceUsage returns the processor time of this process and its numbers of read and write system
// calls. The numbers are 0 where /proc/self/io cannot be read.
func resourceUsage(tb testing.TB) (cpu time.Duration, reads, writes int) {
	tb.Helper()
	var ru syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &ru); err != nil {
		tb.Fatal(err)
	}
	text, err := os.ReadFile("/proc/self/io")
	if err == nil {
		for line := range strings.Lines(string(text)) {
			_, _ = fmt.Sscanf(line, "syscr: %d", &reads)
			_, _ = fmt.Sscanf(line, "syscw: %d", &writes)
		}
	}
	return time.Duration(ru.Utime.Nano() + ru.Stime.Nano()), reads, writes
}

// TestSystemCallsPerHeartbeat checks that the controller reads a heartbeat with one system call and
// writes the response with one. A response in two writes would be sent as two packets.
func TestSystemCallsPerHeartbeat(t *testing.T) {
	p := startLoadedController(t, 24)
	p.send("reports 480") // until all machines are registered and fully occupied
	const n = 2400
	_, reads, writes := resourceUsage(t)
	p.send("reports %d", n)
	_, reads2, writes2 := resourceUsage(t)
	if reads2 == 0 || writes2 == 0 {
		t.Fatal("the system does not count reads and writes in /proc/self/io")
	}
	if r, w := float64(reads2-reads)/n, float64(writes2-writes)/n; r > 1.5 || w > 1.5 {
		t.Errorf("%.2f reads and %.2f writes per heartbeat, want at most 1.5 each", r, w)
	}
}

// BenchmarkPath measures the complete handling of a request by a running controller, from socket
// to socket: processor time, allocations, reads and writes per request. The time per operation is
// not meaningful. docs/account.md describes how to break the numbers down.
func BenchmarkPath(b *testing.B) {
	for _, load := range []string{"reports", "apart", "turns", "polls", "jobs"} {
		b.Run(load, func(b *testing.B) {
			p := startLoadedController(b, 200)
			p.send("reports 2000") // until all machines are registered and fully occupied
			time.Sleep(2 * time.Second)
			p.send("reports 2000")
			b.ReportAllocs()
			b.ResetTimer()
			cpu, reads, writes := resourceUsage(b)
			p.send("%s %d", load, b.N)
			cpu2, reads2, writes2 := resourceUsage(b)
			b.StopTimer()
			n := float64(b.N)
			b.ReportMetric(float64((cpu2-cpu).Nanoseconds())/1000/n, "cpu-us/op")
			b.ReportMetric(float64(reads2-reads)/n, "reads/op")
			b.ReportMetric(float64(writes2-writes)/n, "writes/op")
		})
	}
}
