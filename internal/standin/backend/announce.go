package backend

import "sassafrastray/internal/standin/registry"

// Announced returns the servers as they register themselves.
func (f *Fleet) Announced() []registry.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]registry.Server, len(f.hosts))
	for i, h := range f.hosts {
		plan := h.state.Plan()
		out[i] = registry.Server{
			Settings: h.state.Settings, StartedUnixMs: h.state.Started().UnixMilli(), Dead: plan.Die, Leaving: plan.Drain,
		}
	}
	return out
}
