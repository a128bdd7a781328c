package entry

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/jonboulle/clockwork"
	"golang.org/x/time/rate"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/inbound"
	"heatherhub.example/heatherhub/connection/peer/keys"
	"heatherhub.example/heatherhub/process/logs"
	"heatherhub.example/heatherhub/process/shard/layout"
	"heatherhub.example/heatherhub/process/traces"
)

// Limits of the settings.
const (
	minDrainTimeout = time.Second
	maxDrainTimeout = 10 * time.Minute
	// minTokenLength is the minimum length of the operator token, in bytes.
	minTokenLength = 16
)

// Settings are the parsed and checked options.
type Settings struct {
	ID     heatherhub.HostID
	Domain heatherhub.FailureDomain
	Layout layout.Layout

	CallerListen   netip.AddrPort
	OperatorListen netip.AddrPort
	PeerListen     netip.AddrPort
	// PeerAdvertise is the address at which other hosts reach this one. Port 0
	// stands for the port that PeerListen is bound to.
	PeerAdvertise netip.AddrPort

	Store    string
	HostList string
	// EntryHosts is the number of entry hosts that share the store budget of
	// StoreReads and StoreWrites per second.
	EntryHosts  int
	StoreReads  rate.Limit
	StoreWrites rate.Limit

	OperatorToken string
	// OperatorKeys and PeerKeys are nil without TLS.
	OperatorKeys *keys.Keys
	PeerKeys     *keys.Keys
	// InsecureWarning names the ports that neither the operator token nor peer keys
	// protect; empty if there are none.
	InsecureWarning string

	Traces       traces.Config
	LogLevel     string
	DrainTimeout time.Duration
	// Machine has the limits of the process.
	Machine inbound.Machine
}

// checker converts the options to settings and collects all problems.
type checker struct {
	options  *Options
	settings Settings
	problems []string
}

// addProblem adds a problem of a flag, with the name of its environment variable.
func (c *checker) addProblem(flag, format string, args ...any) {
	env := "HEATHERHUB_" + strings.ToUpper(strings.ReplaceAll(strings.TrimPrefix(flag, "--"), "-", "_"))
	c.problems = append(c.problems, fmt.Sprintf("%s (%s): %s", flag, env, fmt.Sprintf(format, args...)))
}

// addError adds an error of a flag; nil is ignored.
func (c *checker) addError(flag string, err error) {
	if err != nil {
		c.addProblem(flag, "%s", heatherhub.Message(err))
	}
}

// Settings checks all options and reads the token and key files. It returns
// ErrInvalid with all problems, one per line.
func (o *Options) Settings() (*Settings, error) {
	c := checker{options: o}
	c.checkIdentity()
	c.checkAddresses()
	c.checkPlatform()
	c.checkStoreBudget()
	c.checkOperatorToken()
	c.checkKeys()
	c.checkExposure()
	c.checkOutput()
	c.checkMachine()
	if len(c.problems) > 0 {
		return nil, heatherhub.ErrInvalid.New("invalid settings: %d\n%s", len(c.problems), strings.Join(c.problems, "\n"))
	}
	return &c.settings, nil
}

func (c *checker) checkIdentity() {
	c.settings.ID = heatherhub.HostID(c.options.ID)
	c.settings.Domain = heatherhub.FailureDomain(c.options.Domain)
	c.addError("--id", heatherhub.CheckName("name", c.settings.ID))
	c.addError("--domain", heatherhub.CheckName("failure domain", c.settings.Domain))
	c.settings.Layout = layout.Layout{Shards: c.options.Shards.value}
	err := c.options.Shards.err
	if err == nil {
		err = c.settings.Layout.Check()
	}
	c.addError("--shards", err)
	if _, ok := c.options.Shards.value[c.settings.Domain]; err == nil && !ok {
		c.addProblem("--shards", "the failure domain %q of this host has no shards: list every failure domain", c.settings.Domain)
	}
}

