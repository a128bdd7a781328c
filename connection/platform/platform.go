// Package platform implements HTTP communication with the platform's services: the
// store, the host list and the workers. It contains what their clients share:
// connections that detect unresponsive peers, size limits on bodies, and errors that
// distinguish requests that were sent from requests that were not.
//
// # Usage
//
//	c := platform.NewClient(platform.Config{Address: "127.0.0.1:7400"})
//	var hosts []hostlist.Host
//	err := c.Call(ctx, platform.JSON, http.MethodGet, "/hosts", nil, &hosts)
//
// A call ends in one of three ways. Without an error, the complete response arrived.
// ErrUnknown means that the request was given to a connection and that no complete
// response arrived or the response doesn't tell the outcome, so the request may have
// taken effect. Any other error proves that it had no effect: no connection was
// established, or the service returned the code of such an error.
//
// The two protocols detect unresponsive peers in different ways. ProtocolHTTP2 sends
// all requests to an address over one connection without TLS. The HTTP/2 pings of
// net/http detect an unresponsive connection, idle or in use, within PingAfter +
// PingTimeout. ProtocolHTTP1 sends one request at a time over a connection, so an
// unresponsive connection fails only one request. Idle connections are closed early,
// and all idle connections are closed after a request without a response.
package platform

import (
	"net"
	"net/http"
	"time"

	"heatherhub.example/heatherhub"
)

// Defaults of Config.
const (
	DefaultDialTimeout = time.Second
	DefaultPingAfter   = time.Second
	DefaultPingTimeout = time.Second
	DefaultIdleTimeout = 90 * time.Second
	// DefaultMaxResponseBytes is the maximum size of a response body.
	DefaultMaxResponseBytes = 16_000_000
)

// HeaderDomain is the header with the failure domain of the sender.
const HeaderDomain = "Heatherhub-Domain"

// Protocol is a version of HTTP.
type Protocol string

// Supported protocols.
const (
	// ProtocolHTTP2 is HTTP/2 without TLS.
	ProtocolHTTP2 Protocol = "h2c"
	ProtocolHTTP1 Protocol = "http/1.1"
)

// Config holds the settings of the connections to one address. The default of a field
// applies if the field is zero.
type Config struct {
	// Address is an IP address and a port.
	Address string
	// Domain is the failure domain of this process, sent as HeaderDomain unless empty.
	Domain heatherhub.FailureDomain
	// Protocol is the HTTP version; ProtocolHTTP2 if empty.
	Protocol Protocol
	// MaxConnections limits the connections of ProtocolHTTP1; zero for no limit.
	MaxConnections int
	// DialTimeout limits the time to establish a connection. After PingAfter without
	// data, an HTTP/2 ping is sent, which must be answered within PingTimeout. TCP
	// keep-alive also begins after PingAfter, with two probes PingTimeout apart.
	// Connections that are idle for IdleTimeout are closed.
	DialTimeout, PingAfter, PingTimeout, IdleTimeout time.Duration
	// MaxResponseBytes is the maximum size of a response body.
	MaxResponseBytes int64
	// Traffic counts the bytes and connections; nil for no counting.
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

// NewServer returns a server that supports both protocols and limits the size and the
// read time of headers.
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
