package config

import (
	"context"
	"slices"

	"github.com/google/uuid"
	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/deadline"
	"heatherhub.example/heatherhub/connection/store"
)

// EditID names one edit across all its attempts.
type EditID string

// editsKept is the number of past edits that a record names. An edit whose
// answer was lost finds itself there, also when others have edited since.
const editsKept = 64

// writeAttempts bounds the attempts of one edit whose answers are lost.
const writeAttempts = 4

// Record is the value of Key.
type Record struct {
	Snapshot heatherhub.Snapshot `msgpack:"snapshot"`
	// Edits names the last edits, the newest last.
	Edits []EditID `msgpack:"edits"`
}

// DecodeMsgpack decodes a record and checks it.
func (r *Record) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire Record
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if w.Snapshot.Version == 0 {
		return heatherhub.ErrInvalid.New("the record has no version: apply the declarations again")
	}
	*r = Record(w)
	return nil
}

func decodeRecord(value []byte) (*Record, error) {
	var r Record
	if err := heatherhub.Unmarshal(value, &r); err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "key %s holds no valid configuration: apply the declarations again", Key)
	}
	return &r, nil
}

// attempt is one edit on its way into the store.
type attempt struct {
	id     EditID
	expect heatherhub.Version
	change func(*heatherhub.Snapshot) error
}

// Edit changes the configuration from the version expect to the next one and
// returns what is in force then. The change gets a copy.
//
// Errors: ErrConflict names the version to read when expect is not the newest;
// ErrInvalid lists what the change made wrong; ErrUnavailable says that nothing
// was changed; ErrUnknown says that the change may yet take effect.
func (k *Keeper) Edit(ctx context.Context, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	return k.EditAs(ctx, EditID(uuid.NewString()), expect, change)
}

// EditAs is Edit for a caller that repeats an edit whose answer it lost: the same
// id takes effect once.
func (k *Keeper) EditAs(ctx context.Context, id EditID, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	s, err := k.edit(ctx, attempt{id: id, expect: expect, change: change})
	k.metrics.edited(err)
	return s, err
}

func (k *Keeper) edit(ctx context.Context, a attempt) (*heatherhub.Snapshot, error) {
	maybeWritten := false
	for range writeAttempts {
		s, err := k.try(ctx, a, maybeWritten)
		if heatherhub.CodeOf(err) != heatherhub.CodeUnknown {
			return s, err
		}
		maybeWritten = true
	}
	return nil, heatherhub.ErrUnknown.New("the store's answer was lost: read the configuration; if it is still version %d, repeat the change", a.expect)
}

// try reads the record, and writes the change on top of it unless it is there.
// After a lost answer only the record can tell, so a failed read is unknown then.
func (k *Keeper) try(ctx context.Context, a attempt, maybeWritten bool) (*heatherhub.Snapshot, error) {
	e, err := k.get(ctx)
	if err != nil {
		return nil, readError(err, maybeWritten)
	}
	base, edits := k.base(e)
	if slices.Contains(edits, a.id) {
		return k.Current(), nil
	}
	if base.Version != a.expect {
		return nil, conflict(a.expect, base.Version)
	}
	next, err := applyChange(base, a.change)
	if err != nil {
		return nil, err
	}
	value, err := encodeRecord(next, append(slices.Clone(edits), a.id))
	if err != nil {
		return nil, err
	}
	s, err := k.write(ctx, e.Revision, value, next)
	if maybeWritten && heatherhub.CodeOf(err) == heatherhub.CodeUnavailable {
		err = heatherhub.ErrUnknown.Wrap(err, "an earlier attempt may have taken effect")
	}
	return s, err
}

// base returns what an edit builds on, and takes it into force if it is newer:
// the record in the store, or what is in force here if the store has an older or
// an invalid value.
func (k *Keeper) base(e store.Entry) (*heatherhub.Snapshot, []EditID) {
	if e.Value == nil {
		return k.Current(), nil
	}
	k.revision.Store(uint64(e.Revision))
	r, err := decodeRecord(e.Value)
	if err != nil {
		return k.Current(), nil
	}
	k.take(&r.Snapshot)
	return k.Current(), r.Edits
}

func (k *Keeper) write(ctx context.Context, expect store.Revision, value []byte, next *heatherhub.Snapshot) (*heatherhub.Snapshot, error) {
	ctx, cancel := deadline.WithTimeout(ctx, k.cfg.Clock, callTimeout)
	defer cancel()
	rev, err := k.cfg.Store.CompareAndSwap(ctx, store.Write{Key: Key, Value: value, Expect: expect})
	switch heatherhub.CodeOf(err) {
	case heatherhub.CodeOK:
		k.revision.Store(uint64(rev))
		k.take(next)
		return next, nil
	case heatherhub.CodeConflict:
		// Another writer, or an attempt of this edit whose answer was lost:
		// the record tells which.
		return nil, heatherhub.ErrUnknown.Wrap(err, "the record has changed")
	default:
		return nil, err
	}
}

func readError(err error, maybeWritten bool) error {
	if maybeWritten {
		return heatherhub.ErrUnknown.Wrap(err, "the record cannot be read back")
	}
	return heatherhub.ErrUnavailable.Wrap(err, "the configuration was not changed, because the store cannot be read: try again when the store answers")
}

func conflict(expect, newest heatherhub.Version) error {
	return heatherhub.ErrConflict.New("version %d is not the newest: read version %d and make the change on it", expect, newest)
}

// applyChange returns the changed and checked copy of base.
func applyChange(base *heatherhub.Snapshot, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	next, err := clone(base)
	if err != nil {
		return nil, err
	}
	if err := change(next); err != nil {
		return nil, err
	}
	next.Version = base.Version + 1
	if errs := next.Check(); len(errs) > 0 {
		return nil, invalid(errs)
	}
	return next, nil
}

// clone copies a snapshot deeply.
func clone(s *heatherhub.Snapshot) (*heatherhub.Snapshot, error) {
	data, err := msgpack.Marshal(s)
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode the configuration")
	}
	var out heatherhub.Snapshot
	if err := heatherhub.Unmarshal(data, &out); err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot decode the configuration")
	}
	return &out, nil
}

func encodeRecord(s *heatherhub.Snapshot, edits []EditID) ([]byte, error) {
	if len(edits) > editsKept {
		edits = edits[len(edits)-editsKept:]
	}
	value, err := msgpack.Marshal(&Record{Snapshot: *s, Edits: edits})
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode the configuration")
	}
	if len(value) > store.MaxValueBytes {
		return nil, heatherhub.ErrInvalid.New("the configuration takes %d bytes, the store holds %d: declare fewer workloads or presets", len(value), store.MaxValueBytes)
	}
	return value, nil
}

// invalid joins all mistakes into one error, one line each.
func invalid(errs []error) error {
	text := ""
	for i, err := range errs {
		if i > 0 {
			text += "\n"
		}
		text += heatherhub.Message(err)
	}
	return heatherhub.ErrInvalid.New("%s", text)
}
