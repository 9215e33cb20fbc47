package rollout

import "sassafrastray"

// PeekVersion returns what SelectVersion would return, and changes nothing.
func (t *Tracker) PeekVersion(s sassafrastray.ServiceName) (only, except sassafrastray.VersionName, narrow bool) {
	m := t.monitors[s]
	if m == nil {
		return "", "", false
	}
	// SelectVersion writes the credit of the monitor only.
	c := *m
	return (&Tracker{monitors: map[sassafrastray.ServiceName]*monitor{s: &c}}).SelectVersion(s)
}
