package inbound

// Share is the part of a machine's limits that a port may use.
type Share struct {
	// Sockets is the part of the descriptors that are for sockets.
	Sockets float64
	// ConnectionMemory is the part of the memory for connections, and RequestMemory that for
	// requests.
	ConnectionMemory, RequestMemory float64
}

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
