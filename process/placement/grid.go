package placement

import (
	"math/bits"

	"heatherhub.example/heatherhub"
)

const (
	gridWidth = 64
	// subBuckets is the number of buckets per doubling of an amount.
	subBuckets  = 4
	cpuUnit     = 250 * heatherhub.MilliCPU(1)
	memoryUnit  = 512 * heatherhub.Megabytes(1)
	maxCellScan = 32
)

// bucketOf returns the bucket of an amount in units. Buckets are a quarter of
// a doubling wide.
func bucketOf(units int64) int {
	if units < subBuckets {
		return int(max(units, 0))
	}
	exponent := bits.Len64(uint64(units)) - 3
	sub := int(units>>exponent) & (subBuckets - 1)
	return min((exponent+1)*subBuckets+sub, gridWidth-1)
}

func bucketsOf(r heatherhub.Resources) (row, column int) {
	return bucketOf(int64(r.CPU / cpuUnit)), bucketOf(int64(r.Memory / memoryUnit))
}

// cell holds the members of one bucket of processors and memory.
type cell struct {
	members []*member
	// cursor is where the next scan starts, so that scans that stop early see
	// other members next time.
	cursor int
}

type gridRow struct {
	filled uint64
	cells  [gridWidth]cell
}

// member is the place of one node in one grid.
type member struct {
	node        *node
	free        heatherhub.Resources
	grid        *grid
	row, column int
	position    int
}

// grid finds nodes by free processors and memory. Its cost depends on the
// number of buckets and not on the number of nodes.
type grid struct {
	filled uint64
	rows   [gridWidth]*gridRow
}

func (g *grid) insert(m *member) {
	m.grid = g
	m.row, m.column = bucketsOf(m.free)
	r := g.rows[m.row]
	if r == nil {
		r = &gridRow{}
		g.rows[m.row] = r
	}
	c := &r.cells[m.column]
	m.position = len(c.members)
	c.members = append(c.members, m)
	r.filled |= 1 << m.column
	g.filled |= 1 << m.row
}

func (m *member) remove() {
	g := m.grid
	if g == nil {
		return
	}
	r := g.rows[m.row]
	c := &r.cells[m.column]
	last := c.members[len(c.members)-1]
	c.members[m.position] = last
	last.position = m.position
	c.members[len(c.members)-1] = nil
	c.members = c.members[:len(c.members)-1]
	m.grid = nil
	if len(c.members) > 0 {
		return
	}
	r.filled &^= 1 << m.column
	if r.filled == 0 {
		g.filled &^= 1 << m.row
	}
}

// update moves a member to the cell of its free amount, or takes it out.
func (m *member) update(g *grid, free heatherhub.Resources) {
	row, column := bucketsOf(free)
	m.free = free
	if g != nil && m.grid == g && m.row == row && m.column == column {
		return
	}
	m.remove()
	if g != nil {
		g.insert(m)
	}
}

// findBestFit visits nodes that hold need, the tightest fit first, until visit returns
// false. It reports whether every node that may fit was looked at.
func (g *grid) findBestFit(need heatherhub.Resources, visit func(*node) bool) (complete bool) {
	complete = true
	row, column := bucketsOf(need)
	rows := g.filled & (^uint64(0) << row)
	for ; rows != 0; rows &= rows - 1 {
		r := g.rows[bits.TrailingZeros64(rows)]
		columns := r.filled & (^uint64(0) << column)
		for ; columns != 0; columns &= columns - 1 {
			goOn, all := r.cells[bits.TrailingZeros64(columns)].scan(need, visit)
			complete = complete && all
			if !goOn {
				return complete
			}
		}
	}
	return complete
}

// findWorstFit visits nodes that hold need, those with most room first, until visit
// returns false.
func (g *grid) findWorstFit(need heatherhub.Resources, visit func(*node) bool) {
	row, column := bucketsOf(need)
	rows := g.filled & (^uint64(0) << row)
	for rows != 0 {
		i := bits.Len64(rows) - 1
		rows &^= 1 << i
		r := g.rows[i]
		columns := r.filled & (^uint64(0) << column)
		for columns != 0 {
			j := bits.Len64(columns) - 1
			columns &^= 1 << j
			if goOn, _ := r.cells[j].scan(need, visit); !goOn {
				return
			}
		}
	}
}

func (c *cell) scan(need heatherhub.Resources, visit func(*node) bool) (goOn, complete bool) {
	n := len(c.members)
	limit := min(n, maxCellScan)
	start := c.cursor
	for i := range limit {
		m := c.members[(start+i)%n]
		c.cursor = (start + i + 1) % n
		if need.Fits(m.free) && !visit(m.node) {
			return false, true
		}
	}
	return true, limit == n
}
