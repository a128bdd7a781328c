package dispatch

import (
	"cmp"
	"maps"
	"slices"

	"heatherhub.example/heatherhub"
)

// A new owner takes over the interference model of the previous one. Without it,
// fillers would slow down serving tasks on about half of the workers until the model is
// learned again. The snapshot is only a hint: it is written rarely and read at a
// takeover.

// InterferenceSnapshot is the part of the interference model that an owner stores for
// the next one.
type InterferenceSnapshot struct {
	// Base has the mean headroom, by serving image, without fillers. The tags differ from those
	// of an earlier model, whose values are in other units.
	Base map[string]Coefficient `msgpack:"hb,omitempty" json:"base"`
	// Fillers has the mean coefficient, by filler image, over all serving images.
	Fillers map[string]Coefficient `msgpack:"hf,omitempty" json:"fillers"`
	Pairs   []PairCoefficient      `msgpack:"hp,omitempty" json:"pairs"`
	// RunTimes has the learned run times by queue.
	RunTimes map[heatherhub.QueueID]RunTime `msgpack:"r,omitempty" json:"runTimes,omitempty"`
}

// Coefficient is a learned value and the number of samples behind it.
type Coefficient struct {
	Value float64 `msgpack:"v" json:"value"`
	Count float64 `msgpack:"n" json:"count"`
}

// PairCoefficient is the effect of a filler image on a serving image.
type PairCoefficient struct {
	Serving string `msgpack:"s" json:"serving"`
	Filler  string `msgpack:"f" json:"filler"`
	Coefficient
}

// maxSnapshotEntries bounds the number of pairs and of images in a snapshot, at about
// 50 bytes each. Pairs with the most samples are kept.
const maxSnapshotEntries = 200

// InterferenceSnapshot returns the values of the model that have at least minSamples
// samples.
func (e *Engine) InterferenceSnapshot() InterferenceSnapshot {
	m := e.model
	snapshot := InterferenceSnapshot{Base: trustedCoefficients(m.baselines), Fillers: trustedCoefficients(m.fillerMeans), RunTimes: e.RunTimes()}
	for key, c := range m.pairs {
		if c.samples >= minSamples {
			snapshot.Pairs = append(snapshot.Pairs, PairCoefficient{Serving: key.serving, Filler: key.filler, Coefficient: Coefficient{c.value, c.samples}})
		}
	}
	slices.SortFunc(snapshot.Pairs, func(a, b PairCoefficient) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	snapshot.Pairs = snapshot.Pairs[:min(maxSnapshotEntries, len(snapshot.Pairs))]
	return snapshot
}

func trustedCoefficients(all map[string]*coefficient) map[string]Coefficient {
	out := make(map[string]Coefficient, len(all))
	for _, name := range slices.Sorted(maps.Keys(all)) {
		if c := all[name]; c.samples >= minSamples && len(out) < maxSnapshotEntries {
			out[name] = Coefficient{c.value, c.samples}
		}
	}
	return out
}

// RestoreInterference loads the snapshot of a previous owner. Each value counts as
// minSamples samples, the least that is used, so that new samples soon correct it.
func (e *Engine) RestoreInterference(snapshot InterferenceSnapshot) {
	restoreCoefficients(e.model.baselines, snapshot.Base)
	restoreCoefficients(e.model.fillerMeans, snapshot.Fillers)
	e.adoptRunTimes(snapshot.RunTimes)
	for _, p := range snapshot.Pairs {
		e.model.pairs[pairKey{p.Serving, p.Filler}] = restoredCoefficient(p.Coefficient)
	}
}

// AdoptInterference loads what another shard has learnt, where it has many more samples: an
// image interferes in the same way in all shards, and each shard sees a pair of images for
// the first time. Own samples correct the values as after RestoreInterference.
func (e *Engine) AdoptInterference(snapshot InterferenceSnapshot) {
	adoptCoefficients(e.model.baselines, snapshot.Base)
	adoptCoefficients(e.model.fillerMeans, snapshot.Fillers)
	e.adoptRunTimes(snapshot.RunTimes)
	pairs := make(map[pairKey]Coefficient, len(snapshot.Pairs))
	for _, p := range snapshot.Pairs {
		pairs[pairKey{p.Serving, p.Filler}] = p.Coefficient
	}
	adoptCoefficients(e.model.pairs, pairs)
}

// adoptRatio is how many times as many samples another shard must have, and maxAdoptSamples
// the own samples from which on a value stays as it is.
const (
	adoptRatio      = 2
	maxAdoptSamples = 3 * minSamples
)

func adoptCoefficients[K comparable](into map[K]*coefficient, from map[K]Coefficient) {
	for key, c := range from {
		own := into[key]
		switch {
		case own == nil:
			into[key] = restoredCoefficient(c)
		case own.samples < maxAdoptSamples && c.Count > adoptRatio*own.samples:
			own.value, own.samples = c.Value, max(own.samples, minSamples)
		}
	}
}

func restoreCoefficients(into map[string]*coefficient, from map[string]Coefficient) {
	for name, c := range from {
		into[name] = restoredCoefficient(c)
	}
}

func restoredCoefficient(c Coefficient) *coefficient {
	return &coefficient{value: c.Value, samples: minSamples}
}
