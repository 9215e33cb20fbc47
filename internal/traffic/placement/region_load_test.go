package placement

import (
	"testing"

	"sassafrastray/internal/traffic/report"
)

// TestRegionLoadOfSheddingServers guards against requests being refused because faulty
// servers shed everything although the others of the region have room.
func TestRegionLoadOfSheddingServers(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts []int
		want   float64
	}{
		{"none sheds", []int{3, 0, 3}, 2.0 / 3},
		{"two of three shed", []int{12, 3, 14}, 1},
		{"all shed", []int{12, 12, 12}, 1 + shedQueue},
		{"a long queue", []int{11, 4, 3}, 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			table, list := newTable("north", 1), servers("n-1", len(c.counts), 3)
			table.Update(list, nil, start)
			table.SetShared(true)
			var runs []report.Run
			for i, n := range c.counts {
				runs = append(runs, report.Run{Server: uint32(table.servers[list[i].Name].hash), Running: min(n, 3), Waiting: max(0, n-3)})
			}
			table.ReceiveRuns(runs, start)
			s := table.servers[list[0].Name]
			if got := table.regionLoad(s.service, s.region, start); got != c.want {
				t.Errorf("load %v, want %v", got, c.want)
			}
		})
	}
}