func (c *checker) checkAddresses() {
	c.settings.CallerListen = c.parseAddress("--caller-listen", c.options.CallerListen)
	c.settings.OperatorListen = c.parseAddress("--operator-listen", c.options.OperatorListen)
	c.settings.PeerListen = c.parseAddress("--peer-listen", c.options.PeerListen)
	c.settings.PeerAdvertise = c.settings.PeerListen
	if c.options.PeerAdvertise.text != "" {
		c.settings.PeerAdvertise = c.parseAddress("--peer-advertise", c.options.PeerAdvertise)
	}
	if ip := c.settings.PeerAdvertise.Addr(); ip.IsValid() && ip.IsUnspecified() {
		c.addProblem("--peer-advertise", "%s is not the address of a single host: give the IP at which other entry hosts reach this one", ip)
	}
	ports := map[netip.AddrPort]string{}
	for _, l := range c.listeners() {
		if other, ok := ports[l.address]; ok && l.address.Port() != 0 {
			c.addProblem(l.flag, "%s is also the address of %s: choose another port", l.address, other)
		}
		ports[l.address] = l.flag
	}
}

// listener is an address that the process listens on.
type listener struct {
	flag    string
	address netip.AddrPort
	// secured is true if the port counts as protected: the operator port by the
	// operator token, the peer and caller ports by peer keys. Callers present no
	// certificate themselves.
	secured bool
}

func (c *checker) listeners() []listener {
	return []listener{
		{"--caller-listen", c.settings.CallerListen, c.settings.PeerKeys != nil},
		{"--operator-listen", c.settings.OperatorListen, c.settings.OperatorToken != ""},
		{"--peer-listen", c.settings.PeerListen, c.settings.PeerKeys != nil},
	}
}

func (c *checker) parseAddress(flag string, a Address) netip.AddrPort {
	if a.err != nil {
		c.addProblem(flag, "%q is not an IP address and port, for example 10.0.1.1:7101", a.text)
	}
	return a.value
}

func (c *checker) checkPlatform() {
	c.settings.Store = c.parseURL("--store", c.options.Store)
	c.settings.HostList = c.settings.Store
	if c.options.HostList != "" {
		c.settings.HostList = c.parseURL("--hostlist", c.options.HostList)
	}
}

func (c *checker) checkStoreBudget() {
	c.settings.EntryHosts = c.parseCount("--entry-hosts", c.options.EntryHosts)
	c.settings.StoreReads = rate.Limit(c.parseCount("--store-reads", c.options.StoreReads))
	c.settings.StoreWrites = rate.Limit(c.parseCount("--store-writes", c.options.StoreWrites))
}

func (c *checker) checkMachine() {
	c.settings.Machine.MemoryBytes = int64(c.parseCount("--memory-mb", c.options.MemoryMB)) * 1e6
	n := c.parseCount("--file-descriptors", c.options.FileDescriptors)
	if n >= 1 && n <= inbound.FileDescriptors {
		c.addProblem("--file-descriptors", "%d is not above %d, which are kept for files", n, inbound.FileDescriptors)
	}
	c.settings.Machine.Sockets = n - inbound.FileDescriptors
}

func (c *checker) parseCount(flag string, n Count) int {
	if n.err != nil || n.value < 1 {
		c.addProblem(flag, "%q is not a positive integer", n.text)
	}
	return n.value
}

func (c *checker) parseURL(flag, text string) string {
	u, err := url.Parse(text)
	if err != nil || u.Host == "" || u.Scheme != "http" && u.Scheme != "https" {
		c.addProblem(flag, "%q is not a URL, for example http://10.0.0.9:7400", text)
	}
	return strings.TrimSuffix(text, "/")
}

