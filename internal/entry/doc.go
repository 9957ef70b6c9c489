// Package entry is the HTTP interface of an entry host: it forwards the
// requests of callers to the endpoints of services, takes jobs, and answers
// operators and the balancer. docs/API.md describes the interface.
//
// The life of a request is: check, read the whole body, admit (package admit),
// claim its idempotency key if it may not be repeated, choose an endpoint
// (package route), forward (package relay), account. A request holds a slot
// only from its admission to the end of the endpoint's answer, so that no slow
// sender holds one.
//
// Invariants: every request ends in exactly one code and one entry of the
// account; a code of class NotRun is only given when no endpoint can have run
// the request; a request that may not be repeated is sent on again only after
// an attempt that provably did not run; an answer that ends early breaks the
// connection to the caller.
package entry
