package place

import (
	"math/rand/v2"
	"testing"
	"time"

	"sassafrastray"
)

// TestPauseRenewsBeforeUse checks that a holder that was paused renews its record
// before it uses its place again. If it only read the record, another VM could
// take the place over at the same time.
func TestPauseRenewsBeforeUse(t *testing.T) {
	now := time.Unix(1000, 0)
	m := New("a1", 7, "a", rand.New(rand.NewPCG(1, 2)), DefaultOptions())
	list, _ := m.Step(Places{Count: 1}, now)[0].(List)
	put, _ := m.Step(Answer{ID: list.ID}, now)[0].(Put)
	hold, ok := m.Step(Answer{ID: put.ID, Version: 1}, now)[0].(Hold)
	if !ok || hold.Place == nil || !hold.From.Equal(now.Add(DefaultOptions().Quarantine)) {
		t.Fatalf("claim gave %+v", hold)
	}
	now = now.Add(time.Minute)
	out := m.Step(Tick{}, now)
	if h, ok := out[0].(Hold); !ok || h.Place != nil {
		t.Fatalf("after a pause: %+v", out)
	}
	get, _ := out[1].(Get)
	value := Record{VM: "a1", Inc: 7}.encode()
	out = m.Step(Answer{ID: get.ID, Objects: []sassafrastray.Object{{Key: get.Key, Version: 1, Value: value}}}, now)
	put, ok = out[0].(Put)
	if !ok || put.Version != 1 || m.Place() != nil {
		t.Fatalf("after the read: %+v", out)
	}
	out = m.Step(Answer{ID: put.ID, Version: 2}, now)
	if h, ok := out[0].(Hold); !ok || h.Place == nil {
		t.Fatalf("after the write: %+v", out)
	}
}
