package move

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"sassafrastray"
	"sassafrastray/internal/rollout/evidence"
)

const (
	// maxRank bounds the wait of candidates in large fleets.
	maxRank = 8
	// maxVerdictAge is the age up to which a verdict is used.
	maxVerdictAge = 5 * time.Second
	// revertGrace is how long the other VMs wait for the leader to revert a
	// move before they revert it themselves.
	revertGrace = 3 * time.Second
	// maxReaders is the number of VMs that read the record of a service without
	// a move.
	maxReaders = 3
)

// nextCall returns the next store call of a service, if one is due.
func (m *Mover) nextCall(s *service, now time.Time) []Effect {
	if s.call != nil && now.Sub(s.call.sent) >= m.opt.CallTimeout {
		s.call = nil
		m.backOff(s, now)
	}
	if s.call != nil || now.Before(s.retryAt) {
		return nil
	}
	if s.needGet {
		return m.read(s, now)
	}
	if !s.known || s.rec != nil && s.rec.Config > m.number {
		return nil
	}
	if s.rec.final() {
		return m.begin(s, now)
	}
	if reason := m.revertReason(s, now); reason != "" {
		return m.revert(s, reason, now)
	}
	if !m.leads(s) {
		return m.acquireLease(s, now)
	}
	return m.lead(s, now)
}

// read returns a read of the record. If the service has no move, only the first
// maxReaders VMs read it, to revert a move that was withdrawn; the others
// receive the record from a watch.
func (m *Mover) read(s *service, now time.Time) []Effect {
	if s.move == nil && m.rank(s) >= maxReaders {
		s.needGet = false
		return nil
	}
	return m.get(s, now)
}

// begin starts the configuration's move if it has not been tried before.
func (m *Mover) begin(s *service, now time.Time) []Effect {
	if s.move == nil || s.rec.Outcome(s.move.Name) != nil || !m.isTurn(s, "begin", 0, now) {
		return nil
	}
	if s.partial {
		return m.get(s, now)
	}
	rec := s.rec.begin(s.move)
	rec.Began = now.Round(0)
	m.setLeader(rec)
	return m.put(s, rec, "begin", now)
}

// revertReason returns why the running move is to be reverted, or "".
func (m *Mover) revertReason(s *service, now time.Time) string {
	if reason := s.withdrawn(); reason != "" {
		return reason
	}
	soaks := time.Duration(len(remainingShares(s.move, s.rec.Share))) * s.move.Soak
	switch {
	case s.badReport() != nil:
		return s.badReport().Reason
	case overdue(s.move, m.opt.RevertMargin, now):
		return "the deadline is near"
	case overdue(s.move, m.opt.RevertMargin+soaks, now):
		return "the steps left do not fit before the deadline"
	}
	return ""
}

// revert ends the running move as reverted. The leader does so at once. Other
// VMs need no lease for it, since the write is conditional, but they give the
// leader time to write first.
func (m *Mover) revert(s *service, reason string, now time.Time) []Effect {
	if !m.leads(s) && !m.isTurn(s, "revert", revertGrace, now) {
		return nil
	}
	if s.partial {
		return m.get(s, now)
	}
	rec := s.rec.end(Reverted, reason)
	m.setLeader(rec)
	return m.put(s, rec, "revert", now)
}

// acquireLease makes this VM the leader once the record has not changed for the
// length of a lease.
func (m *Mover) acquireLease(s *service, now time.Time) []Effect {
	s.hold = ""
	lapse := s.changedAt.Add(m.opt.Lease)
	if now.Before(lapse) {
		s.wantedSince = time.Time{}
		return nil
	}
	if !m.isTurn(s, "lead", 0, now) {
		return nil
	}
	if s.partial || s.confirmedAt.Before(lapse) {
		return m.get(s, now)
	}
	rec := *s.rec
	m.setLeader(&rec)
	return m.put(s, &rec, "lead", now)
}

// lead raises the share, ends the move as done, or renews the lease.
func (m *Mover) lead(s *service, now time.Time) []Effect {
	s.wantedSince = time.Time{}
	if s.partial {
		return m.get(s, now)
	}
	rec := *s.rec
	next := remainingShares(s.move, rec.Share)
	s.hold = m.raiseBlocker(s, next, now)
	switch {
	case s.hold == "" && len(next) == 0:
		return m.put(s, rec.end(Done, "all steps passed"), "done", now)
	case s.hold == "":
		rec.Step, rec.Share, rec.Began = rec.Step+1, next[0], now.Round(0)
		return m.put(s, &rec, "raise", now)
	case now.Sub(s.wroteAt) >= m.opt.RenewInterval:
		return m.put(s, &rec, "renew", now)
	}
	return nil
}

// raiseBlocker returns why the share can't be raised now, or "".
func (m *Mover) raiseBlocker(s *service, next []int, now time.Time) string {
	if s.judgedAt.IsZero() || now.Sub(s.judgedAt) > maxVerdictAge {
		return "no recent judgement"
	}
	if len(next) > 0 && s.headroom == nil {
		return "no figure for headroom"
	}
	if len(next) > 0 && *s.headroom < next[0] {
		return fmt.Sprintf("headroom for %d thousandths, %d needed", *s.headroom, next[0])
	}
	if s.rec.Share == 0 {
		return ""
	}
	if s.judgedAt.Sub(s.steppedAt) < s.move.Soak {
		return "the step has not soaked"
	}
	if s.verdict.Kind != evidence.Good {
		return "not judged good: " + s.verdict.Reason
	}
	return ""
}

// leads reports whether this VM in its current incarnation holds the record's
// lease.
func (m *Mover) leads(s *service) bool {
	return s.rec.Leader.VM == m.self && s.rec.Leader.Inc == m.inc
}

// setLeader makes this VM the leader in a record that it is about to write.
func (m *Mover) setLeader(rec *Record) {
	if rec.Leader.VM != m.self || rec.Leader.Inc != m.inc {
		rec.Leader = Leader{VM: m.self, Inc: m.inc, Term: rec.Leader.Term + 1}
		rec.Renewals = 0
	}
}

// isTurn reports whether it is this VM's turn to make the write that it wants.
// The wait counts from when it first wanted it, and grows with its rank.
func (m *Mover) isTurn(s *service, what string, wait time.Duration, now time.Time) bool {
	if s.wantedSince.IsZero() || s.wantedWrite != what {
		s.wantedSince, s.wantedWrite = now, what
		s.stagger = m.opt.Stagger*time.Duration(m.rank(s)) + m.jitter(m.opt.Stagger/4)
	}
	return now.Sub(s.wantedSince) >= wait+s.stagger
}

// rank returns the number of VMs that come before this one by the rendezvous
// hash of the service's move and the VM. Usually only the first one tries to
// write.
func (m *Mover) rank(s *service) int {
	var move sassafrastray.MoveName
	if s.move != nil {
		move = s.move.Name
	}
	own := weight(s.name, move, m.self)
	n := 0
	for _, vm := range m.members {
		if w := weight(s.name, move, vm); vm != m.self && (w > own || w == own && vm < m.self) {
			n++
		}
	}
	if len(m.members) > 0 && !slices.Contains(m.members, m.self) {
		n = maxRank
	}
	return min(n, maxRank)
}

func weight(service sassafrastray.ServiceName, move sassafrastray.MoveName, vm sassafrastray.VMName) uint64 {
	return xxhash.Sum64String(string(service) + "\x00" + string(move) + "\x00" + string(vm))
}
