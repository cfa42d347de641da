// Package config reads the configuration of a controller: the platform's settings (TOML)
// and, if there is one, the operators' options (YAML). Unknown settings are ignored,
// unknown options are not. Errors name the file, the field and its value on one line.
package config

import (
	"fmt"
	"io"
	"os"
)

// maxFileBytes bounds a configuration file.
const maxFileBytes = 1 << 20

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
