package store

import (
	"encoding/json"

	"heatherhub.example/heatherhub"
)

// MaxKeyBytes is the longest key, in bytes.
const MaxKeyBytes = 512

// Check returns the first invalid field of a write as ErrInvalid.
func (w *Write) Check() error {
	switch {
	case w.Key == "" || len(w.Key) > MaxKeyBytes:
		return heatherhub.ErrInvalid.New("key %.40q has %d bytes: use 1 to %d", w.Key, len(w.Key), MaxKeyBytes)
	case len(w.Value) > MaxValueBytes:
		return heatherhub.ErrInvalid.New("value of %s has %d bytes: split it, the limit is %d", w.Key, len(w.Value), MaxValueBytes)
	case w.Delete && len(w.Value) > 0:
		return heatherhub.ErrInvalid.New("the deletion of %s has a value: leave it out", w.Key)
	}
	return nil
}

// UnmarshalJSON decodes a write and checks it. w is unchanged on error.
func (w *Write) UnmarshalJSON(data []byte) error {
	type wire Write
	var next wire
	if err := json.Unmarshal(data, &next); err != nil {
		return err
	}
	checked := Write(next)
	if err := checked.Check(); err != nil {
		return err
	}
	*w = checked
	return nil
}

// Check returns the first invalid field of an entry as ErrInvalid.
func (e *Entry) Check() error {
	switch {
	case e.Revision == 0 && len(e.Value) > 0:
		return heatherhub.ErrInvalid.New("key %.40q has a value but no revision: check the store's version", e.Key)
	case len(e.Value) > MaxValueBytes:
		return heatherhub.ErrInvalid.New("value of %s has %d bytes, the limit is %d", e.Key, len(e.Value), MaxValueBytes)
	}
	return nil
}

// UnmarshalJSON decodes an entry and checks it. e is unchanged on error.
func (e *Entry) UnmarshalJSON(data []byte) error {
	type wire Entry
	var next wire
	if err := json.Unmarshal(data, &next); err != nil {
		return err
	}
	checked := Entry(next)
	if err := checked.Check(); err != nil {
		return err
	}
	*e = checked
	return nil
}
