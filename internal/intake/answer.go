package intake

import "io"

// ReadAnswer reads the body of an answer to a call of the process, as Lease.Read does with a lease of its
// own. The budget calls end if it closes the call's connection. A nil Budget has no limit.
func (b *Budget) ReadAnswer(body io.Reader, declared int64, end func()) ([]byte, error) {
	if b == nil {
		return (*Lease)(nil).Read(body, declared, nil)
	}
	l, err := b.Open(end)
	if err != nil {
		return nil, err
	}
	defer l.Close()
	return l.ReadBody(body, declared, nil)
}
