package membership

// Remembered is the number of incarnations of an address that have marks.
func (u *Upstreams) MarkedIncarnations(addr string) int { return len(u.byAddr[addr].marks) }
