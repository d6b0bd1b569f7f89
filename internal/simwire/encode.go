package simwire

import (
	"encoding/binary"
	"fmt"
	"io"

	"mintdoor/decide"
)

// The codes of the actions.
const (
	codeReserve   = 30
	codeFail      = 40
	codeWatch     = 50
	codeException = 60
	codeProbe     = 70
	codeRefuse    = 80
	codeCancel    = 90
	codeRelease   = 100
	codeLog       = 110
	codeMove      = 120
	codeSend      = 130
	codeWake      = 140
)

const replyHeader = 8

// maxText is the longest text that a record's u16 count can carry.
const maxText = 1<<16 - 1

// Encoder builds one reply at a time.
type Encoder struct {
	buf   []byte
	count uint32
}

// Reset begins a new reply.
func (e *Encoder) Reset() {
	e.buf, e.count = append(e.buf[:0], make([]byte, replyHeader)...), 0
}

// Action adds one action of an instance.
func (e *Encoder) Action(inst uint32, a *decide.Action) error {
	switch a.Kind {
	case decide.Send:
		e.head(codeSend, inst)
		e.request(a.Request)
		e.server(a.Server)
		e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(a.After))
	case decide.Cancel:
		e.head(codeCancel, inst)
		e.request(a.Request)
		e.buf = append(e.buf, byte(a.Attempt))
	case decide.Refuse:
		e.head(codeRefuse, inst)
		e.request(a.Request)
		e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(a.After))
	case decide.Fail:
		e.head(codeFail, inst)
		e.request(a.Request)
	case decide.Release:
		e.head(codeRelease, inst)
		e.request(a.Request)
	case decide.Move:
		e.head(codeMove, inst)
		e.request(a.Request)
	case decide.SetTimer:
		e.head(codeWake, inst)
		e.buf = binary.BigEndian.AppendUint64(e.buf, uint64(a.After))
		e.buf = binary.BigEndian.AppendUint64(e.buf, a.TimerID)
	case decide.Probe:
		e.head(codeProbe, inst)
		e.server(a.Server)
	case decide.Reserve:
		e.head(codeReserve, inst)
		e.request(a.Request)
		e.server(a.Server)
	case decide.WatchList:
		e.head(codeWatch, inst)
		e.buf = append(e.buf, 1)
	case decide.Note:
		e.text(codeLog, inst, a.Reason)
	default:
		return fmt.Errorf("action kind %d has no code on this wire", a.Kind)
	}
	return nil
}

// Exception reports that the decision code of an instance has failed.
func (e *Encoder) Exception(inst uint32, why string) { e.text(codeException, inst, why) }

// Flush writes the reply.
func (e *Encoder) Flush(out io.Writer) error {
	binary.BigEndian.PutUint32(e.buf[0:], uint32(len(e.buf)-replyHeader))
	binary.BigEndian.PutUint32(e.buf[4:], e.count)
	if _, err := out.Write(e.buf); err != nil {
		return fmt.Errorf("write reply: %w", err)
	}
	return nil
}

func (e *Encoder) head(code byte, inst uint32) {
	e.count++
	e.buf = append(e.buf, code)
	e.buf = binary.BigEndian.AppendUint32(e.buf, inst)
}

func (e *Encoder) request(id decide.RequestID) {
	e.buf = binary.BigEndian.AppendUint32(e.buf, uint32(id))
}

func (e *Encoder) server(id decide.ServerID) {
	e.buf = binary.BigEndian.AppendUint32(e.buf, uint32(id>>16))
	e.buf = binary.BigEndian.AppendUint16(e.buf, uint16(id))
}

func (e *Encoder) text(code byte, inst uint32, s string) {
	if len(s) > maxText {
		s = s[:maxText]
	}
	e.head(code, inst)
	e.buf = binary.BigEndian.AppendUint16(e.buf, uint16(len(s)))
	e.buf = append(e.buf, s...)
}
