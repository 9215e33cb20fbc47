package vm

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"sassafrastray"
	"sassafrastray/internal/operator/settings"
	"sassafrastray/internal/standin/object"
)

// TestConfigNumberNeverDecreases passes configurations to a VM in random order,
// as late answers of the store and of peers do. The highest number so far must
// be in force.
func TestConfigNumberNeverDecreases(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		v, err := New(&settings.Settings{Name: "vm", Domain: "d", Secret: "0123456789abcdef"},
			domainPlatform{memoryPlatform: &memoryPlatform{table: object.New()}}, sassafrastray.SystemClock{}, discardLog)
		if err != nil {
			rt.Fatal(err)
		}
		defer v.workers.Release()
		greatest := int64(0)
		for _, n := range rapid.SliceOfN(rapid.Int64Range(1, 9), 1, 12).Draw(rt, "numbers") {
			v.adopt(&sassafrastray.Config{Number: n}, "test", time.Now())
			greatest = max(greatest, n)
			if got := v.handler.Config().Number; got != greatest {
				rt.Fatalf("configuration %d is in force after %d had been", got, greatest)
			}
		}
	})
}
