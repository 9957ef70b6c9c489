package procs_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadawharf/cicadawharf/internal/fakes/epsim"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
)

const keyRounds = 10

// codeOf returns the code of a response or of an error.
func codeOf(an client.CallAnswer, err error) codes.Code {
	if err != nil {
		return codes.Of(err).Code
	}
	return an.Code
}

// TestIdempotencyKeyAcrossHosts checks that of simultaneous requests with the same
// idempotency key, one at each host, exactly one runs.
func TestIdempotencyKeyAcrossHosts(t *testing.T) {
	is := is.New(t)
	sy := start(t)
	for i := range keyRounds {
		path := fmt.Sprintf("/keys/%d", i)
		op := client.CallOptions{Key: fmt.Sprintf("key-%d", i)}
		var sent []<-chan result[client.CallAnswer]
		for _, eh := range sy.hosts {
			sent = append(sent, background(func() (client.CallAnswer, error) { return eh.call(path, op) }))
		}
		counts := map[codes.Code]int{}
		for _, done := range sent {
			counts[codeOf(receive(t, path, done))]++
		}
		is.Equal(counts, map[codes.Code]int{codes.RequestDone: 1, codes.DuplicateKey: len(sy.hosts) - 1})
		is.Equal(sy.runsOfPath(t, path), 1)
	}
	checkKeyOfKilledHost(t, sy)
}

// checkKeyOfKilledHost checks that every other host rejects the idempotency key
// of a request whose host was killed.
func checkKeyOfKilledHost(t *testing.T, sy *system) {
	t.Helper()
	is := is.New(t)
	const path = "/killed"
	op := client.CallOptions{Key: "killed", Header: map[string][]string{epsim.HeaderDelay: {slowDelay.String()}}}
	killed := sy.hosts[0]
	sent := background(func() (client.CallAnswer, error) { return killed.call(path, op) })
	eventually(t, "the request runs", func() error {
		if count := sy.runsOfPath(t, path); count != 1 {
			return fmt.Errorf("%d runs", count)
		}
		return nil
	})
	killed.kill()
	is.Equal(codeOf(receive(t, path, sent)), codes.OutcomeUnknown)
	for range 2 { // while the request runs, and afterwards
		for _, eh := range sy.running() {
			is.Equal(codeOf(eh.call(path, op)), codes.DuplicateKey)
		}
		time.Sleep(slowDelay)
	}
	is.Equal(sy.runsOfPath(t, path), 1)
}
