package remote

import (
	"fmt"

	"github.com/VictoriaMetrics/metrics"

	"github.com/cicadawharf/cicadawharf/internal/intake"
)

// role is a host's role in a forwarded call.
type role string

// The roles.
const (
	forwarder role = "forwarder"
	receiver  role = "receiver"
)

// countCall counts one attempt to forward a call (forwarder), or one forwarded
// call that this host has served or refused (receiver).
func countCall(ro role, cause intake.Cause, oc outcome) {
	metrics.GetOrCreateCounter(fmt.Sprintf("cicadawharf_remote_calls_total{role=%q,cause=%q,outcome=%q}", ro, cause, oc)).Inc()
}
