package core

import (
	"strconv"
	"strings"

	"github.com/vmihailenco/msgpack/v5"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
)

// Parts of the store keys of ownership. One list of a failure domain's prefix returns
// both its sessions and its owner records.
const (
	ownPrefix     = "own/"
	sessionFolder = "session/"
	shardFolder   = "shard/"
)

// ownerRecord is the stored record of a shard's owner.
type ownerRecord struct {
	Owner   heatherhub.HostID `msgpack:"o"`
	Epoch   heatherhub.Epoch  `msgpack:"e"`
	Session store.LeaseID     `msgpack:"s"`
	// Released means that the last owner has ended all its work, so that a successor
	// does not need to wait for leases to end.
	Released bool `msgpack:"r,omitempty"`

	// revision is the store revision that the record was read at or written with.
	revision store.Revision
}

// DecodeMsgpack decodes a record and checks it.
func (r *ownerRecord) DecodeMsgpack(d *msgpack.Decoder) error {
	type wire ownerRecord
	var w wire
	if err := d.Decode(&w); err != nil {
		return err
	}
	if w.Epoch == 0 {
		return heatherhub.ErrInvalid.New("owner record has no epoch: restore the record in the store")
	}
	*r = ownerRecord(w)
	return nil
}

func (r ownerRecord) encode() []byte {
	value, err := msgpack.Marshal(r)
	if err != nil {
		panic(err) // strings and integers always encode
	}
	return value
}

func domainPrefix(d heatherhub.FailureDomain) string {
	return ownPrefix + string(d) + "/"
}

func sessionKey(d heatherhub.FailureDomain, id store.LeaseID) string {
	return domainPrefix(d) + sessionFolder + strconv.FormatUint(uint64(id), 10)
}

func ownerKey(s heatherhub.ShardID) string {
	return domainPrefix(s.Domain) + shardFolder + strconv.Itoa(s.Index)
}

func ledgerPrefix(s heatherhub.ShardID) string {
	return "shard/" + s.String() + "/log/"
}

// ownerListing holds the sessions and owner records of one listing.
type ownerListing struct {
	sessions map[store.LeaseID]heatherhub.HostID
	owners   map[heatherhub.ShardID]ownerRecord
}

// parseListing parses the entries below ownPrefix. It skips entries that it cannot
// decode.
func parseListing(entries []store.Entry) ownerListing {
	l := ownerListing{
		sessions: make(map[store.LeaseID]heatherhub.HostID),
		owners:   make(map[heatherhub.ShardID]ownerRecord),
	}
	for _, e := range entries {
		l.parse(e)
	}
	return l
}

func (l *ownerListing) parse(e store.Entry) {
	parts := strings.Split(strings.TrimPrefix(e.Key, ownPrefix), "/")
	if len(parts) != 3 {
		return
	}
	n, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return
	}
	switch parts[1] + "/" {
	case sessionFolder:
		l.sessions[store.LeaseID(n)] = heatherhub.HostID(e.Value)
	case shardFolder:
		var r ownerRecord
		if heatherhub.Unmarshal(e.Value, &r) == nil {
			r.revision = e.Revision
			l.owners[heatherhub.ShardID{Domain: heatherhub.FailureDomain(parts[0]), Index: int(n)}] = r
		}
	}
}
