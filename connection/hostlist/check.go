package hostlist

import (
	"encoding/json"

	"heatherhub.example/heatherhub"
)

// maxConcurrency bounds the requests and connections of one worker.
const maxConcurrency = 1_000_000

// Check returns the first invalid field of a host as heatherhub.ErrInvalid.
func (h *Host) Check() error {
	if err := heatherhub.CheckName("host id", h.ID); err != nil {
		return err
	}
	field := "host " + h.ID
	if err := heatherhub.CheckName(field+": domain", h.Domain); err != nil {
		return err
	}
	if err := heatherhub.CheckAddress(field, h.Address); err != nil {
		return err
	}
	if err := h.Capacity.CheckHost(); err != nil {
		return err
	}
	return h.checkRoleAndState(field)
}

func (h *Host) checkRoleAndState(field string) error {
	switch {
	case h.Role != RoleWorker && h.Role != RoleEntry:
		return heatherhub.ErrInvalid.New("%s: role %.40q is neither worker nor entry", field, h.Role)
	case h.State != StateLive && h.State != StateLeaving:
		return heatherhub.ErrInvalid.New("%s: state %.40q is neither live nor leaving", field, h.State)
	case h.Slots < 0 || h.Connections < 0 || h.Slots > maxConcurrency || h.Connections > maxConcurrency:
		return heatherhub.ErrInvalid.New("%s: slots and connections must be 0 to %d", field, maxConcurrency)
	case len(h.Rack) > heatherhub.MaxNameLength:
		return heatherhub.ErrInvalid.New("%s: the rack has %d bytes: use at most %d", field, len(h.Rack), heatherhub.MaxNameLength)
	}
	return nil
}

// UnmarshalJSON decodes a host and checks it.
func (h *Host) UnmarshalJSON(data []byte) error {
	type wire Host
	var w wire
	if err := json.Unmarshal(data, &w); err != nil {
		return err
	}
	next := Host(w)
	if err := next.Check(); err != nil {
		return err
	}
	*h = next
	return nil
}
