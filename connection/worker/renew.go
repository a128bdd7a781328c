package worker

import (
	"context"

	"heatherhub.example/heatherhub"
)

// Renew renews leases and returns all tasks of the worker. While the tasks of the worker
// stay the same, the call and the answer are compact and do not list them.
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
		err = heatherhub.ErrUnknown.New("worker %s answered a renewal without a report: check the worker's version", id)
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

// saveReport stores a report as the last one, if it is from this worker. After an error
// the lease times are unknown, so the next report must be a full one.
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
