package entry

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
)

// The types of this file implement encoding.TextUnmarshaler. They store a parse error
// instead of returning it, because go-arg stops at the first error and Settings is to
// report the problems of all settings at once.

// Duration is a setting such as 30s, in the format of time.ParseDuration.
type Duration struct {
	text  string
	value time.Duration
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler and always returns nil.
func (d *Duration) UnmarshalText(text []byte) error {
	d.text = string(text)
	d.value, d.err = time.ParseDuration(d.text)
	return nil
}

// Ratio is a fraction from 0 to 1. Settings checks the range.
type Ratio struct {
	text  string
	value float64
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler and always returns nil.
func (r *Ratio) UnmarshalText(text []byte) error {
	r.text = string(text)
	r.value, r.err = strconv.ParseFloat(r.text, 64)
	return nil
}

// Count is a positive integer. Settings checks the range.
type Count struct {
	text  string
	value int
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler and always returns nil.
func (c *Count) UnmarshalText(text []byte) error {
	c.text = string(text)
	c.value, c.err = strconv.Atoi(c.text)
	return nil
}

// Address is an IP address and a port.
type Address struct {
	text  string
	value netip.AddrPort
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler and always returns nil.
func (a *Address) UnmarshalText(text []byte) error {
	a.text = string(text)
	a.value, a.err = netip.ParseAddrPort(a.text)
	return nil
}

// Shards is the number of shards of each failure domain, for example
// gent=4,leuven=4.
type Shards struct {
	text  string
	value map[heatherhub.FailureDomain]int
	err   error
}

// UnmarshalText implements encoding.TextUnmarshaler and always returns nil.
func (s *Shards) UnmarshalText(text []byte) error {
	s.text = string(text)
	s.value = make(map[heatherhub.FailureDomain]int)
	for _, part := range strings.Split(s.text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(number)
		domain := heatherhub.FailureDomain(name)
		if _, duplicate := s.value[domain]; err != nil || duplicate {
			s.err = heatherhub.ErrInvalid.New("%q is not of the form domain=number, or repeats a domain", part)
			return nil
		}
		s.value[domain] = n
	}
	return nil
}
