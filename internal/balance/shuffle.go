package balance

// shuffle yields distinct indexes in random order (Fisher and Yates), up to
// maxDrawn of them. It keeps only the positions that were swapped, so that its cost
// depends on the number of indexes taken and not on the number to choose from.
type shuffle struct {
	size  int
	taken int
	// swapped holds the index at each position that no longer has its own. Position
	// and index of the i-th swap are those of the i-th index taken.
	swapped [maxDrawn]swap
}

// next returns the next index; false when all or maxDrawn were taken.
func (s *shuffle) next(random func() float64) (int, bool) {
	if s.taken == min(s.size, maxDrawn) {
		return 0, false
	}
	// The product can be rounded up to the number of positions left.
	position := s.taken + min(int(random()*float64(s.size-s.taken)), s.size-s.taken-1)
	index := s.at(position)
	s.swapped[s.taken] = swap{position: position, index: s.at(s.taken)}
	s.taken++
	return index, true
}

// at returns the index at a position. The newest swap counts.
func (s *shuffle) at(position int) int {
	for i := s.taken - 1; i >= 0; i-- {
		if s.swapped[i].position == position {
			return s.swapped[i].index
		}
	}
	return position
}
