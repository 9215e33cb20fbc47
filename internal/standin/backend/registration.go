package backend

import "sassafrastray/internal/standin/registry"

// Registrations returns the entries under which the servers register themselves.
func (f *Fleet) Registrations() []registry.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]registry.Server, len(f.hosts))
	for i, h := range f.hosts {
		plan := h.state.Faults()
		out[i] = registry.Server{
			Settings: h.state.Settings, StartedUnixMs: h.state.Started().UnixMilli(), Crashed: plan.Crash, Draining: plan.Drain,
		}
	}
	return out
}
