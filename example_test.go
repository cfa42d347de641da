package garnethitch_test

import (
	"context"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"time"

	"garnethitch"
)

// settings are those of a controller alone, beside services that nobody runs: it
// starts, is not ready, and stops.
const settings = `
label = "n-0"
site = "a"
serve_on = %q
internal_addr = %q

[endpoints]
cloud = "127.0.0.1:1"
state = "127.0.0.1:1"

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

// settingsFile writes the settings, with two free ports, to a folder.
func settingsFile(folder string) (string, error) {
	var ports [2]string
	for i := range ports {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			return "", err
		}
		defer listener.Close()
		ports[i] = listener.Addr().String()
	}
	path := filepath.Join(folder, "settings.toml")
	return path, os.WriteFile(path, fmt.Appendf(nil, settings, ports[0], ports[1]), 0o600)
}

// A program embeds a controller, hears of unusable settings before anything is
// started, and runs it until a context ends.
func Example() {
	folder, err := os.MkdirTemp("", "garnethitch")
	if err != nil {
		fmt.Println(err)
		return
	}
	defer os.RemoveAll(folder)
	_, err = garnethitch.New(garnethitch.Config{SettingsPath: filepath.Join(folder, "none.toml")})
	fmt.Println("without settings:", err != nil)

	path, err := settingsFile(folder)
	if err != nil {
		fmt.Println(err)
		return
	}
	controller, err := garnethitch.New(garnethitch.Config{SettingsPath: path})
	if err != nil {
		fmt.Println(err)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	fmt.Println("stopped:", controller.Run(ctx))
	// Output:
	// without settings: true
	// stopped: <nil>
}
