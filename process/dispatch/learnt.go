package dispatch

import (
	"cmp"
	"maps"
	"slices"
)

// What an owner has learnt of interference answers owners that change: a new one that
// knew nothing would let fillers disturb serving tasks on half of the workers until it
// has learnt the same again. It is a hint, written seldom and read at a takeover.

// InterferenceSnapshot is what an owner has learnt of how images disturb each other.
type InterferenceSnapshot struct {
	// Base has the logarithm of the tail of serving images without fillers.
	Base map[string]Coefficient `msgpack:"b,omitempty" json:"base"`
	// Fillers has the mean effect of filler images.
	Fillers map[string]Coefficient `msgpack:"f,omitempty" json:"fillers"`
	Pairs   []PairCoefficient      `msgpack:"p,omitempty" json:"pairs"`
}

// Coefficient is a learnt value and the number of figures behind it.
type Coefficient struct {
	Value float64 `msgpack:"v" json:"value"`
	Count float64 `msgpack:"n" json:"count"`
}

// PairCoefficient is the effect of a filler image on a serving one.
type PairCoefficient struct {
	Serving string `msgpack:"s" json:"serving"`
	Filler  string `msgpack:"f" json:"filler"`
	Coefficient
}

// maxSnapshotEntries bounds the pairs and images that are handed on, at about 50 bytes each. The
// ones seen most often matter most.
const maxSnapshotEntries = 200

// InterferenceSnapshot returns what is known well enough to be trusted.
func (e *Engine) InterferenceSnapshot() InterferenceSnapshot {
	m := e.model
	l := InterferenceSnapshot{Base: trustedCoefficients(m.baselines), Fillers: trustedCoefficients(m.fillerMeans)}
	for key, c := range m.pairs {
		if c.samples >= minSamples {
			l.Pairs = append(l.Pairs, PairCoefficient{Serving: key.serving, Filler: key.filler, Coefficient: Coefficient{c.value, c.samples}})
		}
	}
	slices.SortFunc(l.Pairs, func(a, b PairCoefficient) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Serving, b.Serving), cmp.Compare(a.Filler, b.Filler))
	})
	l.Pairs = l.Pairs[:min(maxSnapshotEntries, len(l.Pairs))]
	return l
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

// RestoreInterference takes over what an earlier owner had learnt. It counts for no more than what is
// trusted, so that new figures soon move it.
func (e *Engine) RestoreInterference(l InterferenceSnapshot) {
	restoreCoefficients(e.model.baselines, l.Base)
	restoreCoefficients(e.model.fillerMeans, l.Fillers)
	for _, p := range l.Pairs {
		e.model.pairs[pairKey{p.Serving, p.Filler}] = restoredCoefficient(p.Coefficient)
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
