package ratelimit

import (
	"net/netip"
	"time"

	"sassafrastray"
)

// TakeAgain takes a token for a request that was admitted before and may run once more, or
// refuses it. It does not count as demand.
func (l *Limiter) TakeAgain(name sassafrastray.TeamName, now time.Time) Verdict {
	t := l.teams[name]
	if t == nil {
		return Verdict{OK: true, Share: 1}
	}
	l.advance(t, now)
	v := l.verdict(t, name)
	if wait, _ := t.waitFor(t.waiting, now); wait == 0 {
		v.OK, v.ticket = true, t.take(now)
	}
	return v
}

// Grant takes a token for a request that waits at another VM, which must use it within
// GrantTime of its question. If there is none it returns how long to wait.
func (l *Limiter) Grant(name sassafrastray.TeamName, now time.Time) (ok bool, wait time.Duration) {
	t := l.teams[name]
	if t == nil {
		return false, unknownWait
	}
	l.advance(t, now)
	if wait, _ = t.waitFor(t.waiting, now); wait > 0 {
		return false, min(maxRetryWait, max(minRetryWait, wait))
	}
	t.take(now)
	t.reserve(now.Add(GrantTime + clockMargin))
	return true, 0
}

// Granted records that the request of a verdict was admitted with the holder's token.
func (l *Limiter) Granted(name sassafrastray.TeamName) {
	if t := l.teams[name]; t != nil {
		t.counts.admitted++
		t.counts.refused--
	}
}

// NotGranted records that the holder of a verdict has no token for a time, or did not
// answer if that is zero. It returns another holder, if there is one.
func (l *Limiter) NotGranted(name sassafrastray.TeamName, holder netip.AddrPort, wait time.Duration, now time.Time) (another netip.AddrPort) {
	t := l.teams[name]
	if t == nil {
		return another
	}
	hub := l.peers[t.hub]
	switch {
	case hub == nil || hub.Address != holder:
		for _, p := range l.peers {
			if u := p.report.Uses[name]; p.Address == holder && u.Tokens > 0 {
				u.Tokens = 0
				p.report.Uses[name] = u
			}
		}
	case wait == 0:
		t.hubSilentUntil = now.Add(silentTime)
	default:
		t.emptyUntil = now.Add(min(wait, maxDelay))
	}
	return l.holder(t, name, now)
}

// Refund returns the token of a request that reached no backend server.
func (l *Limiter) Refund(name sassafrastray.TeamName, v Verdict, now time.Time) {
	if t := l.teams[name]; t != nil {
		l.advance(t, now)
		t.refund(v.ticket)
	}
}
