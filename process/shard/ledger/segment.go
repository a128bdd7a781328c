package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// segmentContent is the value of one segment. The epoch seals it: an owner of a lower
// epoch no longer has its revision.
type segmentContent struct {
	Epoch heatherhub.Epoch `msgpack:"e"`
	// Seq is the number of the last record that the shard had in any segment.
	Seq     uint64               `msgpack:"s"`
	Records []msgpack.RawMessage `msgpack:"r"`
}

// segment is what the ledger knows of one segment in the store.
type segment struct {
	revision    store.Revision
	recordCount int
	// liveEntities has the entities whose state still needs the segment.
	liveEntities map[entity]bool
}

func newSegment() *segment {
	return &segment{liveEntities: make(map[entity]bool)}
}

const maxSegmentNumber = 99_999_999

func segmentKey(prefix string, n int) string {
	return fmt.Sprintf("%s%08d", prefix, n)
}

func segmentNumber(prefix, key string) (int, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || n < 0 || n > maxSegmentNumber {
		return 0, heatherhub.ErrInvalid.New("store key %q is no segment: remove it", key)
	}
	return n, nil
}

func decodeSegment(e store.Entry) (segmentContent, error) {
	var c segmentContent
	if len(e.Value) == 0 {
		return c, nil
	}
	if err := heatherhub.Unmarshal(e.Value, &c); err != nil {
		return c, heatherhub.ErrInvalid.Wrap(err, "segment %s cannot be decoded: restore it", e.Key)
	}
	return c, nil
}

func (c segmentContent) encode() []byte {
	value, err := msgpack.Marshal(c)
	if err != nil {
		panic(err) // raw messages and integers always encode
	}
	return value
}

func (c segmentContent) recordBytes() int {
	n := 0
	for _, raw := range c.Records {
		n += len(raw)
	}
	return n
}

func (c segmentContent) decodeRecords() ([]Record, error) {
	records := make([]Record, len(c.Records))
	for i, raw := range c.Records {
		if err := heatherhub.Unmarshal(raw, &records[i]); err != nil {
			return nil, err
		}
	}
	return records, nil
}
