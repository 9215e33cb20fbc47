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
	// recent is how old a judgement may be to raise the share.
	recent = 5 * time.Second
	// urgent is how long the leader is given to take a move back before
	// other VMs do it in its place.
	urgent = 3 * time.Second
	// readers is how many VMs read the record of a service without a move.
	readers = 3
)

// drive returns the next store call of a service, if there is one to make.
func (m *Mover) drive(s *service, now time.Time) []Effect {
	if s.call != nil && now.Sub(s.call.sent) >= m.opt.Call {
		s.call = nil
		m.failed(s, now)
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
	if reason := m.revert(s, now); reason != "" {
		return m.takeBack(s, reason, now)
	}
	if !m.leads(s) {
		return m.follow(s, now)
	}
	return m.lead(s, now)
}

// read reads the record. Of a service without a move only the first few VMs
// do, to take back a move that was withdrawn; a watch tells the others.
func (m *Mover) read(s *service, now time.Time) []Effect {
	if s.move == nil && m.rank(s) >= readers {
		s.needGet = false
		return nil
	}
	return m.get(s, now)
}

// begin starts the configuration's move if it has not been tried before.
func (m *Mover) begin(s *service, now time.Time) []Effect {
	if s.move == nil || s.rec.Outcome(s.move.Name) != nil || !m.turn(s, "begin", 0, now) {
		return nil
	}
	if s.partial {
		return m.get(s, now)
	}
	rec := s.rec.begin(s.move)
	rec.Began = now.Round(0)
	m.sign(rec)
	return m.put(s, rec, "begin", now)
}

// revert returns why the running move is to be taken back, or "".
func (m *Mover) revert(s *service, now time.Time) string {
	if reason := s.withdrawn(); reason != "" {
		return reason
	}
	soaks := time.Duration(len(rest(s.move, s.rec.Share))) * s.move.Soak
	switch {
	case s.bad() != nil:
		return s.bad().Reason
	case overdue(s.move, m.opt.Reserve, now):
		return "the deadline is near"
	case overdue(s.move, m.opt.Reserve+soaks, now):
		return "the steps left do not fit before the deadline"
	}
	return ""
}

// takeBack ends the running move as reverted. The leader does so at once. The
// others need no lease for it, since the write is conditional, but they wait
// for the leader.
func (m *Mover) takeBack(s *service, reason string, now time.Time) []Effect {
	if !m.leads(s) && !m.turn(s, "revert", urgent, now) {
		return nil
	}
	if s.partial {
		return m.get(s, now)
	}
	rec := s.rec.end(Reverted, reason)
	m.sign(rec)
	return m.put(s, rec, "revert", now)
}

// follow takes the lease once the record has not changed for its length.
func (m *Mover) follow(s *service, now time.Time) []Effect {
	s.hold = ""
	lapse := s.changed.Add(m.opt.Lease)
	if now.Before(lapse) {
		s.wanted = time.Time{}
		return nil
	}
	if !m.turn(s, "lead", 0, now) {
		return nil
	}
	if s.partial || s.fresh.Before(lapse) {
		return m.get(s, now)
	}
	rec := *s.rec
	m.sign(&rec)
	return m.put(s, &rec, "lead", now)
}

// lead raises the share, ends the move as done, or renews the lease.
func (m *Mover) lead(s *service, now time.Time) []Effect {
	s.wanted = time.Time{}
	if s.partial {
		return m.get(s, now)
	}
	rec := *s.rec
	next := rest(s.move, rec.Share)
	s.hold = m.obstacle(s, next, now)
	switch {
	case s.hold == "" && len(next) == 0:
		return m.put(s, rec.end(Done, "all steps passed"), "done", now)
	case s.hold == "":
		rec.Step, rec.Share, rec.Began = rec.Step+1, next[0], now.Round(0)
		return m.put(s, &rec, "raise", now)
	case now.Sub(s.wroteAt) >= m.opt.Renew:
		return m.put(s, &rec, "renew", now)
	}
	return nil
}

// obstacle returns why the share can't be raised now, or "".
func (m *Mover) obstacle(s *service, next []int, now time.Time) string {
	if s.judgedAt.IsZero() || now.Sub(s.judgedAt) > recent {
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
	if s.judgedAt.Sub(s.stepped) < s.move.Soak {
		return "the step has not soaked"
	}
	if s.verdict.Kind != evidence.Good {
		return "not judged good: " + s.verdict.Reason
	}
	return ""
}

// leads tells whether this run of the VM holds the record's lease.
func (m *Mover) leads(s *service) bool {
	return s.rec.Leader.VM == m.self && s.rec.Leader.Inc == m.inc
}

// sign makes this VM the leader in a record that it is to write.
func (m *Mover) sign(rec *Record) {
	if rec.Leader.VM != m.self || rec.Leader.Inc != m.inc {
		rec.Leader = Leader{VM: m.self, Inc: m.inc, Term: rec.Leader.Term + 1}
		rec.Renewals = 0
	}
}

// turn tells whether it is this VM's turn to write what it wants. The wait
// counts from when it began to want it, and grows with its rank.
func (m *Mover) turn(s *service, what string, wait time.Duration, now time.Time) bool {
	if s.wanted.IsZero() || s.wantedWhat != what {
		s.wanted, s.wantedWhat = now, what
		s.stagger = m.opt.Stagger*time.Duration(m.rank(s)) + m.jitter(m.opt.Stagger/4)
	}
	return now.Sub(s.wanted) >= wait+s.stagger
}

// rank orders the candidates by the rendezvous hash of the service's move and
// the VM, so that usually only the first one tries.
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
