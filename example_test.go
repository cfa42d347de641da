package garnethitch_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"garnethitch"
)

// settingsFile writes the settings of a single controller whose cloud and state services do not
// exist. Such a controller starts, never becomes ready, and stops.
func settingsFile(folder string) (path string, err error) {
	serve, err := freeAddress()
	if err != nil {
		return "", err
	}
	internal, err := freeAddress()
	if err != nil {
		return "", err
	}
	return writeSettingsFile(folder, serve, internal, "127.0.0.1:1")
}

// This example embeds a controller in a program. New reports invalid settings before anything is
// started; Run runs the controller until the context ends.
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
