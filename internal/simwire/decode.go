// Package simwire implements the simulator's wire protocol 'fjord-1aaa'. It decodes batches of records into events of
// the decision module, and encodes the module's actions into replies. It makes no decisions and runs no routers.
package simwire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"mintdoor/decide"
	"mintdoor/internal/settings"
)

// Codes of the records that the simulator sends.
const (
	codeClientLeft  = 10
	codeTimer       = 20
	codeList        = 30
	codeRequest     = 40
	codeFirstToken  = 50
	codeView        = 60
	codeInit        = 70
	codePeer        = 80
	codeProbed      = 90
	codeReservation = 100
	codeStop        = 110
	codeOutcome     = 120
)

const (
	batchHeader = 16
	entrySize   = 25
	maxLists    = 16
	// maxBatch is the largest batch in bytes, so that a wrong header can't make the host allocate more.
	maxBatch = 1 << 30
)

// Kind is the kind of a Record.
type Kind uint8

// The kinds of records.
const (
	InstanceEvent Kind = iota // Event is the input of the instance
	Start                     // start a new instance with Seed and Settings
	Stop                      // remove the instance
)

// Record is one record of a batch, for one instance.
type Record struct {
	Kind     Kind
	Instance uint32
	Seed     uint64
	Settings string
	Event    decide.Event
}

// Decoder reads batches. Server lists are shared by all instances and are kept as long as the decoder.
type Decoder struct {
	in          *bufio.Reader
	buf         []byte
	pos         int
	recordsLeft uint32
	record      uint32
	lists       [maxLists][]decide.Listing
	defined     [maxLists]bool
	// reportFields are the names of the values in a load report. The settings at the start of an instance give them,
	// and they are the same for all instances.
	reportFields []string
}

// NewDecoder returns a decoder that reads from in.
func NewDecoder(in io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(in, 1<<16)}
}

// SetReportFields sets the names of the values in load reports, in their order.
func (d *Decoder) SetReportFields(names []string) { d.reportFields = names }

// Batch reads the next batch into memory and returns its time. It returns io.EOF if the input ends between two
// batches.
func (d *Decoder) Batch() (decide.Time, error) {
	var head [batchHeader]byte
	if n, err := io.ReadFull(d.in, head[:]); err != nil {
		if errors.Is(err, io.EOF) && n == 0 {
			return 0, io.EOF
		}
		return 0, fmt.Errorf("batch header cut off after %d of %d bytes: %w", n, batchHeader, err)
	}
	count, size := binary.BigEndian.Uint32(head[0:]), binary.BigEndian.Uint32(head[4:])
	if size > maxBatch || count > size {
		return 0, fmt.Errorf("batch header: %d records in %d bytes is impossible", count, size)
	}
	if cap(d.buf) < int(size) {
		d.buf = make([]byte, size)
	}
	d.buf = d.buf[:size]
	if n, err := io.ReadFull(d.in, d.buf); err != nil {
		return 0, fmt.Errorf("batch body cut off after %d of %d bytes: %w", n, size, err)
	}
	d.pos, d.recordsLeft, d.record = 0, count, 0
	return decide.Time(binary.BigEndian.Uint64(head[8:])), nil
}

// Next decodes the next record of the batch into rec. It returns false at the end of the batch.
func (d *Decoder) Next(rec *Record) (bool, error) {
	for d.recordsLeft > 0 {
		d.recordsLeft--
		d.record++
		start := d.pos
		forInstance, err := d.decode(rec)
		if err != nil {
			return false, fmt.Errorf("record %d at byte %d: %w", d.record, start, err)
		}
		if forInstance {
			return true, nil
		}
	}
	if d.pos != len(d.buf) {
		return false, fmt.Errorf("%d bytes left over after the last record", len(d.buf)-d.pos)
	}
	return false, nil
}

// take returns the next n bytes of the batch. what names them in errors.
func (d *Decoder) take(n int, what string) ([]byte, error) {
	if n < 0 || n > len(d.buf)-d.pos {
		return nil, fmt.Errorf("%s needs %d bytes, %d are left", what, n, len(d.buf)-d.pos)
	}
	b := d.buf[d.pos : d.pos+n]
	d.pos += n
	return b, nil
}

