//go:build review

package main

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sourcegraph/conc"
)

// storeProxy forwards connections to the store. silence makes those that are open go silent for
// good, without a reset, while new ones work.
type storeProxy struct {
	target   string
	listener net.Listener
	group    conc.WaitGroup

	mu    sync.Mutex
	epoch int
	conns map[net.Conn]struct{}
}

func newStoreProxy(target string) (*storeProxy, error) {
	l, err := net.Listen("tcp4", anyAddress)
	if err != nil {
		return nil, err
	}
	p := &storeProxy{target: target, listener: l, conns: make(map[net.Conn]struct{})}
	p.group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.group.Go(func() { p.serve(c) })
		}
	})
	return p, nil
}

func (p *storeProxy) serve(in net.Conn) {
	out, err := net.Dial("tcp4", p.target)
	if err != nil {
		_ = in.Close()
		return
	}
	p.mu.Lock()
	epoch := p.epoch
	p.conns[in], p.conns[out] = struct{}{}, struct{}{}
	p.mu.Unlock()
	var g conc.WaitGroup
	forward := func(to, from net.Conn) {
		buf := make([]byte, 64<<10)
		for {
			n, err := from.Read(buf)
			p.mu.Lock()
			isSilent := p.epoch != epoch
			p.mu.Unlock()
			if isSilent {
				// What the hosts send is dropped, and they hear nothing.
				_, _ = io.Copy(io.Discard, from)
				return
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		_ = to.Close()
		_ = from.Close()
	}
	g.Go(func() { forward(out, in) })
	g.Go(func() { forward(in, out) })
	g.Wait()
	_ = in.Close()
	_ = out.Close()
	p.mu.Lock()
	delete(p.conns, in)
	delete(p.conns, out)
	p.mu.Unlock()
}

func (p *storeProxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.epoch++
	return len(p.conns) / 2
}

func (p *storeProxy) close() {
	_ = p.listener.Close()
	p.mu.Lock()
	for c := range p.conns {
		_ = c.Close()
	}
	p.mu.Unlock()
}

const (
	contact     = 3000 * time.Millisecond
	configApply = 2000 * time.Millisecond
)

// playSilent has all connections between the hosts and the store go silent, and drops a route
// meanwhile. It judges the calls on that route.
func playSilent(r *record, dir string, hasTrouble bool) int {
	s, err := newSite(r, dir, 3, 8)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		r.write("not run: %v", err)
		return exitNotRun
	}
	const id = "7b20c4de91f5a386"
	if !s.submit(id, step{Count: 4, CPU: 2000, Memory: 1000, Estimated: 60000, LongRunning: true}) {
		return exitNotRun
	}
	if !await(15*time.Second, func() bool { return len(s.running(id)) == 4 }) {
		return exitNotRun
	}
	var calls conc.WaitGroup
	for i := range 3 {
		for range 16 {
			calls.Go(func() { s.call(i, http.MethodGet, prefix, nil) })
		}
	}
	calls.Wait()
	time.Sleep(4 * time.Second)
	silentAt := time.Now()
	if hasTrouble {
		r.write("%d connections to the store go silent", s.proxy.silence())
	}
	time.Sleep(900 * time.Millisecond)
	if err := s.store.Put("op/config", configuration(5, false)); err != nil {
		return exitNotRun
	}
	ackedAt := time.Now()
	r.write("the configuration that drops the route is acknowledged")
	time.Sleep(time.Until(silentAt.Add(contact + 50*time.Millisecond)))
	time.Sleep(time.Until(ackedAt.Add(configApply + 50*time.Millisecond)))
	var mu sync.Mutex
	code := exitHeld
	for i := range 3 {
		calls.Go(func() {
			for time.Since(silentAt) < contact+4*time.Second {
				after := time.Since(silentAt)
				if status, _ := s.call(i, http.MethodGet, prefix+id, nil); status == http.StatusOK {
					mu.Lock()
					code = exitBroken
					mu.Unlock()
					r.write("broken: host %d answers a call, sent %v after the connections went silent and %v after the acknowledgement, as if the route was there",
						i, after.Round(time.Millisecond), time.Since(ackedAt).Round(time.Millisecond))
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	calls.Wait()
	return code
}
