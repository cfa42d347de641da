// Package config reads the configuration of a controller: the platform's settings file
// (TOML) and the optional options file of the operators (YAML). Unknown settings are ignored;
// unknown options are errors. Each error is one line that names the file, the field and its
// value.
package config

import (
	"fmt"
	"io"
	"os"
)

// maxFileBytes is the largest accepted size of a configuration file, in bytes.
const maxFileBytes = 1 << 20

// readFile returns the content of a file of at most maxFileBytes bytes.
func readFile(path string) ([]byte, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, maxFileBytes+1))
	if err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if len(text) > maxFileBytes {
		return nil, fmt.Errorf("%s: larger than %d bytes", path, maxFileBytes)
	}
	return text, nil
}
