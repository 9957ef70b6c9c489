package guard

import "context"

// MaxDecode returns the number of bytes that decoding one request may take up.
func (gu *Guard) MaxDecode() int64 { return gu.decodeSize }

// Decode reserves room for what decoding a request takes up beside the request, at most
// MaxDecode bytes, until release is called. It returns ErrNoRoom if there is no room
// within Config.RoomTime or before ctx ends.
func (gu *Guard) Decode(ctx context.Context, bytes int64) (release func(), err error) {
	ctx, cancel := gu.withRoomTime(ctx)
	defer cancel()
	if bytes > gu.decodeSize || gu.decoding.Acquire(ctx, bytes) != nil {
		return nil, ErrNoRoom
	}
	return func() { gu.decoding.Release(bytes) }, nil
}
