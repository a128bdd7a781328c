package store_test

import (
	"testing"

	"heatherhub.example/heatherhub/connection/store"
	"heatherhub.example/heatherhub/connection/store/memory"
)

// BenchmarkLimiter compares a read from the in-memory store with the same read through
// a limiter whose rate limit is never reached.
func BenchmarkLimiter(b *testing.B) {
	engine := memory.New(memory.Config{})
	stores := map[string]store.Store{
		"engine":  engine,
		"limiter": store.NewLimiter(store.LimiterConfig{Store: engine, ReadRate: 1e9}),
	}
	for _, name := range []string{"engine", "limiter"} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := stores[name].Get(b.Context(), "config/current"); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
