// Package platform speaks HTTP with the platform's services: the store, the
// host list and the workers. It has what their clients share: connections that
// notice silence, bounded bodies, and errors that tell what was sent from what
// was not.
//
// # Usage
//
//	c := platform.NewClient(platform.Config{Address: "127.0.0.1:7400"})
//	var hosts []hostlist.Host
//	err := c.Call(ctx, platform.JSON, http.MethodGet, "/hosts", nil, &hosts)
//
// A call ends in one of three ways. No error: the whole answer came. An error
// that proves that nothing ran: no connection could be made, or the service said
// so by its code. ErrUnknown: the call was given to a connection and no whole
// answer came.
//
// Two kinds of connections notice silence in two ways. ProtocolHTTP2 carries all
// calls to an address on one connection without TLS, and the library's pings find
// a silent one, idle or waiting, within PingAfter + PingTimeout. ProtocolHTTP1
// carries one call at a time, so a silent connection spoils one call; idle
// connections are closed early, and all of them after a call without an answer.
package platform

import (
	"net"
	"net/http"
	"time"

	"heatherhub.example/heatherhub"
)

// Defaults of connections and calls.
const (
	DefaultDialTimeout = time.Second
	DefaultPingAfter   = time.Second
	DefaultPingTimeout = time.Second
	DefaultIdleTimeout = 90 * time.Second
	// DefaultMaxResponseBytes is the largest body of an answer, in bytes.
	DefaultMaxResponseBytes = 16_000_000
)

// HeaderDomain names the caller's failure domain.
const HeaderDomain = "Heatherhub-Domain"

// Protocol names the version of HTTP.
type Protocol string

// Protocols.
const (
	ProtocolHTTP2 Protocol = "h2c"
	ProtocolHTTP1 Protocol = "http/1.1"
)

// Config describes the connections to one address.
type Config struct {
	// Address is an IP and port.
	Address string
	// Domain is the caller's own failure domain.
	Domain heatherhub.FailureDomain
	// Protocol is ProtocolHTTP2 if empty.
	Protocol Protocol
	// MaxConnections bounds the connections of ProtocolHTTP1; zero for any number.
	MaxConnections int
	// Times are the defaults if zero.
	DialTimeout, PingAfter, PingTimeout, IdleTimeout time.Duration
	// MaxResponseBytes is the largest body of an answer; zero for DefaultMaxResponseBytes.
	MaxResponseBytes int64
	// Traffic counts the bytes on the connections; nil for none.
	Traffic *Traffic
}

func (cfg *Config) setDefaults() {
	heatherhub.SetDefault(&cfg.Protocol, ProtocolHTTP2)
	heatherhub.SetDefault(&cfg.DialTimeout, DefaultDialTimeout)
	heatherhub.SetDefault(&cfg.PingAfter, DefaultPingAfter)
	heatherhub.SetDefault(&cfg.PingTimeout, DefaultPingTimeout)
	heatherhub.SetDefault(&cfg.IdleTimeout, DefaultIdleTimeout)
	heatherhub.SetDefault(&cfg.MaxResponseBytes, DefaultMaxResponseBytes)
}

func newTransport(cfg Config) *http.Transport {
	dialer := &net.Dialer{
		Timeout:         cfg.DialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: cfg.PingAfter, Interval: cfg.PingTimeout, Count: 2},
	}
	t := &http.Transport{
		DialContext:         countTraffic(dialer.DialContext, cfg.Traffic),
		MaxConnsPerHost:     cfg.MaxConnections,
		MaxIdleConnsPerHost: max(cfg.MaxConnections, http.DefaultMaxIdleConnsPerHost),
		IdleConnTimeout:     cfg.IdleTimeout,
		DisableCompression:  true,
		Protocols:           new(http.Protocols),
		HTTP2: &http.HTTP2Config{
			SendPingTimeout:  cfg.PingAfter,
			PingTimeout:      cfg.PingTimeout,
			WriteByteTimeout: cfg.PingAfter + cfg.PingTimeout,
		},
	}
	switch cfg.Protocol {
	case ProtocolHTTP1:
		t.Protocols.SetHTTP1(true)
	default:
		t.MaxConnsPerHost = 0
		t.Protocols.SetUnencryptedHTTP2(true)
	}
	return t
}

// NewServer returns a server that speaks both protocols, with bounded headers.
func NewServer(h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: 5 * time.Second,
		IdleTimeout:       2 * DefaultIdleTimeout,
		MaxHeaderBytes:    16_000,
		Protocols:         new(http.Protocols),
	}
	s.Protocols.SetHTTP1(true)
	s.Protocols.SetUnencryptedHTTP2(true)
	return s
}
