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

// EditID identifies one edit across all its attempts.
type EditID string

// maxRecordedEdits is the number of past edits that a record lists. An edit whose
// response was lost is found there even if other edits have been made since.
const maxRecordedEdits = 64

// maxEditAttempts limits the attempts of one edit whose responses are lost.
const maxEditAttempts = 4

// Record is the value of Key in the store.
type Record struct {
	Snapshot heatherhub.Snapshot `msgpack:"snapshot"`
	// Edits lists the last edits, newest last.
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
		return nil, heatherhub.ErrInvalid.Wrap(err, "key %s contains an invalid configuration: apply the declarations again", Key)
	}
	return &r, nil
}

// editRequest holds the arguments of an edit, which stay the same in all attempts.
type editRequest struct {
	id     EditID
	expect heatherhub.Version
	change func(*heatherhub.Snapshot) error
}

// Edit changes the configuration from version expect to the next version and returns
// the configuration that is active afterwards. The change function modifies a copy.
//
// Errors: ErrConflict means that expect is not the newest version, and names that
// version; ErrInvalid lists the errors in the changed configuration; ErrUnavailable
// means that nothing was changed; ErrUnknown means that the change may have taken
// effect or may still do so.
func (k *Keeper) Edit(ctx context.Context, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	return k.EditAs(ctx, EditID(uuid.NewString()), expect, change)
}

// EditAs is Edit with an id chosen by the caller, which can repeat an edit whose
// response it did not get: edits with the same id take effect once.
func (k *Keeper) EditAs(ctx context.Context, id EditID, expect heatherhub.Version, change func(*heatherhub.Snapshot) error) (*heatherhub.Snapshot, error) {
	s, err := k.edit(ctx, editRequest{id: id, expect: expect, change: change})
	k.metrics.countEdit(err)
	return s, err
}

func (k *Keeper) edit(ctx context.Context, r editRequest) (*heatherhub.Snapshot, error) {
	maybeWritten := false
	for range maxEditAttempts {
		s, err := k.tryEdit(ctx, r, maybeWritten)
		if heatherhub.CodeOf(err) != heatherhub.CodeUnknown {
			return s, err
		}
		maybeWritten = true
	}
	return nil, heatherhub.ErrUnknown.New("the store's response was lost: read the configuration; if it is still version %d, repeat the change", r.expect)
}

// tryEdit reads the record and writes the change on top of it, unless the record already
// lists the edit. After a lost response only the record shows whether the edit was
// written, so a failed read is then ErrUnknown.
func (k *Keeper) tryEdit(ctx context.Context, r editRequest, maybeWritten bool) (*heatherhub.Snapshot, error) {
	e, err := k.readEntry(ctx)
	if err != nil {
		return nil, readError(err, maybeWritten)
	}
	base, edits := k.editBase(e)
	if slices.Contains(edits, r.id) {
		return k.Current(), nil
	}
	if base.Version != r.expect {
		return nil, conflictError(r.expect, base.Version)
	}
	next, err := applyChange(base, r.change)
	if err != nil {
		return nil, err
	}
	value, err := encodeRecord(next, append(slices.Clone(edits), r.id))
	if err != nil {
		return nil, err
	}
	s, err := k.writeRecord(ctx, e.Revision, value, next)
	if maybeWritten && heatherhub.CodeOf(err) == heatherhub.CodeUnavailable {
		err = heatherhub.ErrUnknown.Wrap(err, "an earlier attempt may have taken effect")
	}
	return s, err
}

// editBase returns the configuration that an edit starts from and the recorded edits.
// It activates the record in the store if that is newer. If the record is older or
// invalid, the edit starts from the configuration that is active on this host.
func (k *Keeper) editBase(e store.Entry) (*heatherhub.Snapshot, []EditID) {
	if e.Value == nil {
		return k.Current(), nil
	}
	k.revision.Store(uint64(e.Revision))
	r, err := decodeRecord(e.Value)
	if err != nil {
		return k.Current(), nil
	}
	k.activate(&r.Snapshot)
	return k.Current(), r.Edits
}

// writeRecord replaces the record if its revision is still expect, and activates next.
func (k *Keeper) writeRecord(ctx context.Context, expect store.Revision, value []byte, next *heatherhub.Snapshot) (*heatherhub.Snapshot, error) {
	ctx, cancel := deadline.WithTimeout(ctx, k.cfg.Clock, callTimeout)
	defer cancel()
	rev, err := k.cfg.Store.CompareAndSwap(ctx, store.Write{Key: Key, Value: value, Expect: expect})
	switch heatherhub.CodeOf(err) {
	case heatherhub.CodeOK:
		k.revision.Store(uint64(rev))
		k.activate(next)
		return next, nil
	case heatherhub.CodeConflict:
		// Either another writer or an attempt of this edit whose response was lost
		// has changed the record; the next attempt reads it to find out.
		return nil, heatherhub.ErrUnknown.Wrap(err, "the record has changed")
	default:
		return nil, err
	}
}

func readError(err error, maybeWritten bool) error {
	if maybeWritten {
		return heatherhub.ErrUnknown.Wrap(err, "the record cannot be read back")
	}
	return heatherhub.ErrUnavailable.Wrap(err, "the configuration was not changed because the store cannot be read: try again when the store is available")
}

func conflictError(expect, newest heatherhub.Version) error {
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
		return nil, joinErrors(errs)
	}
	return next, nil
}

// clone returns a deep copy of a snapshot.
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
	if len(edits) > maxRecordedEdits {
		edits = edits[len(edits)-maxRecordedEdits:]
	}
	value, err := msgpack.Marshal(&Record{Snapshot: *s, Edits: edits})
	if err != nil {
		return nil, heatherhub.ErrInvalid.Wrap(err, "cannot encode the configuration")
	}
	if len(value) > store.MaxValueBytes {
		return nil, heatherhub.ErrInvalid.New("the configuration has %d bytes, the limit of the store is %d: declare fewer workloads or presets", len(value), store.MaxValueBytes)
	}
	return value, nil
}

// joinErrors returns one ErrInvalid with the message of each error on its own line.
func joinErrors(errs []error) error {
	text := ""
	for i, err := range errs {
		if i > 0 {
			text += "\n"
		}
		text += heatherhub.Message(err)
	}
	return heatherhub.ErrInvalid.New("%s", text)
}
