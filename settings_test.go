package garnethitch_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"testing"

	"garnethitch"
)

// settingsTemplate is the settings file of a single controller. Its parameters are the public and
// the internal address, and the addresses of the cloud and the state service.
const settingsTemplate = `
label = "n-0"
site = "a"
serve_on = %q
internal_addr = %q

[endpoints]
cloud = %q
state = %q

[cluster]
nodes = 1
zones = ["a"]

[[cluster.teams]]
name = "t"

[cluster.workers]
report_s = 3.0
lease_s = 45.0
cancel_s = 70.0

[cluster.state]
rps = 150.0
write_rps = 25.0
value_kb = 8.0
txn_ops = 8

[cluster.cloud]
rps = 5.0
list_lag_s = 3.0

[cluster.resources]
core_share = 0.24
ram_mb = 451.0
sockets = 5000
`

// writeSettingsFile writes a settings file into a folder and returns its path. services is the
// address of both the cloud and the state service.
func writeSettingsFile(folder, serve, internal, services string) (path string, err error) {
	path = filepath.Join(folder, "settings.toml")
	text := fmt.Appendf(nil, settingsTemplate, serve, internal, services, services)
	return path, os.WriteFile(path, text, 0o600)
}

// freeAddress returns a local address (IP:port) on which nothing listens.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// freeAddr is freeAddress for tests: an error fails the test.
func freeAddr(tb testing.TB) string {
	tb.Helper()
	addr, err := freeAddress()
	if err != nil {
		tb.Fatal(err)
	}
	return addr
}

// writeSettings is writeSettingsFile for tests: it writes into a temporary folder, and an error
// fails the test.
func writeSettings(tb testing.TB, serve, internal, services string) string {
	tb.Helper()
	path, err := writeSettingsFile(tb.TempDir(), serve, internal, services)
	if err != nil {
		tb.Fatal(err)
	}
	return path
}

// startController runs a controller in the background until the test ends. An error from Run fails
// the test.
func startController(tb testing.TB, controller *garnethitch.Controller) {
	tb.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- controller.Run(ctx) }()
	tb.Cleanup(func() {
		cancel()
		if err := <-ended; err != nil {
			tb.Error(err)
		}
	})
}
