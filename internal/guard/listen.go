package guard

import (
	"net"
	"time"
)

// listener accepts a bounded number of connections.
type listener struct {
	net.Listener
	gu    *Guard
	slots chan struct{}
}

// acceptRetry is the pause between two attempts to make room for a connection when
// none gives way.
const acceptRetry = 20 * time.Millisecond

// Listen returns a listener whose connections the Guard bounds. At most limit of them
// are open at a time. Of each of several listeners, connections give way only to others
// of the same one.
func (gu *Guard) Listen(ln net.Listener, limit int) net.Listener {
	return &listener{Listener: ln, gu: gu, slots: make(chan struct{}, limit)}
}

// Accept implements net.Listener.
func (ls *listener) Accept() (net.Conn, error) {
	cn, err := ls.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		select {
		case ls.slots <- struct{}{}:
			return ls.add(cn), nil
		default:
		}
		ls.gu.freeConnection(ls)
		select {
		case ls.slots <- struct{}{}:
			return ls.add(cn), nil
		case <-time.After(acceptRetry):
		}
	}
}

func (ls *listener) add(cn net.Conn) net.Conn {
	co := &conn{Conn: cn, gu: ls.gu, ls: ls, began: time.Now(), progress: incomplete}
	co.beginHead()
	ls.gu.mu.Lock()
	defer ls.gu.mu.Unlock()
	ls.gu.conns[co] = true
	return co
}

// Close implements net.Conn.
func (co *conn) Close() error {
	err := co.Conn.Close()
	co.once.Do(func() {
		co.gu.mu.Lock()
		delete(co.gu.conns, co)
		co.gu.mu.Unlock()
		co.freeHead()
		<-co.ls.slots
	})
	return err
}
