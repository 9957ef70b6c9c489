// Package setup reads the settings of a process from a YAML file. Unknown and
// doubled keys are refused, and every field is checked before anything starts.
package setup

import "time"

// Settings is what one entry host is told about itself and its surroundings.
type Settings struct {
	Host   Host     `yaml:"host"`
	Seeds  []string `yaml:"seeds"` // peer addresses of other entry hosts, of any zone
	Store  Store    `yaml:"store"`
	Log    Log      `yaml:"log"`
	Limits Limits   `yaml:"limits"`
	Stop   Stop     `yaml:"stop"`
}

// Host says who and where the process is.
type Host struct {
	Name        string `yaml:"name"`
	Zone        string `yaml:"zone"`
	Region      string `yaml:"region"`
	HTTPAddress string `yaml:"httpAddress"` // IP:port for callers, operators and the balancer
	PeerAddress string `yaml:"peerAddress"` // IP:port for other entry hosts
}

// Store says how to reach the platform's key-value service.
type Store struct {
	Addresses []string      `yaml:"addresses"` // IP:port, any of which will do
	Timeout   time.Duration `yaml:"timeout"`   // of one call
}

// Log says what is written to standard error.
type Log struct {
	Level string `yaml:"level"` // debug, info, warn or error
}

// Limits bounds what callers may ask of this host.
type Limits struct {
	Requests    int           `yaml:"requests"`    // in progress and queued
	HeaderBytes int           `yaml:"headerBytes"` // of one request
	BodyBytes   int64         `yaml:"bodyBytes"`   // of one request, whatever its service permits
	ReadTimeout time.Duration `yaml:"readTimeout"` // for a request's body to arrive
	QueueTime   time.Duration `yaml:"queueTime"`   // in the queue for a slot
}

// Stop bounds a graceful shutdown.
type Stop struct {
	Delay time.Duration `yaml:"delay"` // between turning unready and refusing new work
	Bound time.Duration `yaml:"bound"` // for requests in progress to finish
}
