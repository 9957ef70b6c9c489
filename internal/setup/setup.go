// Package setup reads the settings of a process from a YAML file. Unknown and
// duplicate keys are rejected, and all fields are validated at startup.
package setup

import "time"

// Settings holds the settings of an entry host.
type Settings struct {
	Host   Host     `yaml:"host"`
	Seeds  []string `yaml:"seeds"` // peer addresses of other entry hosts, of any zone
	Store  Store    `yaml:"store"`
	Log    Log      `yaml:"log"`
	Limits Limits   `yaml:"limits"`
	Stop   Stop     `yaml:"stop"`

	MemoryMiB int `yaml:"memoryMegabytes"` // memory limit of the process, MiB; zero for no limit
}

// Host identifies an entry host, its location and its addresses.
type Host struct {
	Name        string `yaml:"name"`
	Zone        string `yaml:"zone"`
	Region      string `yaml:"region"`
	HTTPAddress string `yaml:"httpAddress"` // IP:port for callers, operators and the load balancer
	PeerAddress string `yaml:"peerAddress"` // IP:port for other entry hosts
}

// Store configures the client of the platform's key-value store.
type Store struct {
	Addresses []string      `yaml:"addresses"` // IP:port of interchangeable servers
	Timeout   time.Duration `yaml:"timeout"`   // of one call
}

// Log configures the log, which is written to standard error by an entry host
// and to standard output by a host of a scheduling domain.
type Log struct {
	Level string `yaml:"level"` // debug, info, warn or error
}

// Limits holds the admission limits of this host.
type Limits struct {
	Requests    int           `yaml:"requests"`    // maximum number in progress and queued
	Connections int           `yaml:"connections"` // of callers; zero for as many as memoryMegabytes has room for
	HeaderBytes int           `yaml:"headerBytes"` // of one request
	BodyBytes   int64         `yaml:"bodyBytes"`   // of one request, even if its service permits more
	ReadTimeout time.Duration `yaml:"readTimeout"` // for receiving a request body
	QueueTime   time.Duration `yaml:"queueTime"`   // maximum wait in the queue for a slot
}

// Stop configures the graceful shutdown.
type Stop struct {
	Delay   time.Duration `yaml:"delay"` // between becoming unready and rejecting new work
	Timeout time.Duration `yaml:"bound"` // timeout for requests in progress to finish
}