func (c *checker) checkOperatorToken() {
	c.settings.OperatorToken = c.options.OperatorToken
	if c.options.OperatorTokenFile == "" {
		c.checkTokenLength("--operator-token")
		return
	}
	if c.options.OperatorToken != "" {
		c.addProblem("--operator-token-file", "--operator-token is given too: give only one of the two")
	}
	data, err := os.ReadFile(c.options.OperatorTokenFile)
	if err != nil {
		c.addProblem("--operator-token-file", "%s: name a readable file", err)
		return
	}
	c.settings.OperatorToken = strings.TrimSpace(string(data))
	if c.settings.OperatorToken == "" {
		c.addProblem("--operator-token-file", "the file is empty: put the token into it")
	}
	c.checkTokenLength("--operator-token-file")
}

func (c *checker) checkTokenLength(flag string) {
	if n := len(c.settings.OperatorToken); n > 0 && n < minTokenLength {
		c.addProblem(flag, "the token has %d characters: use %d or more", n, minTokenLength)
	}
}

func (c *checker) checkKeys() {
	c.settings.PeerKeys = c.loadKeys("--peer-cert", keys.Files{Cert: c.options.PeerCert, Key: c.options.PeerKey, CA: c.options.PeerCA}, true)
	c.settings.OperatorKeys = c.loadKeys("--operator-cert", keys.Files{Cert: c.options.OperatorCert, Key: c.options.OperatorKey}, false)
	if c.settings.PeerKeys != nil && c.settings.OperatorToken == "" {
		c.addProblem("--operator-token", "peer keys are given but no operator token: give a token too")
	}
}

// loadKeys reads the key files. It returns nil if none is given, and reports a problem
// if only some are.
func (c *checker) loadKeys(flag string, f keys.Files, needsCA bool) *keys.Keys {
	if f == (keys.Files{}) {
		return nil
	}
	if f.Cert == "" || f.Key == "" || needsCA && f.CA == "" {
		c.addProblem(flag, "some files are missing: give certificate, key%s", map[bool]string{true: " and CA"}[needsCA])
		return nil
	}
	k, err := keys.Load(f, clockwork.NewRealClock())
	c.addError(flag, err)
	return k
}

// checkExposure requires every port that other machines can reach to be secured, unless
// --allow-insecure-listen is given. Unsecured ports are named in InsecureWarning.
func (c *checker) checkExposure() {
	var open []string
	for _, l := range c.listeners() {
		if l.secured {
			continue
		}
		open = append(open, l.flag)
		if ip := l.address.Addr(); ip.IsValid() && !ip.IsLoopback() && !c.options.AllowInsecure {
			c.addProblem(l.flag, "%s is reachable from other machines without authentication: give a token and peer keys, listen on 127.0.0.1, or set --allow-insecure-listen", l.address)
		}
	}
	if len(open) > 0 {
		c.settings.InsecureWarning = "no authentication for " + strings.Join(open, ", ") + ": give a token and peer keys before other machines can reach this host"
	}
}

func (c *checker) checkOutput() {
	c.settings.LogLevel = c.options.LogLevel
	_, err := logs.ParseLevel(c.options.LogLevel)
	c.addError("--log-level", err)
	c.settings.Traces = traces.Config{
		Exporter:    traces.Exporter(c.options.TraceExporter),
		Endpoint:    c.options.TraceEndpoint,
		SampleRatio: c.options.TraceRatio.value,
		Host:        c.settings.ID,
		Domain:      c.settings.Domain,
	}
	if c.options.TraceRatio.err != nil {
		c.addProblem("--trace-ratio", "%q is not a number, for example 0.01", c.options.TraceRatio.text)
	}
	c.addError("--trace-exporter", c.settings.Traces.Check())
	c.settings.DrainTimeout = c.options.DrainTimeout.value
	if d := c.settings.DrainTimeout; c.options.DrainTimeout.err != nil || d < minDrainTimeout || d > maxDrainTimeout {
		c.addProblem("--drain-timeout", "%q is not a duration from %s to %s, for example 30s", c.options.DrainTimeout.text, minDrainTimeout, maxDrainTimeout)
	}
}
