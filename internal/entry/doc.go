// Package entry implements the HTTP interface of an entry host. It sends the
// requests of callers to the endpoints of services, accepts jobs, and serves
// operators and the load balancer. docs/API.md describes the interface.
//
// A request passes through these stages: validation, reading the whole body,
// admission (package admit), claiming the idempotency key if the request is not
// repeatable, choice of an endpoint (package route), sending (package relay) and
// accounting. If no endpoint of the local zone is usable, the request is
// forwarded to an entry host of another zone, as far as the spill rule of the
// service permits it. A request holds a slot only from its admission to the end
// of the endpoint's response, so that slow senders don't occupy slots.
//
// Invariants: every request ends with exactly one code and is accounted for
// once; a code of class NotRun means that no endpoint can have run the request;
// a request that is not repeatable is retried only after an attempt that
// provably did not run; if a response can't be completed, the connection to the
// caller is aborted.
package entry
