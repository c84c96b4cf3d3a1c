package http

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/wigeonlock/wigeonlock/relay"
)

var (
	errStalled  = errors.New("answer body stalled")
	errBodyTime = errors.New("answer body took too long")
)

// body reads the body of an answer. Reads fail if nothing arrives for
// _stallTimeout, if the body takes longer than BodyTime, and if it ends early.
type body struct {
	io.ReadCloser
	cancel  context.CancelCauseFunc
	stall   *time.Timer
	timeout *time.Timer
}

func newBody(source io.ReadCloser, length int64, cancel context.CancelCauseFunc) *body {
	return &body{
		ReadCloser: relay.LengthReader(source, length),
		cancel:     cancel,
		stall:      time.AfterFunc(_stallTimeout, func() { cancel(errStalled) }),
		timeout:    time.AfterFunc(BodyTime, func() { cancel(errBodyTime) }),
	}
}

// Read reads the next bytes. Only the time within Read counts as a stall.
func (b *body) Read(p []byte) (int, error) {
	b.stall.Reset(_stallTimeout)
	n, err := b.ReadCloser.Read(p)
	b.stall.Stop()
	return n, err
}

// Close ends the exchange.
func (b *body) Close() error {
	b.stall.Stop()
	b.timeout.Stop()
	err := b.ReadCloser.Close()
	b.cancel(nil)
	return err
}

func decodeLoad(data []byte) (Load, error) {
	var l Load
	if err := json.Unmarshal(data, &l); err != nil {
		return Load{}, errors.Wrap(err, "decode load")
	}
	return l, nil
}
