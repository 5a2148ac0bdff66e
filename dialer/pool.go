package dialer

import (
	"context"
	"time"

	"goldcreststack.example/goldcreststack/classifier"
	"goldcreststack.example/goldcreststack/modeler"
)

type poolKey struct {
	worker     modeler.WorkerID
	generation modeler.Generation
}

// pool holds the connections to one start of a worker; Dialer.mu guards it.
type pool struct {
	key     poolKey
	open    int
	idle    []*conn // the last one was released last
	waiters []chan struct{}
	// isSuspect says that the worker has sent bytes that no request asked for.
	// Such bytes could be taken for the answer to a later request, so
	// connections to this worker are no longer reused.
	isSuspect bool
	isRetired bool
}

// usableIdleTime returns how long an idle connection may be reused: three
// quarters of the worker's idle timeout. The margin covers network latency and
// drift between the clocks.
func usableIdleTime(a *Attempt) time.Duration {
	idle := a.IdleTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	return idle - idle/4
}

// acquireConn returns an idle or new connection on which no answer is
// outstanding.
func (d *Dialer) acquireConn(ctx context.Context, a *Attempt) (*conn, error) {
	ctx, cancel := context.WithTimeout(ctx, d.settings.ConnectTimeout)
	defer cancel()
	for {
		if err := ctx.Err(); err != nil {
			d.passOnWakeup(a)
			return nil, classifier.Wrap(classifier.ConnectFailed, err, "ended before the request was sent")
		}
		c, dial, wait := d.takeIdleOrReserve(a)
		switch {
		case c != nil:
			if d.checkReusable(c) {
				return c, nil
			}
		case dial != nil:
			return d.dial(ctx, a, dial)
		default:
			if err := d.waitForConn(ctx, a, wait); err != nil {
				return nil, err
			}
		}
	}
}

// takeIdleOrReserve returns an idle connection, or the pool in which it has
// reserved a place for a new one, or the channel that is notified when a place
// may be free.
func (d *Dialer) takeIdleOrReserve(a *Attempt) (*conn, *pool, chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(a)
	if c := p.takeIdle(a); c != nil {
		return c, nil, nil
	}
	if p.open >= max(a.MaxConnections, 1) && len(p.idle) > 0 {
		oldest := p.idle[0]
		p.idle = p.idle[1:]
		p.open--
		oldest.expiryTimer.Stop()
		oldest.raw.Close()
	}
	if p.open < max(a.MaxConnections, 1) {
		p.open++
		return nil, p, nil
	}
	wait := make(chan struct{}, 1)
	p.waiters = append(p.waiters, wait)
	return nil, nil, wait
}

func (d *Dialer) pool(a *Attempt) *pool {
	key := poolKey{a.Worker, a.Generation}
	p := d.pools[key]
	if p == nil {
		p = &pool{key: key}
		d.pools[key] = p
	}
	return p
}

