package entry

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"heatherhub.example/heatherhub"
)

// The types of this file keep a text that cannot be parsed, so that the check of
// all settings reports it with the others instead of ending the parse.

// Duration is a setting with a unit, for example 30s.
type Duration struct {
	text  string
	value time.Duration
	err   error
}

// UnmarshalText parses the setting and keeps a mistake for the check.
func (d *Duration) UnmarshalText(text []byte) error {
	d.text = string(text)
	d.value, d.err = time.ParseDuration(d.text)
	return nil
}

// Ratio is a setting between 0 and 1.
type Ratio struct {
	text  string
	value float64
	err   error
}

// UnmarshalText parses the setting and keeps a mistake for the check.
func (r *Ratio) UnmarshalText(text []byte) error {
	r.text = string(text)
	r.value, r.err = strconv.ParseFloat(r.text, 64)
	return nil
}

// Count is a whole number of 1 or more.
type Count struct {
	text  string
	value int
	err   error
}

// UnmarshalText parses the setting and keeps a mistake for the check.
func (c *Count) UnmarshalText(text []byte) error {
	c.text = string(text)
	c.value, c.err = strconv.Atoi(c.text)
	return nil
}

// Address is an IP and a port.
type Address struct {
	text  string
	value netip.AddrPort
	err   error
}

// UnmarshalText parses the setting and keeps a mistake for the check.
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

// UnmarshalText parses the setting and keeps a mistake for the check.
func (s *Shards) UnmarshalText(text []byte) error {
	s.text = string(text)
	s.value = make(map[heatherhub.FailureDomain]int)
	for _, part := range strings.Split(s.text, ",") {
		name, number, _ := strings.Cut(strings.TrimSpace(part), "=")
		n, err := strconv.Atoi(number)
		domain := heatherhub.FailureDomain(name)
		if _, duplicate := s.value[domain]; err != nil || duplicate {
			s.err = heatherhub.ErrInvalid.New("%q is not of the form domain=number, each domain once", part)
			return nil
		}
		s.value[domain] = n
	}
	return nil
}
