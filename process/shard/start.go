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

// layoutRetryInterval is the time between two attempts to read or store the layout.
const layoutRetryInterval = time.Second

// checkLayout stores the layout if the store has none yet, and otherwise compares it with
// the stored one. It retries until the store answers or ctx ends.
func (rt *Runtime) checkLayout(ctx context.Context) error {
	if err := rt.cfg.Layout.Check(); err != nil {
		return err
	}
	for {
		isFinal, err := rt.storeOrCompareLayout(ctx)
		if isFinal || ctx.Err() != nil {
			return err
		}
		rt.log.Warn("cannot read or store the layout: retrying", zap.Error(err))
		select {
		case <-ctx.Done():
			return nil
		case <-rt.clock.After(layoutRetryInterval):
		}
	}
}

// storeOrCompareLayout makes one attempt of checkLayout. It returns false if the attempt
// has to be repeated.
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
	var stored Layout
	if err := heatherhub.Unmarshal(e.Value, &stored); err != nil {
		return true, heatherhub.ErrInvalid.Wrap(err, "the layout in the store cannot be decoded: restore key %s", layout.StoreKey)
	}
	if !stored.Equal(rt.cfg.Layout) {
		return true, heatherhub.ErrInvalid.New("the layout in the settings is %v, but the store has %v: use the stored one", rt.cfg.Layout.Shards, stored.Shards)
	}
	return true, nil
}

// metrics holds the Prometheus metrics of a runtime.
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

// count counts a call by kind and outcome, which is "ok" or the code of the error.
func (m *metrics) count(k core.CallKind, err error) {
	outcome := string(heatherhub.CodeOf(err))
	if err == nil {
		outcome = "ok"
	}
	m.calls.WithLabelValues(string(k), outcome).Inc()
}
