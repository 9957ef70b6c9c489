package entry

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/guard"
	"github.com/cicadawharf/cicadawharf/internal/jobs"
	"github.com/cicadawharf/cicadawharf/internal/peers"
	"github.com/cicadawharf/cicadawharf/internal/plat"
	"github.com/cicadawharf/cicadawharf/internal/report"
	"github.com/cicadawharf/cicadawharf/internal/setup"
	"github.com/cicadawharf/cicadawharf/pkg/client"
	"github.com/cicadawharf/cicadawharf/pkg/codes"
	"github.com/cicadawharf/cicadawharf/pkg/spec"
)

// Config is the configuration of a Server. ForwardListener, Endpoints,
// PeerDraining, Members, ForwardDial, Claims, Account and Log may be nil.
type Config struct {
	Host   string // name of this entry host
	Zone   string
	Region string

	Listener        net.Listener // for callers, operators and the load balancer
	ForwardListener net.Listener // for requests forwarded by entry hosts of other zones

	Limits setup.Limits
	Stop   setup.Stop
	Guard  *guard.Guard // bounds what clients make the host hold; nil for NewGuard without a memory limit

	// Declarations returns the declarations in force and their revision, or nil
	// if there are none yet. It is called for every request.
	Declarations func() (*spec.Declarations, int64)
	// Endpoints returns the platform's list of endpoints in the local zone.
	Endpoints func() []plat.Host
	// PeerDraining returns the names of the endpoints that have told other hosts
	// of the zone that they are shutting down.
	PeerDraining func() []string
	// Members returns the entry hosts of all zones. It may include this host.
	Members func(now time.Time) []peers.Member
	// ForwardDial opens a connection to the ForwardListener of another host.
	ForwardDial func(ctx context.Context, host string) (net.Conn, error)

	Jobs        jobs.Scheduler
	Claims      Claims
	Account     report.Recorder
	OperatorAPI OperatorAPI
	Log         *slog.Logger
	Seed        uint64 // of all random choices
}

// NewGuard returns the guard of an entry host with the given memory limit in bytes,
// zero if there is none.
func NewGuard(memoryLimit int64, li setup.Limits, log *slog.Logger) *guard.Guard {
	return guard.New(guard.Config{MemoryLimit: memoryLimit, BodyTime: li.ReadTimeout, RoomTime: li.QueueTime, Log: log})
}

// Claim is the use of an idempotency key by one request.
type Claim struct {
	Workspace string
	Key       string
	Digest    string     // of service, method, target and body, in hex
	Request   string     // ID of the request that holds the claim
	Code      codes.Code // outcome of that request; zero while it is unknown
}

// Claims stores the claims of idempotency keys for all entry hosts.
type Claims interface {
	// Acquire records a claim, or returns the existing one. A claim whose
	// outcome is a code of class NotRun may be replaced. If there is an error,
	// the claim must not be relied on.
	Acquire(ctx context.Context, cl Claim) (prior *Claim, err error)
	// SetOutcome records the outcome of the request that holds the claim.
	SetOutcome(ctx context.Context, cl Claim) error
}

// ApplyRequest is a request to replace the declarations.
type ApplyRequest struct {
	Content  []byte // YAML
	Operator string
	Expect   int64         // revision that must be in force, or AnyRevision
	Wait     time.Duration // maximum wait until all hosts report the new revision
}

// ZoneLister is implemented by a jobs.Scheduler that queries several zones and
// reports those that were unreachable.
type ZoneLister interface {
	ListAcrossZones(ctx context.Context, fi jobs.Filter) (rcs []jobs.Record, unreachable []string, err error)
}

// OperatorAPI carries out the requests of operators. Errors are *codes.Error.
type OperatorAPI interface {
	// Apply replaces the declarations. Its result is also valid if there is an
	// error; it then contains, for example, the faults of the declarations.
	Apply(ctx context.Context, req ApplyRequest) (client.Applied, error)
	// Check validates declarations like Apply, but does not apply them.
	Check(ctx context.Context, content []byte) (client.Applied, error)
	// Declarations returns the declarations in force, as the YAML that was
	// applied, and their revision.
	Declarations(ctx context.Context) (content []byte, revision int64, err error)
	// Status returns the state of the installation.
	Status(ctx context.Context) (client.Status, error)
	// Report returns the report of a day in the form YYYY-MM-DD, or of the
	// current day if day is empty. The value is written as JSON, or as text if
	// it is a fmt.Stringer and the operator accepts text.
	Report(ctx context.Context, day string) (any, error)
}

// AnyRevision as ApplyRequest.Expect replaces any revision.
const AnyRevision = client.AnyRevision
