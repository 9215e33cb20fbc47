package quarantine

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"sassafrastray"
)

const (
	// reportTime is how long a crash and an answer are reported. It is above the time in
	// which a report reaches all VMs by others that pass it on.
	reportTime = 5 * time.Second

	// maxReported bounds the crashes, the answers and the quarantines in one report, and
	// maxReportedSuspects the requests at each crash.
	maxReported         = 8
	maxReportedSuspects = 8

	// maxAccused bounds the requests that are remembered because other VMs accuse them.
	maxAccused = 64
)

type (
	// Report is what a VM tells others. Ages are since the event, and count on while a
	// report is passed on.
	Report struct {
		Crashes []CrashReport  `json:"crashes,omitempty"`
		Answers []AnswerReport `json:"answers,omitempty"`
		Cases   []CaseReport   `json:"cases,omitempty"`
		// Accused are requests that the VM is about to put in quarantine. Other VMs
		// report if they were answered.
		Accused []Fingerprint `json:"accused,omitempty"`
	}

	// CrashReport says which requests were present when a backend server crashed.
	CrashReport struct {
		ID       uint64                    `json:"id"`
		Service  sassafrastray.ServiceName `json:"service"`
		Age      time.Duration             `json:"age"`
		Suspects []Fingerprint             `json:"suspects"`
	}

	// AnswerReport says that a suspect was answered, in an attempt that started Age ago.
	AnswerReport struct {
		Fingerprint Fingerprint               `json:"print"`
		Service     sassafrastray.ServiceName `json:"service"`
		Age         time.Duration             `json:"age"`
	}

	// CaseReport is the state of a quarantine. Age is how long ago it began or ended, and
	// TrialAge how long ago the latest trial began, or zero.
	CaseReport struct {
		Fingerprint Fingerprint               `json:"print"`
		Service     sassafrastray.ServiceName `json:"service"`
		Level       int                       `json:"level"`
		Crashes     int                       `json:"crashes"`
		Ended       bool                      `json:"ended,omitempty"`
		Age         time.Duration             `json:"age"`
		TrialAge    time.Duration             `json:"trial,omitempty"`
	}
)

// empty reports whether there is nothing to tell.
func (r *Report) empty() bool {
	return len(r.Crashes)+len(r.Answers)+len(r.Cases)+len(r.Accused) == 0
}

// NeedsReport reports whether the other VMs should hear of a change at once.
func (t *Table) NeedsReport() bool { return t.news }

// Sent records that the VM has sent its report to the others, and not to one only.
func (t *Table) Sent() { t.news = false }

