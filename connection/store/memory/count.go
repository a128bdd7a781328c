package memory

// Kind is a method of the store.
type Kind string

// Kinds of calls.
const (
	KindGet    Kind = "get"
	KindList   Kind = "list"
	KindWrite  Kind = "write"
	KindGrant  Kind = "grant"
	KindRenew  Kind = "renew"
	KindRevoke Kind = "revoke"
	KindWatch  Kind = "watch"
)

func (k Kind) isWrite() bool {
	switch k {
	case KindGet, KindList, KindWatch:
		return false
	default:
		return true
	}
}

// Counts are the numbers of calls since the store was created.
type Counts struct {
	Gets    int `json:"gets"`
	Lists   int `json:"lists"`
	Writes  int `json:"writes"`
	Grants  int `json:"grants"`
	Renews  int `json:"renews"`
	Revokes int `json:"revokes"`
	Watches int `json:"watches"`
	// Waiting is the number of watches that wait at present. Watches counts them too.
	Waiting int `json:"waiting"`
	// Conflicts counts writes with another revision than expected, Lost calls whose
	// answer was dropped, Refused calls above the rate limit, and Unavailable calls
	// while the store was down.
	Conflicts   int `json:"conflicts"`
	Lost        int `json:"lost"`
	Refused     int `json:"refused"`
	Unavailable int `json:"unavailable"`
	// BytesWritten and BytesRead count the bytes of values, without keys.
	BytesWritten int `json:"bytesWritten"`
	BytesRead    int `json:"bytesRead"`
}

// Total returns the number of calls of all kinds.
func (c Counts) Total() int {
	return c.Gets + c.Lists + c.Watches + c.TotalWrites()
}

// TotalWrites returns the number of writes and lease calls.
func (c Counts) TotalWrites() int {
	return c.Writes + c.Grants + c.Renews + c.Revokes
}

func (c *Counts) add(k Kind) {
	switch k {
	case KindGet:
		c.Gets++
	case KindList:
		c.Lists++
	case KindWrite:
		c.Writes++
	case KindGrant:
		c.Grants++
	case KindRenew:
		c.Renews++
	case KindRevoke:
		c.Revokes++
	case KindWatch:
		c.Watches++
	}
}

// Counts returns a copy of the counts.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}
