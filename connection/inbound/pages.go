package inbound

import (
	"errors"
	"io"
	"sync"
)

// pageBytes is the size of a page, in bytes.
const pageBytes = 16 << 10

type page [pageBytes]byte

// pages are reused, so that bodies that never end leave nothing to collect.
var pages = sync.Pool{New: func() any { return new(page) }}

// ReadAll reads until the end of a body, like io.ReadAll. It allocates the result once the body is
// complete.
func ReadAll(r io.Reader) ([]byte, error) {
	var used []*page
	defer func() {
		for _, p := range used {
			pages.Put(p)
		}
	}()
	size := 0
	for {
		if size == len(used)*pageBytes {
			used = append(used, pages.Get().(*page))
		}
		n, err := r.Read(used[len(used)-1][size%pageBytes:])
		size += n
		if errors.Is(err, io.EOF) {
			return join(used, size), nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// join returns the first size bytes of the pages.
func join(used []*page, size int) []byte {
	out := make([]byte, 0, size)
	for _, p := range used {
		out = append(out, p[:min(pageBytes, size-len(out))]...)
	}
	return out
}
