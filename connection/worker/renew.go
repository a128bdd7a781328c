package worker

import (
	"context"

	"heatherhub.example/heatherhub"
)

// Renew renews leases and returns all tasks of the worker. While nothing changes
// at the worker, neither the call nor the answer names the tasks.
func (c *Client) Renew(ctx context.Context, id heatherhub.WorkerID, cmd RenewCommand) (Report, error) {
	wc, err := c.conn(id)
	if err != nil {
		return Report{}, err
	}
	last := wc.last.Load()
	if compact, ok := compactRenewal(cmd, last); ok {
		reply, err := c.renew(ctx, id, compact)
		switch {
		case err != nil:
			return wc.saveReport(id, Report{}, err)
		case reply.Usage != nil:
			r, err := reply.Usage.unpack(last, cmd.LeaseUntil)
			return wc.saveReport(id, r, err)
		case reply.Report != nil:
			return wc.saveReport(id, *reply.Report, nil)
		}
	}
	reply, err := c.renew(ctx, id, RenewCall{Command: cmd})
	if err == nil && reply.Report == nil {
		err = heatherhub.ErrUnknown.New("worker %s answered a renewal without a report: check its version", id)
	}
	if err != nil {
		return wc.saveReport(id, Report{}, err)
	}
	return wc.saveReport(id, *reply.Report, nil)
}

func (c *Client) renew(ctx context.Context, id heatherhub.WorkerID, call RenewCall) (RenewReply, error) {
	var reply RenewReply
	err := c.command(ctx, id, PathRenew, call, &reply)
	return reply, err
}

// saveReport takes a report as the last one, if it is the worker's own. After an error
// the ends of its leases are not known, so the next report must be whole.
func (wc *workerConn) saveReport(id heatherhub.WorkerID, r Report, err error) (Report, error) {
	if err == nil && r.Usage.Worker != id {
		err = heatherhub.ErrUnknown.New("worker %s answered with the report of %q: check the host list", id, string(r.Usage.Worker))
	}
	if err != nil {
		wc.last.Store(nil)
		return Report{}, err
	}
	wc.last.Store(&r)
	return r, nil
}
