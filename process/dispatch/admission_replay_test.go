package dispatch_test

import (
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/connection/ledger"
	"heatherhub.example/heatherhub/process/dispatch"
	"heatherhub.example/heatherhub/process/record"
	"heatherhub.example/heatherhub/request/intake"
)

// simulatedClock is the clock of the hosts in a replay.
type simulatedClock struct{ b *simulation }

func (c simulatedClock) Now() dispatch.Moment { return c.b.now }

// replayResult counts the jobs of a replayed burst by what their callers got.
type replayResult struct {
	inTime, late, noValue, refusals, givenUp int
	// waited is the longest time from the first request to an answer that accepts the job.
	waited time.Duration
}

// value is the value of the jobs, a late one counting as a seventh.
func (r *replayResult) value() float64 {
	return float64(r.inTime) + float64(r.late)/7
}

// replayBurst submits jobs of 10 processor seconds to 40 processors for 20 s, perSecond of
// them, through four hosts. Callers that are refused come back after their Retry-After, up
// to four times. Loads are published each second and read half a second later.
func replayBurst(t *testing.T, perSecond int, hasAdmission bool) replayResult {
	policy := dispatch.Policy{Pool: pool, Stretch: 1.5, Target: 250 * time.Millisecond}
	b := newSimulation(t, policy, 4)
	for range 3 {
		b.e.JobWatchReplied(b.now)
	}
	var hosts []*intake.Admission
	for range 4 {
		hosts = append(hosts, intake.NewAdmission(intake.AdmissionConfig{
			Shards: func() []record.ShardSize { return make([]record.ShardSize, 1) }, Clock: simulatedClock{b}, Log: zap.NewNop(),
		}))
	}
	type request struct {
		id          heatherhub.JobID
		at, first   time.Duration
		host, tries int
	}
	var requests []request
	start := b.now.Steady
	for i := range 20 * perSecond {
		at := start + 10*time.Second + time.Duration(i)*time.Second/time.Duration(perSecond)
		requests = append(requests, request{id: heatherhub.JobID(fmt.Sprintf("j%03d", i)), at: at, first: at, host: i % len(hosts)})
	}
	// A calm time before the burst, in which the error of the forecast is measured.
	for i := range 25 {
		at := start + time.Duration(i)*400*time.Millisecond
		requests = append(requests, request{id: heatherhub.JobID(fmt.Sprintf("calm%02d", i)), at: at, first: at, host: i % len(hosts)})
	}
	var out replayResult
	accepted := make(map[heatherhub.JobID]time.Duration)
	var published record.Load
	for tick := range 700 {
		if tick%10 == 0 {
			published = record.Load{At: b.now.Wall, Revision: ledger.Revision(tick + 1), Forecast: b.e.Forecast(b.now)}
		}
		for _, h := range hosts {
			if tick%10 == 5 {
				h.Observe(map[heatherhub.ShardID]record.Load{{}: published})
			}
		}
		for i := range requests {
			r := &requests[i]
			if r.at > b.now.Steady || r.at == 0 {
				continue
			}
			flow := &heatherhub.Workflow{ID: r.id, Queue: queue, Policy: policy, Steps: []heatherhub.Step{tasks(10, 1000, time.Second)}}
			if refusal := hosts[r.host].Decide(flow); hasAdmission && refusal != nil {
				err := hosts[r.host].Refused(flow, refusal)
				out.refusals++
				r.at = b.now.Steady + heatherhub.RetryAfter(err)
				if r.tries++; r.tries > 4 {
					out.givenUp++
					r.at = 0
				}
				continue
			}
			hosts[r.host].Accepted(flow, true)
			out.waited = max(out.waited, b.now.Steady-r.first)
			accepted[r.id], r.at = b.now.Steady, 0
			b.add(r.id, flow.Steps...)
		}
		b.step(100 * time.Millisecond)
	}
	span := policy.Span(time.Second)
	for id, at := range accepted {
		// The end is seen up to two polls of 100 ms after it.
		took := b.doneAt[id] - at - 200*time.Millisecond
		switch {
		case b.doneAt[id] == 0 || took > heatherhub.ValueSpans*span:
			out.noValue++
		case took > span:
			out.late++
		default:
			out.inTime++
		}
	}
	return out
}

// TestAdmissionBeyondCapacity replays a burst of twice and of four times the capacity. It
// guards against jobs that are accepted and end without value, against value lost by
// refusals, and against refusals below capacity.
func TestAdmissionBeyondCapacity(t *testing.T) {
	for _, perSecond := range []int{3, 8, 16} {
		without, with := replayBurst(t, perSecond, false), replayBurst(t, perSecond, true)
		t.Logf("%d jobs/s on room for 4: without admission %+v, with %+v", perSecond, without, with)
		if perSecond == 3 {
			if with.refusals > 0 {
				t.Errorf("%d jobs/s: got %d refusals below capacity, want none", perSecond, with.refusals)
			}
			continue
		}
		if with.value() < without.value() {
			t.Errorf("%d jobs/s: got value %.1f with admission, want at least %.1f", perSecond, with.value(), without.value())
		}
		if with.noValue*4 > without.noValue {
			t.Errorf("%d jobs/s: got %d accepted jobs without value, want at most a quarter of %d", perSecond, with.noValue, without.noValue)
		}
	}
}
