package backend

import "sassafrastray/internal/standin/registry"

// Registrations returns the servers and the state that each registers.
func (f *Fleet) Registrations() []registry.Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := make([]registry.Server, len(f.hosts))
	for i, h := range f.hosts {
		faults := h.state.Faults()
		out[i] = registry.Server{
			Settings: h.state.Settings, StartedUnixMs: h.state.Started().UnixMilli(), Crashed: faults.Crash, Draining: faults.Drain,
		}
	}
	return out
}
