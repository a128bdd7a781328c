// Package entry implements "heatherhub entry", which runs one entry host.
//
// # Usage
//
//	heatherhub entry --id e1 --domain gent --store http://10.0.0.9:7400 \
//	    --shards mechelen=4,leuven=4,gent=4
//
// Every setting may be given as a flag or an environment variable; the flag takes
// precedence. All settings are checked at startup, and all problems are reported
// together with their remedies.
package entry

// Options are the command-line options.
type Options struct {
	ID     string `arg:"--id,env:HEATHERHUB_ID" placeholder:"NAME" help:"name of this entry host, unique over all"`
	Domain string `arg:"--domain,env:HEATHERHUB_DOMAIN" placeholder:"NAME" help:"failure domain of this entry host"`
	Shards Shards `arg:"--shards,env:HEATHERHUB_SHARDS" placeholder:"DOMAIN=N,..." help:"shards of every failure domain, the same on all entry hosts"`

	CallerListen   Address `arg:"--caller-listen,env:HEATHERHUB_CALLER_LISTEN" default:"127.0.0.1:7101" placeholder:"IP:PORT" help:"address for callers and the balancer"`
	OperatorListen Address `arg:"--operator-listen,env:HEATHERHUB_OPERATOR_LISTEN" default:"127.0.0.1:7102" placeholder:"IP:PORT" help:"address for operators and metrics"`
	PeerListen     Address `arg:"--peer-listen,env:HEATHERHUB_PEER_LISTEN" default:"127.0.0.1:7103" placeholder:"IP:PORT" help:"address for other entry hosts"`
	PeerAdvertise  Address `arg:"--peer-advertise,env:HEATHERHUB_PEER_ADVERTISE" placeholder:"IP:PORT" help:"address at which other entry hosts reach this one [default: the peer address]"`

	Store    string `arg:"--store,env:HEATHERHUB_STORE" placeholder:"URL" help:"the platform's key-value service"`
	HostList string `arg:"--hostlist,env:HEATHERHUB_HOSTLIST" placeholder:"URL" help:"the platform's list of hosts [default: the store's URL]"`

	EntryHosts  Count `arg:"--entry-hosts,env:HEATHERHUB_ENTRY_HOSTS" default:"9" placeholder:"N" help:"number of entry hosts that share the store's budget"`
	StoreReads  Count `arg:"--store-reads,env:HEATHERHUB_STORE_READS" default:"1500" placeholder:"N" help:"reads a second of all entry hosts together"`
	StoreWrites Count `arg:"--store-writes,env:HEATHERHUB_STORE_WRITES" default:"300" placeholder:"N" help:"writes a second of all entry hosts together"`

	OperatorToken     string `arg:"--operator-token,env:HEATHERHUB_OPERATOR_TOKEN" placeholder:"TOKEN" help:"token that operators must show"`
	OperatorTokenFile string `arg:"--operator-token-file,env:HEATHERHUB_OPERATOR_TOKEN_FILE" placeholder:"FILE" help:"file that holds the operators' token"`
	OperatorCert      string `arg:"--operator-cert,env:HEATHERHUB_OPERATOR_CERT" placeholder:"FILE" help:"certificate of the operator port, PEM"`
	OperatorKey       string `arg:"--operator-key,env:HEATHERHUB_OPERATOR_KEY" placeholder:"FILE" help:"key of the operator port, PEM"`
	PeerCert          string `arg:"--peer-cert,env:HEATHERHUB_PEER_CERT" placeholder:"FILE" help:"certificate towards other entry hosts, PEM"`
	PeerKey           string `arg:"--peer-key,env:HEATHERHUB_PEER_KEY" placeholder:"FILE" help:"key of the certificate, PEM"`
	PeerCA            string `arg:"--peer-ca,env:HEATHERHUB_PEER_CA" placeholder:"FILE" help:"certificates that sign those of entry hosts, PEM"`
	AllowInsecure     bool   `arg:"--allow-insecure-listen,env:HEATHERHUB_ALLOW_INSECURE_LISTEN" help:"listen beyond loopback without keys"`

	TraceExporter string `arg:"--trace-exporter,env:HEATHERHUB_TRACE_EXPORTER" default:"none" placeholder:"NAME" help:"none, stdout or otlp"`
	TraceEndpoint string `arg:"--trace-endpoint,env:HEATHERHUB_TRACE_ENDPOINT" placeholder:"IP:PORT" help:"collector of the otlp exporter"`
	TraceRatio    Ratio  `arg:"--trace-ratio,env:HEATHERHUB_TRACE_RATIO" default:"0.01" placeholder:"RATIO" help:"share of the traces that are kept"`
	LogLevel      string `arg:"--log-level,env:HEATHERHUB_LOG_LEVEL" default:"info" placeholder:"LEVEL" help:"debug, info, warn or error"`

	MemoryMB        Count `arg:"--memory-mb,env:HEATHERHUB_MEMORY_MB" default:"1024" placeholder:"N" help:"megabytes that the process may use; the limits of the ports follow from it"`
	FileDescriptors Count `arg:"--file-descriptors,env:HEATHERHUB_FILE_DESCRIPTORS" default:"4100" placeholder:"N" help:"descriptors that the process may open, above 200"`

	DrainTimeout Duration `arg:"--drain-timeout,env:HEATHERHUB_DRAIN_TIMEOUT" default:"30s" placeholder:"TIME" help:"longest time of a planned stop"`
}
