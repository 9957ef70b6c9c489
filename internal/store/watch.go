package store

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cicadawharf/cicadawharf/internal/store/kvapi"
)

// Watch implements Store. A stream of this client can stall without ending, so
// its callers must also poll. The error is ErrCompacted if changes after the
// revision are no longer available.
func (cl *Client) Watch(ctx context.Context, prefix string, after Revision, fn func(Entry) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	openTimer := time.AfterFunc(cl.timeout, cancel)
	defer openTimer.Stop()
	req := kvapi.WatchRequest{Create: kvapi.WatchCreate{
		Key: []byte(prefix), RangeEnd: kvapi.PrefixEnd(prefix), StartRevision: int64(after) + 1,
	}}
	res, err := cl.send(ctx, kindWatch, kvapi.PathWatch, req)
	if err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		data, _ := io.ReadAll(io.LimitReader(res.Body, maxHeaderBytes))
		drain(res.Body)
		return kindWatch.recordFailure(classify(kindWatch, res.StatusCode, decodeError(data)))
	}
	defer res.Body.Close()
	dec := json.NewDecoder(res.Body)
	for {
		var fr kvapi.Frame[kvapi.WatchResponse]
		if err := dec.Decode(&fr); err != nil {
			return kindWatch.recordFailure(wrap(ErrUnavailable, kindWatch, err))
		}
		openTimer.Stop()
		if err := deliver(fr, fn); err != nil {
			return err
		}
	}
}

// deliver calls fn for each change in a message of the stream. The error is that
// of fn or of the message.
func deliver(fr kvapi.Frame[kvapi.WatchResponse], fn func(Entry) error) error {
	if fr.Error != nil {
		return kindWatch.recordFailure(classify(kindWatch, http.StatusInternalServerError, *fr.Error))
	}
	if fr.Result.CompactRevision > 0 {
		return kindWatch.recordFailure(wrap(ErrCompacted, kindWatch, nil))
	}
	if fr.Result.Canceled {
		return kindWatch.recordFailure(wrap(ErrUnavailable, kindWatch, errors.New("watch was cancelled by the service")))
	}
	for _, ev := range fr.Result.Events {
		ent := toEntry(ev.KV)
		if ev.Type == kvapi.EventDelete {
			ent.Value = nil
		}
		if err := fn(ent); err != nil {
			return err
		}
	}
	return nil
}
