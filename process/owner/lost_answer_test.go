package owner_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"heatherhub.example/heatherhub"
)

// TestRunsWhoseEndsAreNotHeardRunOnce guards against tasks that run twice while a host's own link is
// full: its polls and orders reach the workers, which renews the leases there, and most answers
// are lost.
func TestRunsWhoseEndsAreNotHeardRunOnce(t *testing.T) {
	for seed := range uint64(12) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			testOnSite(t, 4, func(site *simSite) {
				rnd := rand.New(rand.NewPCG(seed, 16))
				for i := range 8 {
					site.submit(heatherhub.JobID(fmt.Sprintf("j%d", i)), newStep(6, 2600*time.Millisecond), newStep(4, 700*time.Millisecond, 0))
				}
				time.Sleep(time.Second)
				deaf := site.currentOwner()
				site.loseAnswers(deaf, 0.6+0.4*rnd.Float64(), rand.New(rand.NewPCG(seed, 17)))
				time.Sleep(time.Duration(6000+rnd.IntN(6000)) * time.Millisecond)
				site.loseAnswers(deaf, 0, nil)
				time.Sleep(12 * time.Second)
			})
		})
	}
}
