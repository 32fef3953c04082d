package membership

// Remembered is the number of incarnations of an address that have marks.
func (u *Upstreams) Remembered(addr string) int { return len(u.byAddr[addr].marks) }
