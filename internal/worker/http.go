package worker

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/ansel1/merry/v2"
)

type (
	// HTTPConfig configures an HTTPClient.
	HTTPConfig struct {
		Timeout time.Duration // of one call, in addition to the Wait of its request; 2 s if not positive
		Log     *slog.Logger  // gets calls that failed; nothing is logged if it is nil
	}

	// HTTPClient is a Client that uses HTTP.
	//
	// The transport may repeat a request whose reused connection failed before
	// any byte of a response was received. That is harmless because every
	// command is idempotent. A call that times out closes its connection, so
	// that an unresponsive connection is used at most once.
	HTTPClient struct {
		timeout   time.Duration
		log       *slog.Logger
		transport *http.Transport
		client    *http.Client
	}
)

// TasksPath is the URL path of calls to a worker.
const TasksPath = "/v1/tasks"

// ConnectionsPerWorker bounds the connections to one worker: one for the long
// poll, and others for commands.
const ConnectionsPerWorker = 4

const (
	defaultTimeout = 2 * time.Second
	idleTimeout    = 90 * time.Second // of an unused connection
	idlePerHost    = 2                // unused connections kept open to each worker
	maxReplyBytes  = 8 << 20
	maxDetailBytes = 512 // part of an error's response body that the error quotes
)

// NewHTTPClient returns a client with its own connection pool.
func NewHTTPClient(cfg HTTPConfig) *HTTPClient {
	if cfg.Timeout <= 0 {
		cfg.Timeout = defaultTimeout
	}
	if cfg.Log == nil {
		cfg.Log = slog.New(slog.DiscardHandler)
	}
	tr := &http.Transport{
		DialContext:         (&net.Dialer{Timeout: cfg.Timeout}).DialContext,
		MaxConnsPerHost:     ConnectionsPerWorker,
		MaxIdleConnsPerHost: idlePerHost,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}
	cl := &http.Client{
		Transport: tr,
		CheckRedirect: func(*http.Request, []*http.Request) error {
			return http.ErrUseLastResponse
		},
	}
	return &HTTPClient{timeout: cfg.Timeout, log: cfg.Log, transport: tr, client: cl}
}

// Close closes idle connections.
func (hc *HTTPClient) Close() { hc.transport.CloseIdleConnections() }

// Call implements Client.
func (hc *HTTPClient) Call(ctx context.Context, address string, req Request) (Reply, error) {
	body, err := json.Marshal(req)
	if err != nil {
		return Reply{}, merry.Wrap(fmt.Errorf("%w: %w", ErrRefused, err))
	}
	ctx, cancel := context.WithTimeout(ctx, hc.timeout+max(req.Wait, 0))
	defer cancel()
	reply, err := hc.post(ctx, address, body)
	if err != nil {
		hc.log.Debug("worker call failed", "address", address, "epoch", req.Epoch,
			"commands", len(req.Commands), "error", err)
		return reply, merry.Prependf(err, "worker %s", address)
	}
	return reply, nil
}

// post sends a call and returns its reply. Without a connection the error is a
// NotSentError.
func (hc *HTTPClient) post(ctx context.Context, address string, body []byte) (Reply, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	hr, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+TasksPath, bytes.NewReader(body))
	if err != nil {
		return Reply{}, &NotSentError{Address: address, Err: err}
	}
	hr.Header.Set("Content-Type", "application/json")
	hr.Header.Set("User-Agent", "") // omitted, as renewals are most of a scheduler's traffic
	resp, err := hc.client.Do(hr)
	if err != nil {
		if connected.Load() {
			return Reply{}, err
		}
		return Reply{}, &NotSentError{Address: address, Err: err}
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxReplyBytes+1))
	if err != nil {
		return Reply{}, merry.Prepend(err, "reading the reply")
	}
	return decodeReply(resp.StatusCode, content)
}

// decodeReply decodes a response. A reply with ErrStaleEpoch has no lease table.
func decodeReply(status int, content []byte) (Reply, error) {
	switch status {
	case http.StatusOK, http.StatusConflict:
	case http.StatusBadRequest:
		return Reply{}, fmt.Errorf("%w: %s", ErrRefused, detail(content))
	default:
		return Reply{}, merry.Errorf("status %d: %s", status, detail(content))
	}
	if len(content) > maxReplyBytes {
		return Reply{}, merry.Errorf("reply exceeds %d bytes", maxReplyBytes)
	}
	var reply Reply
	if err := json.Unmarshal(content, &reply); err != nil {
		return Reply{}, merry.Prependf(err, "reply of status %d", status)
	}
	if status == http.StatusConflict {
		return Reply{Worker: reply.Worker, Incarnation: reply.Incarnation, Epoch: reply.Epoch}, ErrStaleEpoch
	}
	return reply, nil
}

// detail returns the beginning of a response body, to be quoted in an error.
func detail(content []byte) string {
	return string(bytes.TrimSpace(content[:min(len(content), maxDetailBytes)]))
}
