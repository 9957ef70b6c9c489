package setup_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/setup"
)

const domainFile = `host:
  name: host-1
  peerAddress: 10.0.0.1:82
  zone: zone-1
  region: region-1
  callersAddress: 10.0.0.1:80
  readinessAddress: 10.0.0.1:81
store:
  address: 10.0.0.2:90
`

// TestParseDomain guards against an invalid setting that is accepted and against a
// CPU quota other than the share of the cores.
func TestParseDomain(t *testing.T) {
	tests := []struct {
		name  string
		extra string
		cores float64
		fault string
	}{
		{name: "defaults", cores: 1},
		{name: "share", extra: "processor: {share: 0.4, cores: 2}\n", cores: 0.8},
		{name: "whole share", extra: "processor: {share: 1}\n", cores: 1},
		{name: "zero share", extra: "processor: {share: 0}\n", fault: "share must be above 0"},
		{name: "share is text", extra: "processor: {share: half}\n", fault: "must be a number"},
		{name: "zero cores", extra: "processor: {cores: 0}\n", fault: "cores must be between"},
		{name: "negative memory", extra: "memoryMegabytes: -1\n", fault: "memoryMegabytes must be between"},
		{name: "unknown key", extra: "speed: 1\n", fault: "speed"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			do, err := setup.ParseDomain("settings", []byte(domainFile+tt.extra))
			if tt.fault != "" {
				is.True(err != nil)
				is.True(strings.Contains(err.Error(), tt.fault))
				return
			}
			is.NoErr(err)
			is.Equal(do.Processor.AvailableCores(), tt.cores)
		})
	}
}

// TestMalformedPeerAddressIsRejected guards against a host that starts with a
// malformed peer address, at which no other host could reach it.
func TestMalformedPeerAddressIsRejected(t *testing.T) {
	is := is.New(t)
	do, err := setup.ParseDomain("settings", []byte(domainFile))
	is.NoErr(err)
	is.Equal(do.Host.PeerAddress, "10.0.0.1:82")
	_, err = setup.ParseDomain("settings", []byte(strings.ReplaceAll(domainFile, "10.0.0.1:82", "here")))
	is.True(err != nil)
	is.True(strings.Contains(err.Error(), `"here"`))
}