// Report returns the latest crashes and answers, and quarantines: of more than
// maxReported the latest, and in place of the last one of the others in turn. It returns
// nil if there are none.
func (t *Table) Report(now time.Time) *Report {
	r := &Report{}
	suspects := make(map[Fingerprint]int)
	for _, c := range t.crashes {
		for f := range c.suspects {
			suspects[f]++
		}
	}
	for id, c := range t.crashes {
		if now.Sub(c.at) > reportTime {
			continue
		}
		p := CrashReport{ID: id, Service: c.service, Age: now.Sub(c.at)}
		for f := range c.suspects {
			if !t.answered[f].started.After(c.at) {
				p.Suspects = append(p.Suspects, f)
			}
		}
		// Those come first that were present at most crashes.
		slices.SortFunc(p.Suspects, func(a, b Fingerprint) int { return cmp.Or(cmp.Compare(suspects[b], suspects[a]), cmp.Compare(a, b)) })
		p.Suspects = p.Suspects[:min(len(p.Suspects), maxReportedSuspects)]
		r.Crashes = append(r.Crashes, p)
	}
	slices.SortFunc(r.Crashes, func(a, b CrashReport) int { return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.ID, b.ID)) })
	r.Crashes = r.Crashes[:min(len(r.Crashes), maxReported)]
	for f, a := range t.answered {
		if t.accusedBy[f].IsZero() && (suspects[f] == 0 || now.Sub(a.started) > reportTime) {
			continue
		}
		if now.Sub(a.started) <= memory {
			r.Answers = append(r.Answers, AnswerReport{f, a.service, now.Sub(a.started)})
		}
	}
	// Those come first that are nearest to a quarantine elsewhere.
	accused := func(f Fingerprint) int {
		if t.accusedBy[f].IsZero() {
			return 1
		}
		return 0
	}
	slices.SortFunc(r.Answers, func(a, b AnswerReport) int {
		return cmp.Or(cmp.Compare(accused(a.Fingerprint), accused(b.Fingerprint)), cmp.Compare(suspects[b.Fingerprint], suspects[a.Fingerprint]), cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	r.Answers = r.Answers[:min(len(r.Answers), maxReported)]
	r.Cases = t.reportCases(now)
	r.Accused = slices.SortedFunc(maps.Keys(t.accused), func(a, b Fingerprint) int {
		return cmp.Or(cmp.Compare(suspects[b], suspects[a]), cmp.Compare(a, b))
	})
	r.Accused = r.Accused[:min(len(r.Accused), maxReported)]
	if r.empty() {
		return nil
	}
	return r
}

func (t *Table) reportCases(now time.Time) []CaseReport {
	var out []CaseReport
	for f, q := range t.cases {
		p := CaseReport{Fingerprint: f, Service: q.service, Level: q.level, Crashes: q.crashes, Ended: q.ended, Age: now.Sub(q.since)}
		if !q.trialAt.IsZero() {
			p.TrialAge = max(1, now.Sub(q.trialAt))
		}
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b CaseReport) int {
		return cmp.Or(cmp.Compare(a.Age, b.Age), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	if len(out) > maxReported {
		rest := out[maxReported-1:]
		out[maxReported-1] = rest[int(now.Unix())%len(rest)]
		out = out[:maxReported]
	}
	return out
}

// Receive processes the report of another VM.
func (t *Table) Receive(from sassafrastray.VMName, r *Report, now time.Time) {
	for _, p := range r.Crashes[:min(len(r.Crashes), maxReported)] {
		if p.Age >= 0 && p.Age <= reportTime+moment {
			t.addCrash(p.ID, p.Service, p.Suspects[:min(len(p.Suspects), maxReportedSuspects)], now.Add(-p.Age))
		}
	}
	for _, p := range r.Answers[:min(len(r.Answers), maxReported)] {
		if p.Age >= 0 && p.Age <= memory && p.Fingerprint != 0 {
			t.addAnswer(p.Service, p.Fingerprint, now.Add(-p.Age), from, now)
		}
	}
	for _, p := range r.Cases[:min(len(r.Cases), maxReported)] {
		if p.Fingerprint != 0 && p.Level > 0 && p.Level < 1<<10 && p.Crashes >= 0 && p.Age >= 0 && p.Age < 2*maxTerm && p.TrialAge >= 0 {
			t.mergeCase(&p, from, now)
		}
	}
	for _, f := range r.Accused[:min(len(r.Accused), maxReported)] {
		if _, ok := t.accusedBy[f]; ok || len(t.accusedBy) < maxAccused {
			t.accusedBy[f] = now
		}
	}
}

// mergeCase takes over the state of a quarantine from another VM if it is later than the
// known one.
func (t *Table) mergeCase(p *CaseReport, from sassafrastray.VMName, now time.Time) {
	q := t.cases[p.Fingerprint]
	if p.Ended && (q == nil || p.Age > memory) {
		return
	}
	known := q != nil
	switch {
	case !known:
		if len(t.cases) >= maxCases {
			t.dropOldestCase()
		}
		q = &quarantined{service: p.Service}
		t.cases[p.Fingerprint] = q
	case p.Level < q.level || p.Level == q.level && (q.ended || !p.Ended):
		// The known state is as late; only a trial may be news.
		if p.Level == q.level && !q.ended && p.TrialAge > 0 {
			q.trialAt = later(q.trialAt, now.Add(-p.TrialAge))
		}
		return
	}
	q.level, q.since, q.ended, q.crashes = p.Level, now.Add(-p.Age), p.Ended, max(q.crashes, p.Crashes)
	q.trialAt = time.Time{}
	if p.TrialAge > 0 {
		q.trialAt = now.Add(-p.TrialAge)
	}
	kind := Begun
	if q.ended {
		kind = Ended
		t.answered[p.Fingerprint] = answer{p.Service, later(t.answered[p.Fingerprint].started, q.since)}
	}
	t.news = true
	t.record(Event{Fingerprint: p.Fingerprint, Service: q.service, Kind: kind, Crashes: q.crashes, Term: q.term(), From: from})
}
