package guard

import "slices"

// room counts the bytes that requests may take up. Those that wait get theirs in the
// order of their claims. It is guarded by Guard.mu.
type room struct {
	free   int64
	claims []*claim // waiting, oldest first
}

// claim asks for room for a number of bytes of a request.
type claim struct {
	holder  holder // nil if no connection holds the bytes
	bytes   int64
	granted chan struct{} // closed when the bytes are reserved
}

// holder counts the bytes that a part of a request holds. The caller of addHeld holds
// Guard.mu.
type holder interface{ addHeld(bytes int64) }

// add adds a claim, which may be granted at once.
func (ro *room) add(cl *claim) {
	ro.claims = append(ro.claims, cl)
	ro.grant()
}

// remove ends the wait of a claim, and reports whether it was still waiting.
func (ro *room) remove(cl *claim) bool {
	at := slices.Index(ro.claims, cl)
	if at < 0 {
		return false
	}
	ro.claims = slices.Delete(ro.claims, at, at+1)
	ro.grant()
	return true
}

// release frees a number of bytes.
func (ro *room) release(bytes int64) {
	ro.free += bytes
	ro.grant()
}

// grant reserves room for the claims that come next, as far as it is free. What a
// connection holds grows in the same step, so that no room is held by nobody.
func (ro *room) grant() {
	for len(ro.claims) > 0 && ro.claims[0].bytes <= ro.free {
		cl := ro.claims[0]
		ro.claims = slices.Delete(ro.claims, 0, 1)
		ro.free -= cl.bytes
		if cl.holder != nil {
			cl.holder.addHeld(cl.bytes)
		}
		close(cl.granted)
	}
}
