package inbound

// Share is the part of a machine's limits that a port may use.
type Share struct {
	// Sockets is the part of the descriptors that are for sockets.
	Sockets float64
	// ConnectionMemory is the part of the memory for connections, and RequestMemory that for
	// requests.
	ConnectionMemory, RequestMemory float64
}

// Shares of the ports of a host. What is left is for its own connections and state.
var (
	CallerShare    = Share{Sockets: 1.0 / 2, ConnectionMemory: 1.0 / 4, RequestMemory: 1.0 / 5}
	ReadinessShare = Share{Sockets: 1.0 / 32, ConnectionMemory: 1.0 / 64, RequestMemory: 1.0 / 64}
	OperatorShare  = Share{Sockets: 1.0 / 8, ConnectionMemory: 1.0 / 16, RequestMemory: 1.0 / 16}
	PeerShare      = Share{Sockets: 1.0 / 6, ConnectionMemory: 1.0 / 16, RequestMemory: 1.0 / 8}
)

// FileDescriptors is the number of descriptors that a process keeps for files.
const FileDescriptors = 200

// Machine has the limits of the machine of a process.
type Machine struct {
	// MemoryBytes is the memory that the process may use, in bytes.
	MemoryBytes int64
	// Sockets is the number of sockets that the process may open.
	Sockets int
}

// Smallest limits of a port, in connections and bytes.
const (
	minConnections = 8
	minBytes       = 1 << 20
)

// MaxConnections returns the largest number of connections of a port.
func (m Machine) MaxConnections(s Share) int {
	byMemory := s.ConnectionMemory * float64(m.MemoryBytes) / ConnectionCost
	return int(max(min(s.Sockets*float64(m.Sockets), byMemory), minConnections))
}

// MaxBytes returns the memory for the requests of a port, in bytes.
func (m Machine) MaxBytes(s Share) int64 {
	return max(int64(s.RequestMemory*float64(m.MemoryBytes)), minBytes)
}
