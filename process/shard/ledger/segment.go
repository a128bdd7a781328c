package ledger

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// segmentContent is the stored value of a segment. Writing it with a higher epoch seals
// it: the previous owner no longer knows its revision and cannot change it.
type segmentContent struct {
	Epoch heatherhub.Epoch `msgpack:"e"`
	// Seq is the number of the shard's last record up to this segment.
	Seq     uint64               `msgpack:"s"`
	Records []msgpack.RawMessage `msgpack:"r"`
}

// segment is the index entry of one segment in the store.
type segment struct {
	revision    store.Revision
	recordCount int
	// liveEntities holds the entities whose state depends on a record in the segment.
	liveEntities map[entity]bool
}

func newSegment() *segment {
	return &segment{liveEntities: make(map[entity]bool)}
}

// maxSegmentNumber is the largest number with the eight digits of a segment key.
const maxSegmentNumber = 99_999_999

// segmentKey returns the store key of segment n. The number is padded with zeros, so
// that keys and numbers have the same order.
func segmentKey(prefix string, n int) string {
	return fmt.Sprintf("%s%08d", prefix, n)
}

func segmentNumber(prefix, key string) (int, error) {
	n, err := strconv.Atoi(strings.TrimPrefix(key, prefix))
	if err != nil || n < 0 || n > maxSegmentNumber {
		return 0, heatherhub.ErrInvalid.New("store key %q is not a segment: remove it", key)
	}
	return n, nil
}

// decodeSegment decodes the value of a segment. A missing entry is an empty segment.
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

// recordBytes returns the encoded size of the records.
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
