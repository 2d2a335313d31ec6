package upstream

// Process is the process that a connection to a host leads to. Two that are equal may be the same one: a host that has
// moved or restarted has another. No request is written to a connection whose process is not its host's any more.
//
// Package http1 compares Processes. Package fastcgi compares how many its host has had before (host.generation), as its
// connections and its host's values must not be used again when an endpoint list returns to an earlier Process.
type Process struct {
	Addr    string // host:port or, for FastCGI, also "unix:" and a path
	Started int64  // when it has started, as the endpoint list says; only compared
}
