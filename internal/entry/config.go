package entry

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Config says what a Server is built of. Claims, SpillDial, SpillListener and
// PeerLeaving may be nil.
type Config struct {
	Host   string // name of this entry host
	Zone   string
	Region string

	Listener      net.Listener // for callers, operators and the balancer
	SpillListener net.Listener // for requests of other zones' entry hosts

	Limits setup.Limits
	Stop   setup.Stop

	// Declarations returns the declarations in force and their revision, nil
	// while there are none. It is called for every request.
	Declarations func() (*spec.Declarations, int64)
	// Endpoints returns the platform's list of endpoints in the own zone.
	Endpoints func() []plat.Host
	// PeerLeaving returns the endpoints of which other hosts of the zone have
	// heard that they are leaving.
	PeerLeaving func() []string
	// Members returns the entry hosts of every zone, this one included or not.
	Members func(now time.Time) []peers.Member
	// SpillDial opens a connection to the SpillListener of another host.
	SpillDial func(ctx context.Context, host string) (net.Conn, error)

	Jobs      jobs.Service
	Claims    Claims
	Account   report.Recorder
	Operators Operators
	Log       *slog.Logger
	Seed      uint64
}

// Claim is the use of an idempotency key by one request.
type Claim struct {
	Workspace string
	Key       string
	Digest    string     // of service, method, path and body
	Request   string     // identifier of the request that holds the claim
	Code      codes.Code // how that request ended; zero while that is not known
}

// Claims keeps the claims of idempotency keys over all entry hosts.
type Claims interface {
	// Take records a claim, or returns the one that stands. A claim that was
	// settled with a code of class NotRun does not stand in the way. An error
	// means that the claim can't be relied upon.
	Take(ctx context.Context, cl Claim) (prior *Claim, err error)
	// Settle records how the request that holds the claim ended.
	Settle(ctx context.Context, cl Claim) error
}

// ApplyRequest asks for the replacement of the declarations.
type ApplyRequest struct {
	Content  []byte // YAML
	Operator string
	Expect   int64         // revision that must be in force, or AnyRevision
	Wait     time.Duration // for hosts to report the new revision
}

// ZoneLister is implemented by a jobs.Service that asks several zones and can
// name those that it could not ask.
type ZoneLister interface {
	ListZones(ctx context.Context, fi jobs.Filter) (rcs []jobs.Record, unreachable []string, err error)
}

// Operators is what operators ask of the system. Errors are *codes.Error.
type Operators interface {
	// Apply returns with an error also what is known, such as faults.
	Apply(ctx context.Context, req ApplyRequest) (client.Applied, error)
	// Check examines declarations as Apply does, without any effect.
	Check(ctx context.Context, content []byte) (client.Applied, error)
	// Declarations returns the content in force as it was applied.
	Declarations(ctx context.Context) (content []byte, revision int64, err error)
	Status(ctx context.Context) (client.Status, error)
	// Report returns the report of a day, YYYY-MM-DD, or of the running day
	// if it is empty, as a value to be written as JSON, or as text if it is a
	// fmt.Stringer and text is asked for.
	Report(ctx context.Context, day string) (any, error)
}

// AnyRevision as ApplyRequest.Expect applies over whatever is in force.
const AnyRevision = client.AnyRevision
