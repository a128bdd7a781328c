package hostlist

import (
	"encoding/json"
	"net/netip"

	"heatherhub.example/heatherhub"
)

// Check returns the first invalid field of a host as heatherhub.ErrInvalid.
func (h *Host) Check() error {
	if err := heatherhub.CheckName("host id", h.ID); err != nil {
		return err
	}
	field := "host " + h.ID
	if err := heatherhub.CheckName(field+": domain", h.Domain); err != nil {
		return err
	}
	if _, err := netip.ParseAddrPort(h.Address); err != nil {
		return heatherhub.ErrInvalid.New("%s: address %q is not an IP address and a port: use for example 10.0.0.9:7100", field, h.Address)
	}
	if err := h.Capacity.Check(); err != nil {
		return err
	}
	return h.checkRoleAndState(field)
}

func (h *Host) checkRoleAndState(field string) error {
	switch {
	case h.Role != RoleWorker && h.Role != RoleEntry:
		return heatherhub.ErrInvalid.New("%s: role %q is neither worker nor entry", field, h.Role)
	case h.State != StateLive && h.State != StateLeaving:
		return heatherhub.ErrInvalid.New("%s: state %q is neither live nor leaving", field, h.State)
	case h.Slots < 0 || h.Connections < 0:
		return heatherhub.ErrInvalid.New("%s: slots and connections must be 0 or more", field)
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
