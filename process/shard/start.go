package shard

import (
	"context"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/process/shard/core"
	"heatherhub.example/heatherhub/process/shard/layout"
)

// layoutRetryInterval is the time between two attempts to read the layout.
const layoutRetryInterval = time.Second

// checkLayout writes the layout at the very first start and compares it at every
// other. It waits while the store does not answer.
func (rt *Runtime) checkLayout(ctx context.Context) error {
	if err := rt.cfg.Layout.Check(); err != nil {
		return err
	}
	for {
		isDone, err := rt.storeOrCompareLayout(ctx)
		if isDone || ctx.Err() != nil {
			return err
		}
		rt.log.Warn("cannot read the layout yet", zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-rt.clock.After(layoutRetryInterval):
		}
	}
}

func (rt *Runtime) storeOrCompareLayout(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e, err := rt.cfg.Store.Get(ctx, layout.StoreKey)
	if err != nil {
		return false, err
	}
	if e.Revision == 0 {
		value, err := msgpack.Marshal(rt.cfg.Layout)
		if err != nil {
			return true, err
		}
		_, err = rt.cfg.Store.CompareAndSwap(ctx, store.Write{Key: layout.StoreKey, Value: value})
		return err == nil, err
	}
	var kept Layout
	if err := heatherhub.Unmarshal(e.Value, &kept); err != nil {
		return true, heatherhub.ErrInvalid.Wrap(err, "the layout in the store cannot be decoded: restore key %s", layout.StoreKey)
	}
	if !kept.Equal(rt.cfg.Layout) {
		return true, heatherhub.ErrInvalid.New("the settings have shards %v but the store has %v: use the stored ones", rt.cfg.Layout.Shards, kept.Shards)
	}
	return true, nil
}

type metrics struct {
	owned        prometheus.Gauge
	sessionValid prometheus.Gauge
	calls        *prometheus.CounterVec
}

func newMetrics(r prometheus.Registerer) *metrics {
	m := &metrics{
		owned: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherhub_shards_owned", Help: "Shards that this host owns.",
		}),
		sessionValid: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "heatherhub_session_valid", Help: "1 while the host's session lets it start and stop tasks.",
		}),
		calls: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "heatherhub_shard_calls_total", Help: "Calls to the store and the workers by kind and outcome.",
		}, []string{"kind", "outcome"}),
	}
	if r != nil {
		r.MustRegister(m.owned, m.sessionValid, m.calls)
	}
	return m
}

func (m *metrics) set(owned int, isValid bool) {
	m.owned.Set(float64(owned))
	m.sessionValid.Set(0)
	if isValid {
		m.sessionValid.Set(1)
	}
}

func (m *metrics) count(k core.CallKind, err error) {
	outcome := string(heatherhub.CodeOf(err))
	if err == nil {
		outcome = "ok"
	}
	m.calls.WithLabelValues(string(k), outcome).Inc()
}
