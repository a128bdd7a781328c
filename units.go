package heatherhub

import (
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Units of worker resources.
type (
	// MilliCPU is processor capacity in thousandths of one processor.
	MilliCPU int64
	// Megabytes is an amount of memory in units of 1,000,000 bytes.
	Megabytes int64
	// Accelerators is a number of whole accelerators.
	Accelerators int64
	// Percent is a whole percentage, 0 to 100 unless stated otherwise.
	Percent int
)

// Resources is the amount of each resource that a worker has or a task requires.
type Resources struct {
	CPU          MilliCPU     `msgpack:"cpu" json:"cpuMilli" yaml:"cpuMilli"`
	Memory       Megabytes    `msgpack:"mem" json:"memoryMb" yaml:"memoryMb"`
	Accelerators Accelerators `msgpack:"acc" json:"accelerators" yaml:"accelerators"`
}

// Add returns the sum of two amounts.
func (r Resources) Add(o Resources) Resources {
	return Resources{r.CPU + o.CPU, r.Memory + o.Memory, r.Accelerators + o.Accelerators}
}

// Sub returns r minus o. Resources of the result may be negative.
func (r Resources) Sub(o Resources) Resources {
	return Resources{r.CPU - o.CPU, r.Memory - o.Memory, r.Accelerators - o.Accelerators}
}

// Scale returns the amount multiplied by n.
func (r Resources) Scale(n int) Resources {
	return Resources{r.CPU * MilliCPU(n), r.Memory * Megabytes(n), r.Accelerators * Accelerators(n)}
}

// Fits reports whether r doesn't exceed free in any resource.
func (r Resources) Fits(free Resources) bool {
	return r.CPU <= free.CPU && r.Memory <= free.Memory && r.Accelerators <= free.Accelerators
}

// IsZero reports whether every resource is zero.
func (r Resources) IsZero() bool {
	return r == Resources{}
}

// String returns the amount with its units, for messages.
func (r Resources) String() string {
	return fmt.Sprintf("%dm cpu, %d MB, %d accelerators", r.CPU, r.Memory, r.Accelerators)
}

// Bounds of an amount of resources. Sums over all workers and all tasks of a site do not overflow.
const (
	maxCPU          MilliCPU     = 1e10
	maxMemory       Megabytes    = 1e12
	maxAccelerators Accelerators = 1e9
)

// Bounds of the capacity of one host, above those of any machine.
const (
	maxHostCPU          MilliCPU     = 1e8
	maxHostMemory       Megabytes    = 1e9
	maxHostAccelerators Accelerators = 1e5
)

// Check returns ErrInvalid if any resource is negative or exceeds any plausible amount.
func (r Resources) Check() error {
	switch {
	case r.CPU < 0 || r.Memory < 0 || r.Accelerators < 0:
		return ErrInvalid.New("resources %s are negative: use 0 or more", r)
	case r.CPU > maxCPU || r.Memory > maxMemory || r.Accelerators > maxAccelerators:
		return ErrInvalid.New("resources %s are too large: use at most %s", r, Resources{maxCPU, maxMemory, maxAccelerators})
	}
	return nil
}

// CheckHost is Check for the capacity of one host.
func (r Resources) CheckHost() error {
	if r.CPU > maxHostCPU || r.Memory > maxHostMemory || r.Accelerators > maxHostAccelerators {
		return ErrInvalid.New("capacity %s is too large: use at most %s", r, Resources{maxHostCPU, maxHostMemory, maxHostAccelerators})
	}
	return r.Check()
}

// DecodeMsgpack decodes and validates an amount.
func (r *Resources) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Resources
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if err := Resources(w).Check(); err != nil {
		return err
	}
	*r = Resources(w)
	return nil
}

// SetDefault sets *field to value if it is the zero value.
func SetDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
