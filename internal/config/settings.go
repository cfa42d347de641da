package config

// Settings is the content of the settings file that the platform gives to a controller.
type Settings struct {
	Label        string    `toml:"label"` // unique name of this controller
	Site         string    `toml:"site"`
	ServeOn      string    `toml:"serve_on"`      // IP:port for users and workers
	InternalAddr string    `toml:"internal_addr"` // IP:port for other controllers
	Seeds        []Seed    `toml:"seeds"`
	Endpoints    Endpoints `toml:"endpoints"`
	Cluster      Cluster   `toml:"cluster"`
}

// Seed is another controller of the deployment.
type Seed struct {
	Label   string `toml:"label"`
	Site    string `toml:"site"`
	Address string `toml:"address"` // IP:port of its internal listener
}

// Endpoints are the addresses (IP:port) of the regional services.
type Endpoints struct {
	Cloud string `toml:"cloud"`
	State string `toml:"state"`
}

// Cluster describes the deployment.
type Cluster struct {
	Nodes        int         `toml:"nodes"` // number of controllers
	Zones        []string    `toml:"zones"`
	ClockErrorMS float64     `toml:"clock_error_ms"`
	Teams        []Team      `toml:"teams"`
	Objectives   []Objective `toml:"objectives"`
	Workers      Workers     `toml:"workers"`
	State        StateLimits `toml:"state"`
	Cloud        CloudLimits `toml:"cloud"`
	Resources    Resources   `toml:"resources"`
}

// Team is a team with its guaranteed CPUs and GPUs and its limits (CPUsMax, GPUsMax). A limit
// of 0 means no limit.
type Team struct {
	Name    string  `toml:"name"`
	CPUs    float64 `toml:"cpus"`
	CPUsMax float64 `toml:"cpus_max"`
	GPUs    float64 `toml:"gpus"`
	GPUsMax float64 `toml:"gpus_max"`
}

// Objective is a service-level objective for a class of jobs.
type Objective struct {
	Kind    string  `toml:"kind"`
	Class   string  `toml:"class"`
	WithinS float64 `toml:"within_s"` // seconds
	Share   float64 `toml:"share"`    // fraction of the jobs, 0 to 1
}

// Workers holds the workers' intervals, in seconds.
type Workers struct {
	ReportS float64 `toml:"report_s"` // between heartbeats
	LeaseS  float64 `toml:"lease_s"`
	CancelS float64 `toml:"cancel_s"`
}

// StateLimits limits the use of the state service.
type StateLimits struct {
	RPS      float64 `toml:"rps"`       // requests per second
	WriteRPS float64 `toml:"write_rps"` // write requests per second
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"` // operations per transaction
	// Next holds limits that take effect at an unknown later time, without notice. nil: there
	// are none.
	Next *NextLimits `toml:"next"`
}

// NextLimits holds limits that take effect later. A field of 0 leaves the current limit
// unchanged.
type NextLimits struct {
	RPS      float64 `toml:"rps"`
	WriteRPS float64 `toml:"write_rps"`
	ValueKB  float64 `toml:"value_kb"`
	TxnOps   int     `toml:"txn_ops"`
}

// Strictest returns the smaller of each current limit and its value in Next. The controller
// observes the smaller limits from the start, because it is not told when Next takes effect,
// and a value that was written while it was larger than the new limit could not be rewritten
// afterwards.
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

// lowerLimit returns the smaller of the two limits. A next limit of 0 is ignored.
func lowerLimit[N int | float64](current, next N) N {
	if next > 0 {
		return min(current, next)
	}
	return current
}

// CloudLimits limits the use of the cloud service.
type CloudLimits struct {
	RPS      float64 `toml:"rps"`        // requests per second
	ListLagS float64 `toml:"list_lag_s"` // maximum delay of a list of machines, in seconds
}

// Resources holds the resources that the process may use.
type Resources struct {
	CoreShare float64 `toml:"core_share"` // fraction of a core
	RAMMB     float64 `toml:"ram_mb"`
	Sockets   int     `toml:"sockets"`
}

// LoadSettings reads and validates a settings file.
func LoadSettings(path string) (Settings, error) {
	text, err := readFile(path)
	if err != nil {
		return Settings{}, err
	}
	return ParseSettings(path, text)
}

// ParseSettings parses and validates the text of a settings file. name is the file name used
// in errors. An invalid value of the right type is reported as a *FieldError.
func ParseSettings(name string, text []byte) (Settings, error) {
	var s Settings
	if err := decodeSettings(name, text, &s); err != nil {
		return s, err
	}
	return s, s.check(name)
}
