package placement

// LittleAhead reports whether nothing is known to be read or to wait at an upstream, so that
// a stream sent now begins at once.
func (t *Tracker) LittleAhead(id string) bool {
	s := t.upstreams[id]
	return s == nil || s.prefilling == 0 && s.load.Waiting == 0
}