// decode reads one record. It returns false for a record that concerns no single instance.
func (d *Decoder) decode(rec *Record) (bool, error) {
	code, err := d.take(1, "record code")
	if err != nil {
		return false, err
	}
	if code[0] == codeList {
		return false, d.defineList()
	}
	*rec = Record{}
	ev := &rec.Event
	// head takes the fixed part of a record, which begins with the instance.
	head := func(n int, name string) ([]byte, error) {
		b, err := d.take(n, name)
		if err == nil {
			rec.Instance = binary.BigEndian.Uint32(b)
		}
		return b, err
	}
	switch code[0] {
	case codeInit:
		b, err := head(16, "BORN")
		if err != nil {
			return false, err
		}
		rec.Kind, rec.Seed = Start, binary.BigEndian.Uint64(b[4:])
		conf, err := d.take(int(binary.BigEndian.Uint32(b[12:])), "BORN settings")
		rec.Settings = string(conf)
		return true, err
	case codeStop:
		_, err := head(4, "EXIT")
		rec.Kind = Stop
		return true, err
	case codeView:
		b, err := head(14, "VIEW")
		if err != nil {
			return false, err
		}
		return true, d.decodeView(b, ev)
	case codeRequest:
		b, err := head(59, "JOB_IN")
		if err != nil {
			return false, err
		}
		decodeRequest(b, ev)
	case codeFirstToken:
		b, err := head(23, "STARTED")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Request, ev.Attempt = decide.FirstToken, request(b[4:]), int(b[8])
		ev.Elapsed, ev.Server = nanoseconds(b[9:]), server(b[17:])
	case codeReservation:
		b, err := head(20, "HELD_NOTE")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Request, ev.Attempt = decide.ReservationAnswer, request(b[4:]), int(b[12])
		ev.Server, ev.Granted = server(b[13:]), b[19] == 1
	case codeOutcome:
		b, err := head(30, "VERDICT")
		if err != nil {
			return false, err
		}
		return true, d.decodeAttemptEnded(b, ev)
	case codeClientLeft:
		b, err := head(8, "TIMED_OUT_CLIENT")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Request = decide.ClientLeft, request(b[4:])
	case codeTimer:
		b, err := head(12, "FIRED")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.TimerID = decide.Timer, binary.BigEndian.Uint64(b[4:])
	case codeProbed:
		b, err := head(20, "PING_RESULT")
		if err != nil {
			return false, err
		}
		ev.Kind, ev.Server, ev.Elapsed = decide.Probed, server(b[4:]), nanoseconds(b[11:])
		if ev.Outcome, err = decodeOutcome(b[10]); err != nil {
			return false, err
		}
		return true, d.decodeReport(b[19], &ev.Report)
	case codePeer:
		b, err := head(10, "PEER_DATA")
		if err != nil {
			return false, err
		}
		ev.Kind = decide.PeerMessage
		_, err = d.take(int(binary.BigEndian.Uint16(b[8:])), "PEER_DATA bytes")
		return true, err
	default:
		return false, fmt.Errorf("unknown event code %d", code[0])
	}
	return true, nil
}

// decodeRequest reads an arriving request (JOB_IN).
func decodeRequest(b []byte, ev *decide.Event) {
	flags := b[58]
	ev.Kind, ev.Request = decide.Arrived, request(b[4:])
	ev.Job = decide.Job{
		Class: int(binary.BigEndian.Uint16(b[8:])), Tenant: int(binary.BigEndian.Uint32(b[10:])),
		SessionID: binary.BigEndian.Uint64(b[14:]), Deadline: nanoseconds(b[22:]),
		PrefixID: binary.BigEndian.Uint64(b[38:]), PromptTokens: float(b[46:]), PrefixTokens: float(b[50:]),
		MaxOutputTokens: float(b[54:]), ClientRetry: flags&2 != 0, AfterInterruption: flags&16 != 0,
	}
	if flags&1 != 0 {
		ev.Job.LengthHint = nanoseconds(b[30:])
	}
}

