package scenario

import "dunemoor/internal/config"

// file is the structure of a scenario file. Keys are written in the order of the fields.
type file struct {
	About    string          `toml:"about,omitempty"`
	Seed     int64           `toml:"seed,omitzero"`
	Length   config.Duration `toml:"length"`
	Gateways int             `toml:"gateways"`
	Skew     float64         `toml:"skew,omitzero"`
	Balancer balancerTable   `toml:"module"`
	Hosts    []hostTable     `toml:"hosts"`
	Classes  []classTable    `toml:"class"`
	Clients  clientsTable    `toml:"clients"`
	Network  networkTable    `toml:"net"`
	Lists    listsTable      `toml:"lists"`
	Bursts   []burstTable    `toml:"burst,omitempty"`
	Faults   []faultTable    `toml:"trouble,omitempty"`
	Expected expectedTable   `toml:"expect"`
}

type balancerTable struct {
	MaxAttempts     int             `toml:"attempts,omitzero"`
	MaxRetryAfter   config.Duration `toml:"retry_after,omitzero"`
	SlowStartShare  float64         `toml:"cold_from,omitzero"`
	SlowStartWindow config.Duration `toml:"warm_after,omitzero"`
	OverloadFactor  float64         `toml:"overload,omitzero"`
	OverloadWindow  config.Duration `toml:"fall,omitzero"`
}

type hostTable struct {
	Count              int             `toml:"count"`
	Cores              int             `toml:"cores"`
	Speed              float64         `toml:"speed,omitzero"`
	MaxConcurrent      int             `toml:"slots,omitzero"`
	MaxQueued          int             `toml:"queue,omitzero"`
	MaxConnections     int             `toml:"conns,omitzero"`
	Zone               int             `toml:"zone,omitzero"`
	CongestionStart    float64         `toml:"crowd_at,omitzero"`
	CongestionEnd      float64         `toml:"crowd_end,omitzero"`
	CongestionSlowdown float64         `toml:"slower,omitzero"`
	CongestionDelay    config.Duration `toml:"crowd_after,omitzero"`
	CellSize           int             `toml:"cell,omitzero"`
}

type classTable struct {
	Name             string          `toml:"name"`
	Idempotency      string          `toml:"effect"`
	DedupScope       string          `toml:"group,omitempty"`
	DedupWindow      config.Duration `toml:"window,omitzero"`
	Rate             float64         `toml:"rate"`
	MeanWork         config.Duration `toml:"work"`
	Distribution     string          `toml:"dist,omitempty"`
	CV               float64         `toml:"cv,omitzero"`
	LatencyObjective config.Duration `toml:"aim,omitzero"`
	Deadline         config.Duration `toml:"deadline,omitzero"`
	PriorityWeight   float64         `toml:"worth,omitzero"`
}

type clientsTable struct {
	MaxRetries       int             `toml:"retries,omitzero"`
	Backoff          config.Duration `toml:"backoff,omitzero"`
	Jitter           float64         `toml:"jitter,omitzero"`
	HonorRetryAfter  float64         `toml:"honour,omitzero"`
	FailoverDelay    config.Duration `toml:"notice,omitzero"`
	DisconnectEarly  float64         `toml:"early,omitzero"`
	RetryImmediately float64         `toml:"hasty,omitzero"`
}

type networkTable struct {
	Delay          config.Duration `toml:"delay,omitzero"`
	DelaySpread    float64         `toml:"spread,omitzero"`
	HandshakeWork  config.Duration `toml:"handshake,omitzero"`
	ConnectTimeout config.Duration `toml:"connect,omitzero"`
}

type listsTable struct {
	UpdateDelay  config.Duration `toml:"delay,omitzero"`
	FailureDelay config.Duration `toml:"silent,omitzero"`
	Spread       config.Duration `toml:"spread,omitzero"`
	PollTime     config.Duration `toml:"call,omitzero"`
}

type burstTable struct {
	At       config.Duration `toml:"at"`
	Duration config.Duration `toml:"for"`
	Factor   float64         `toml:"times"`
	Class    string          `toml:"class,omitempty"`
}

type faultTable struct {
	Kind     string          `toml:"kind"`
	At       config.Duration `toml:"at"`
	Duration config.Duration `toml:"for"`
	Share    float64         `toml:"part"`
	Severity float64         `toml:"size,omitzero"`
	Steps    int             `toml:"steps,omitzero"`
}

type expectedTable struct {
	InTimeShare         float64         `toml:"in_time,omitzero"`
	EndFrom             config.Duration `toml:"end_from,omitzero"`
	EndInTimeShare      float64         `toml:"end_in_time,omitzero"`
	WeightedInTimeShare float64         `toml:"worth,omitzero"`
	ClassInTimeShare    float64         `toml:"class,omitzero"`
	Budget
}

// Values of the keys "effect" and "group", indexed by balancer.Idempotency and balancer.DedupScope.
var (
	idempotencyNames = []string{"safe", "keyed", "unsafe"}
	dedupScopeNames  = []string{"all", "zone", "cell"}
)
