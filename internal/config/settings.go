package config

import (
	"errors"
	"fmt"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Settings is the file that the platform hands to a controller.
type Settings struct {
	Label        string    `toml:"label"` // the controller's name
	Site         string    `toml:"site"`
	ServeOn      string    `toml:"serve_on"`      // IP:port for users and workers
	InternalAddr string    `toml:"internal_addr"` // IP:port for other controllers
	Seeds        []Seed    `toml:"seeds"`
	Endpoints    Endpoints `toml:"endpoints"`
	Cluster      Cluster   `toml:"cluster"`
}

// Seed is another controller.
type Seed struct {
	Label   string `toml:"label"`
	Site    string `toml:"site"`
	Address string `toml:"address"` // IP:port, its internal address
}

// Endpoints are the addresses (IP:port) of the regional services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster describes the deployment.
type Cluster struct {
	Nodes        int         `toml:"nodes"` // controllers
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        StateLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team has a guarantee and a limit; a limit of 0 means none.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective of a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // seconds
	Share   float64 `toml:"share"`    // part of the jobs, 0 to 1
}

// Workers are the workers' intervals, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"` // between heartbeats
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// StateLimits bound the use of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // writing requests per second
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"` // operations in a transaction
	// Next are limits that take effect at some later time, without notice.
	Next *NextLimits `toml:"next"`
}

// NextLimits are limits to come. A field of 0 leaves the limit as it is.
type NextLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns the smaller of each limit and the one to come. They are kept to from the
// start, since nothing tells when those to come take effect, and a value written larger
// could not be rewritten then.
func (l StateLimits) Strictest() StateLimits {
	if l.Next == nil {
		return l
	}
	l.RPS = lowerLimit(l.RPS, l.Next.RPS)
	l.WriteRPS = lowerLimit(l.WriteRPS, l.Next.WriteRPS)
	l.ValueKB = lowerLimit(l.ValueKB, l.Next.ValueKB)
	l.TxnOps = lowerLimit(l.TxnOps, l.Next.TxnOps)
	return l
}

func lowerLimit[N int | float64](now, next N) N {
	if next > 0 {
		return min(now, next)
	}
	return now
}

// CloudLimits bound the use of the cloud.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // seconds by which a list of machines may be late
}

// Resources are what the process may use.
type Resources struct {
	CoreShare float64 `toml:"core_share"` // part of a core
	RAMMB     float64 `toml:"ram_mb"`
	Sockets   int     `toml:"sockets"`
}

// LoadSettings reads and checks a settings file.
func LoadSettings(path string) (Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, text)
}

// ParseSettings parses and checks the text of a settings file. name is the file's name in
// errors; a value that a field cannot have is a *FieldError.
func ParseSettings(name string, text []byte) (Settings, error) {
	var s Settings
	err := toml.Unmarshal(text, &s)
	var decodeErr *toml.DecodeError
	if errors.As(err, &decodeErr) {
		row, _ := decodeErr.Position()
		return s, fmt.Errorf("%s: line %d: %s: %w", name, row, tomlField(string(text), row), err)
	}
	if err != nil {
		return s, fmt.Errorf("%s: %w", name, err)
	}
	return s, s.check(name)
}

// tomlField returns the full name and the value of the field on a line, counted from 1.
func tomlField(text string, row int) string {
	const notAField = "syntax"
	lines := strings.Split(text, "\n")
	if row < 1 || row > len(lines) {
		return notAField
	}
	key, value, ok := strings.Cut(lines[row-1], "=")
	if !ok {
		return notAField
	}
	table := ""
	for _, line := range lines[:row-1] {
		if line = strings.TrimSpace(line); strings.HasPrefix(line, "[") {
			table = strings.Trim(line, "[] ") + "."
		}
	}
	return table + strings.TrimSpace(key) + " = " + strings.TrimSpace(value)
}