// decodeAttemptEnded reads the outcome of an attempt (VERDICT).
func (d *Decoder) decodeAttemptEnded(b []byte, ev *decide.Event) error {
	var err error
	if ev.Outcome, err = decodeOutcome(b[15]); err != nil {
		return err
	}
	ev.Kind, ev.Request, ev.Attempt, ev.Server = decide.AttemptEnded, request(b[4:]), int(b[8]), server(b[9:])
	ev.Elapsed, ev.Closed = nanoseconds(b[16:]), b[24] != 0
	info := binary.BigEndian.Uint32(b[25:])
	if ev.Outcome == decide.Full {
		ev.NoState = info == 1
	} else {
		ev.CachedTokens = float64(info)
	}
	return d.decodeReport(b[29], &ev.Report)
}

// decodeView reads a change of the server list of an instance (VIEW), which refers to a defined list.
func (d *Decoder) decodeView(b []byte, ev *decide.Event) error {
	switch b[4] {
	case 0:
		ev.Kind = decide.ListChanged
	case 1:
		ev.Kind = decide.ListFull
	case 2:
		ev.Kind = decide.ListCached
	case 3:
		ev.Kind = decide.ListFailed
		return nil
	default:
		return fmt.Errorf("VIEW: unknown form %d", b[4])
	}
	table := b[13]
	if table >= maxLists || !d.defined[table] {
		return fmt.Errorf("VIEW: list %d was never defined", table)
	}
	ev.Servers = d.lists[table]
	return nil
}

// defineList reads a server list and stores it under its number (DEFINE_LIST).
func (d *Decoder) defineList() error {
	b, err := d.take(5, "DEFINE_LIST")
	if err != nil {
		return err
	}
	table, count := b[0], binary.BigEndian.Uint32(b[1:])
	if table >= maxLists {
		return fmt.Errorf("DEFINE_LIST: list number %d is out of range", table)
	}
	if uint64(count)*entrySize > uint64(len(d.buf)-d.pos) {
		return fmt.Errorf("DEFINE_LIST: %d entries do not fit into %d bytes", count, len(d.buf)-d.pos)
	}
	// Each list gets a new slice, because events of this batch may still refer to the list that had this number.
	entries := make([]decide.Listing, count)
	for i := range entries {
		b, err := d.take(entrySize, "list entry")
		if err != nil {
			return err
		}
		if b[12] > 2 {
			return fmt.Errorf("list entry %d: unknown condition %d", i, b[12])
		}
		entries[i] = decide.Listing{
			Server: server(b), Zone: int(binary.BigEndian.Uint16(b[6:])),
			Kind: int(binary.BigEndian.Uint16(b[8:])), Cell: int(binary.BigEndian.Uint16(b[10:])),
			Condition: decide.Condition(b[12]), Weight: float(b[13:]), StartedAt: nanoseconds(b[17:]),
		}
	}
	d.lists[table], d.defined[table] = entries, true
	return nil
}

// decodeReport reads a load report of n values. Values that the settings do not name are ignored.
func (d *Decoder) decodeReport(n byte, rep *decide.Report) error {
	b, err := d.take(4*int(n), "load report")
	if err != nil {
		return err
	}
	*rep = settings.ParseReport(func(name string) (float64, bool) {
		for i := 0; i < int(n) && i < len(d.reportFields); i++ {
			if d.reportFields[i] == name {
				return float(b[4*i:]), true
			}
		}
		return 0, false
	})
	return nil
}

func decodeOutcome(code byte) (decide.Outcome, error) {
	switch code {
	case 0:
		return decide.Served, nil
	case 5:
		return decide.Error, nil
	case 11:
		return decide.Full, nil
	case 102:
		return decide.ReadDone, nil
	case 104:
		return decide.Reset, nil
	case 110:
		return decide.TimedOut, nil
	case 111:
		return decide.ConnectFailed, nil
	case 114:
		return decide.NotStarted, nil
	case 125:
		return decide.Cancelled, nil
	}
	return 0, fmt.Errorf("unknown outcome %d", code)
}

func request(b []byte) decide.RequestID { return decide.RequestID(binary.BigEndian.Uint32(b)) }

func nanoseconds(b []byte) decide.Time { return decide.Time(binary.BigEndian.Uint64(b)) }

func float(b []byte) float64 { return float64(math.Float32frombits(binary.BigEndian.Uint32(b))) }

// server packs an IPv4 address and a port into a ServerID, the address in the upper bytes.
func server(b []byte) decide.ServerID {
	return decide.ServerID(binary.BigEndian.Uint32(b))<<16 | decide.ServerID(binary.BigEndian.Uint16(b[4:]))
}
