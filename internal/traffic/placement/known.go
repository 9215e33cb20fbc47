package placement

import (
	"maps"
	"time"
)

const (
	// initialCapacity is the number of objects that a server is assumed to keep until runs
	// tell otherwise, and minCapacity the least number that is assumed. The greatest is
	// maxKnownObjects.
	initialCapacity = 20.0
	minCapacity     = 8.0

	// capacityStep is the change of the estimate when an object was not kept that should
	// have been. An object that was kept near the estimate raises it by half of that.
	capacityStep = 0.5

	// capacityMargin is how many objects below the estimate an object that was kept
	// raises it.
	capacityMargin = 4

	// minWorks is the number of runs of known and of unknown objects after which their
	// average processing times tell one from the other.
	minWorks = 8
)

// holds reports whether the server is expected to know an object, as far as any VM saw its
// runs, if it keeps the given number of objects.
func (s *server) holds(object uint32, capacity float64) bool {
	if _, ok := s.objects[object]; !ok {
		return false
	}
	return float64(len(s.objects)) <= capacity || float64(s.rank(object)) < capacity
}

// rank returns how many other objects the server handled since it handled this one, which
// it must have handled.
func (s *server) rank(object uint32) int {
	at, n := s.objects[object], 0
	for _, other := range s.objects {
		if other.After(at) {
			n++
		}
	}
	return n
}

// hold records that the server handled an object at a time, and drops the oldest object if
// there are too many.
func (s *server) hold(object uint32, at time.Time) {
	if at.Before(s.objects[object]) {
		return
	}
	if s.borrowsObjects {
		s.objects, s.borrowsObjects = maps.Clone(s.objects), false
	}
	s.objects[object] = at
	if len(s.objects) <= maxKnownObjects {
		return
	}
	oldest, oldestAt := object, at
	for o, t := range s.objects {
		if t.Before(oldestAt) || t.Equal(oldestAt) && o < oldest {
			oldest, oldestAt = o, t
		}
	}
	delete(s.objects, oldest)
}

// looksCold reports whether the processing time is that of an object that its server did
// not know, rather than that of a known one or of the tail.
func (s *service) looksCold(took time.Duration) bool {
	middle := (s.warmWork + s.work(false)) / 2
	return took > middle && took < 2*s.work(false)-middle+s.warmWork
}

// recordShared adds a processing time to the averages where runs are shared. Once these are
// known, a time tells by itself whether the server knew the object.
func (s *service) recordShared(took time.Duration, warm, cold bool) {
	if s.works[0] >= minWorks && s.works[1] >= minWorks {
		warm = warm && !cold
	}
	avg, n := &s.coldWork, &s.works[0]
	if warm {
		avg, n = &s.warmWork, &s.works[1]
	}
	weight := func(n int) float64 { return max(gain/4, 1/float64(n)) }
	*n++
	*avg += time.Duration(weight(*n) * float64(took-*avg))
	s.meanWork += time.Duration(weight(s.works[0]+s.works[1]) * float64(took-s.meanWork))
}

// recordHit corrects the estimate of how many objects a server keeps, by a run of an object
// of the given rank that the server knew or did not know.
func (s *service) recordHit(rank int, cold bool) {
	switch {
	case rank < minCapacity:
		// Runs of such objects that look cold come from the tail, or from a restart.
	case cold && float64(rank) < s.capacity:
		s.capacity = max(minCapacity, s.capacity-capacityStep)
	case !cold && float64(rank) >= s.capacity-capacityMargin:
		s.capacity = min(maxKnownObjects, s.capacity+capacityStep/2)
	}
}
