package record_test

import (
	"testing"

	"heatherhub.example/heatherhub"
	"heatherhub.example/heatherhub/process/record"
)

// formerLoad is the form in which earlier versions write and read the free resources.
type formerLoad struct {
	LargestFree map[heatherhub.PoolID][]heatherhub.Resources `msgpack:"o,omitempty"`
}

// TestRoomsAreReadByBothVersions guards against owners that reject the loads of another version during
// an update, and against rooms that promise more than the workers have.
func TestRoomsAreReadByBothVersions(t *testing.T) {
	var sizes []heatherhub.Resources
	for i := range record.MaxLargestFree {
		sizes = append(sizes, heatherhub.Resources{CPU: heatherhub.MilliCPU(300 * (i % 12)), Memory: heatherhub.Megabytes(100 * (i % 5))})
	}
	rooms := record.Rooms(map[heatherhub.PoolID][]heatherhub.Resources{"p": sizes})
	if got := len(rooms["p"]); got > 8 {
		t.Errorf("got %d entries, want at most 8", got)
	}
	listed := 0
	for _, r := range rooms["p"] {
		listed += r.Workers
		having := 0
		for _, s := range sizes {
			if r.Size.Fits(s) {
				having++
			}
		}
		if having < r.Workers {
			t.Errorf("got %d workers with %s listed, want at most the %d that have it", r.Workers, r.Size, having)
		}
	}
	if listed != len(sizes) {
		t.Errorf("got %d workers listed, want %d", listed, len(sizes))
	}

	value, err := record.Encode(record.Load{LargestFree: rooms})
	if err != nil {
		t.Fatal(err)
	}
	var former formerLoad
	if err := heatherhub.Unmarshal(value, &former); err != nil || len(former.LargestFree["p"]) != len(rooms["p"]) || former.LargestFree["p"][0] != rooms["p"][0].Size {
		t.Errorf("got %v and error %v from the former decoder, want the sizes of %v", former.LargestFree, err, rooms)
	}
	value, err = record.Encode(formerLoad{LargestFree: map[heatherhub.PoolID][]heatherhub.Resources{"p": sizes[:2]}})
	if err != nil {
		t.Fatal(err)
	}
	var l record.Load
	if err := heatherhub.Unmarshal(value, &l); err != nil || len(l.LargestFree["p"]) != 2 || l.LargestFree["p"][1] != (record.Room{Size: sizes[1], Workers: 1}) {
		t.Errorf("got %v and error %v from a former record, want two workers", l.LargestFree, err)
	}
}

// TestReservedRoomIsNotGivenAgain guards against moves of more work than the workers of an entry can take.
func TestReservedRoomIsNotGivenAgain(t *testing.T) {
	rooms := []record.Room{{Size: heatherhub.Resources{CPU: 5000, Memory: 100}, Workers: 3}}
	need := heatherhub.Resources{CPU: 2000, Memory: 10}
	n := 0
	for ok := true; ok && n < 20; n++ {
		rooms, ok = record.Reserve(rooms, need)
	}
	if got, want := n-1, 6; got != want {
		t.Errorf("got %d reservations, want %d", got, want)
	}
}
