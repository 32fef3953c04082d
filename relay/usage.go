package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"log/slog"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/usage"
)

// UsagePath is the URL path at which the holder of usage reports takes the counts of the
// other daemons, as a JSON array of messages.
const UsagePath = "/v1/usage"

const (
	// maxUsageBytes bounds the body of a call. A message of the largest planned deployment
	// has 13 windows with 1,400 accounts each, below 1 MB; a daemon that gives up the duty
	// passes on those of the daemons that ended.
	maxUsageBytes = 8 << 20
	// maxErrorBytes bounds the part of an error response that is logged.
	maxErrorBytes = 200
)

// UsageHandler serves UsagePath. merge takes one message, or returns why it is not valid.
func UsageHandler(merge func(usage.Message) error, log *slog.Logger) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+UsagePath, func(w http.ResponseWriter, r *http.Request) {
		messages, status, err := decodeUsage(w, r)
		for _, m := range messages {
			if mergeErr := merge(m); mergeErr != nil {
				status, err = http.StatusBadRequest, mergeErr
			}
		}
		if err != nil {
			log.Warn("usage counts of a daemon refused", "from", r.RemoteAddr, "status", status, "cause", err)
			http.Error(w, err.Error(), status)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return mux
}

func decodeUsage(w http.ResponseWriter, r *http.Request) (messages []usage.Message, status int, err error) {
	b, status, err := readBody(w, r, maxUsageBytes)
	if err != nil {
		return nil, status, err
	}
	if err := json.Unmarshal(b, &messages); err != nil {
		return nil, http.StatusBadRequest, eris.Wrap(err, "the body is not a list of usage counts")
	}
	return messages, http.StatusOK, nil
}

// readBody reads a body of at most limit bytes. status is that of the response if it fails.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) (b []byte, status int, err error) {
	b, err = io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, http.StatusRequestEntityTooLarge, eris.Errorf("the body has more than %d bytes", limit)
	}
	if err != nil {
		return nil, http.StatusBadRequest, eris.Wrap(err, "read the body")
	}
	return b, http.StatusOK, nil
}

// SendUsage sends counts to the holder of usage reports at a relay address.
func (c *Client) SendUsage(ctx context.Context, address string, messages []usage.Message) error {
	return c.post(ctx, address, UsagePath, messages)
}

// post sends a message as JSON to the daemon at a relay address.
func (c *Client) post(ctx context.Context, address, path string, message any) error {
	b, err := json.Marshal(message)
	if err != nil {
		return eris.Wrap(err, "encode the message")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(b))
	if err != nil {
		return eris.Wrap(err, "make the request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		c.http.CloseIdleConnections()
		return eris.Wrap(err, "send the message")
	}
	defer res.Body.Close()
	text, err := io.ReadAll(io.LimitReader(res.Body, maxErrorBytes))
	if err != nil {
		return eris.Wrap(err, "read the daemon's answer")
	}
	if res.StatusCode != http.StatusOK {
		return eris.Errorf("daemon answered %d: %s", res.StatusCode, bytes.TrimSpace(text))
	}
	return nil
}
