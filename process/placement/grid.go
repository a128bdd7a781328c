package placement

import (
	"math/bits"

	"heatherhub.example/heatherhub"
)

const (
	// gridWidth is the number of rows and columns, one per bit of gridRow.filled.
	gridWidth = 64
	// subBuckets is the number of buckets per doubling of an amount.
	subBuckets = 4
	cpuUnit    = 250 * heatherhub.MilliCPU(1)
	memoryUnit = 512 * heatherhub.Megabytes(1)
	// maxCellScan limits the members of one cell that a search looks at.
	maxCellScan = 32
)

// bucketOf returns the bucket of an amount in units, on a logarithmic scale with
// subBuckets buckets per doubling.
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

// cell holds the members in one bucket of free processors and free memory.
type cell struct {
	members []*member
	// cursor is where the next scan starts, so that successive scans that stop early
	// look at different members.
	cursor int
}

// gridRow holds the cells of one bucket of free processors.
type gridRow struct {
	// filled has a bit for each cell that is not empty.
	filled uint64
	cells  [gridWidth]cell
}

// member is the position of one node in one grid; grid is nil if it is in none.
type member struct {
	node        *node
	free        heatherhub.Resources
	grid        *grid
	row, column int
	position    int
}

// grid finds nodes by free processors (rows) and memory (columns). The cost of a search
// depends on the number of cells, not on the number of nodes.
type grid struct {
	// filled has a bit for each row that is not empty.
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

// update moves a member to the cell of its free resources in g, or removes it if g is
// nil.
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

// findBestFit visits nodes on which request fits, in ascending order of free resources,
// until visit returns false. It reports whether no node was left out by maxCellScan.
func (g *grid) findBestFit(request heatherhub.Resources, visit func(*node) bool) (complete bool) {
	complete = true
	row, column := bucketsOf(request)
	rows := g.filled & (^uint64(0) << row)
	for ; rows != 0; rows &= rows - 1 {
		r := g.rows[bits.TrailingZeros64(rows)]
		columns := r.filled & (^uint64(0) << column)
		for ; columns != 0; columns &= columns - 1 {
			proceed, all := r.cells[bits.TrailingZeros64(columns)].scan(request, visit)
			complete = complete && all
			if !proceed {
				return complete
			}
		}
	}
	return complete
}

// findWorstFit visits nodes on which request fits, in descending order of free
// resources, until visit returns false.
func (g *grid) findWorstFit(request heatherhub.Resources, visit func(*node) bool) {
	row, column := bucketsOf(request)
	rows := g.filled & (^uint64(0) << row)
	for rows != 0 {
		i := bits.Len64(rows) - 1
		rows &^= 1 << i
		r := g.rows[i]
		columns := r.filled & (^uint64(0) << column)
		for columns != 0 {
			j := bits.Len64(columns) - 1
			columns &^= 1 << j
			if proceed, _ := r.cells[j].scan(request, visit); !proceed {
				return
			}
		}
	}
}

// scan visits the members of a cell on which request fits. proceed is whether visit
// allows further visits, complete whether all members were looked at or visit stopped.
func (c *cell) scan(request heatherhub.Resources, visit func(*node) bool) (proceed, complete bool) {
	n := len(c.members)
	limit := min(n, maxCellScan)
	start := c.cursor
	for i := range limit {
		m := c.members[(start+i)%n]
		c.cursor = (start + i + 1) % n
		if request.Fits(m.free) && !visit(m.node) {
			return false, true
		}
	}
	return true, limit == n
}