// takeIdle removes and returns the idle connection that was released last,
// unless it has been idle for too long for the attempt; then all others have
// been, too.
func (p *pool) takeIdle(a *Attempt) *conn {
	if p.isSuspect || len(p.idle) == 0 {
		return nil
	}
	limit := usableIdleTime(a)
	if a.AtMostOnce {
		limit = min(limit, maxAtMostOnceIdle)
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	if time.Since(c.idleSince) >= limit {
		return nil
	}
	p.idle = p.idle[:last]
	c.expiryTimer.Stop()
	return c
}

// checkReusable reports whether an idle connection can be reused. If the worker
// has closed it or sent bytes on it, checkReusable discards it.
func (d *Dialer) checkReusable(c *conn) bool {
	switch c.checkIdle() {
	case noData:
		return true
	case unsolicitedData:
		d.discard(c, true)
	default:
		d.discard(c, false)
	}
	return false
}

func (d *Dialer) dial(ctx context.Context, a *Attempt, p *pool) (*conn, error) {
	raw, err := d.settings.Dial(ctx, a.Address)
	if err != nil {
		d.releasePlace(p)
		return nil, classifier.Wrap(classifier.ConnectFailed, err, "connect to "+a.Address)
	}
	return newConn(raw, p, d.settings.ProgressTimeout), nil
}

func (d *Dialer) waitForConn(ctx context.Context, a *Attempt, wait chan struct{}) error {
	select {
	case <-wait:
		return nil
	case <-ctx.Done():
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.pool(a)
	for i, other := range p.waiters {
		if other == wait {
			p.waiters = append(p.waiters[:i], p.waiters[i+1:]...)
			break
		}
	}
	select {
	case <-wait:
		p.wakeNext()
	default:
	}
	d.removeIfEmpty(p)
	return classifier.New(classifier.ConnectFailed, "all %d connections to %s are in use", a.MaxConnections, a.Worker)
}

// passOnWakeup wakes the next waiter, since this attempt may have used up a
// wake-up and now ends without a connection.
func (d *Dialer) passOnWakeup(a *Attempt) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if p := d.pools[poolKey{a.Worker, a.Generation}]; p != nil {
		p.wakeNext()
	}
}

// wakeNext wakes the attempt that has waited longest, which then looks for a
// connection or place again.
func (p *pool) wakeNext() {
	if len(p.waiters) == 0 {
		return
	}
	p.waiters[0] <- struct{}{}
	p.waiters = p.waiters[1:]
}

// release makes a connection idle; ended is when its last answer ended. The
// connection is closed after the idle time.
func (d *Dialer) release(c *conn, idle time.Duration, ended time.Time) {
	d.mu.Lock()
	p := c.pool
	if p.isRetired || p.isSuspect {
		d.mu.Unlock()
		d.discard(c, false)
		return
	}
	c.idleSince = ended
	c.idleLimit = idle
	c.expiryTimer = time.AfterFunc(idle-time.Since(ended), func() { d.expire(c) })
	p.idle = append(p.idle, c)
	p.wakeNext()
	d.mu.Unlock()
}

// replace closes a connection that must not be reused and opens a new one in
// the background, so that the next request needn't wait for it.
func (d *Dialer) replace(c *conn, a *Attempt) {
	c.raw.Close()
	d.mu.Lock()
	p := c.pool
	isUnneeded := p.isRetired || p.isSuspect || len(p.waiters) > 0 || len(p.idle) > 0 && p.idle[len(p.idle)-1].isUsed
	d.mu.Unlock()
	if isUnneeded {
		d.releasePlace(p)
		return
	}
	address, idle := a.Address, usableIdleTime(a)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.ConnectTimeout)
		defer cancel()
		raw, err := d.settings.Dial(ctx, address)
		if err != nil {
			d.releasePlace(p)
			return
		}
		d.release(newConn(raw, p, d.settings.ProgressTimeout), idle, time.Now())
	}()
}

// expire closes a connection if it is still idle.
func (d *Dialer) expire(c *conn) {
	d.mu.Lock()
	p := c.pool
	for i, other := range p.idle {
		if other != c || time.Since(c.idleSince) < c.idleLimit {
			continue
		}
		p.idle = append(p.idle[:i], p.idle[i+1:]...)
		d.mu.Unlock()
		d.discard(c, false)
		return
	}
	d.mu.Unlock()
}

// discard closes a connection that must not be reused. With isSuspect set, it
// marks the worker as suspect.
func (d *Dialer) discard(c *conn, isSuspect bool) {
	c.raw.Close()
	d.mu.Lock()
	if isSuspect {
		c.pool.isSuspect = true
	}
	d.mu.Unlock()
	d.releasePlace(c.pool)
}

// releasePlace frees the place of a closed connection in its pool.
func (d *Dialer) releasePlace(p *pool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p.open--
	p.wakeNext()
	d.removeIfEmpty(p)
}

// removeIfEmpty removes a pool without connections and waiters, unless it is
// needed to remember that the worker is suspect.
func (d *Dialer) removeIfEmpty(p *pool) {
	if p.open == 0 && len(p.waiters) == 0 && !p.isSuspect && d.pools[p.key] == p {
		delete(d.pools, p.key)
	}
}

func (p *pool) retire() []*conn {
	p.isRetired = true
	idle := p.idle
	p.idle = nil
	p.open -= len(idle)
	for _, c := range idle {
		c.expiryTimer.Stop()
	}
	for len(p.waiters) > 0 {
		p.wakeNext()
	}
	return idle
}
