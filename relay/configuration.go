package relay

import (
	"bytes"
	"compress/gzip"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/gooseberryroad/gooseberryroad/directory"
	"github.com/gooseberryroad/gooseberryroad/store"
)

// ConfigPath is the URL path at which daemons compare their configurations. Daemons of
// earlier builds answer 404.
const ConfigPath = "/v1/configuration"

// maxOfferBytes bounds the body of a request to ConfigPath.
const maxOfferBytes = 4 << 10

// configOffer is the body of a request to ConfigPath: the version that is in force at the
// sender, and the relay address at which the sender can be asked for it.
type configOffer struct {
	Version int64  `json:"version"`
	Address string `json:"address,omitempty"`
}

// configAnswer is the response. Entry is missing if it is not newer than the offered version.
type configAnswer struct {
	Entry *wireEntry `json:"entry,omitempty"`
}

// handleConfig serves ConfigPath.
func handleConfig(content func() *directory.Content, log *slog.Logger) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var offer configOffer
		b, status, err := readBody(w, r, maxOfferBytes)
		if err == nil {
			if err = json.Unmarshal(b, &offer); err != nil {
				status, err = http.StatusBadRequest, eris.Wrap(err, "the body is not the version of a configuration")
			}
		}
		if err != nil {
			http.Error(w, err.Error(), status)
			return
		}
		var answer configAnswer
		if e, newer := content().ExchangeConfig(offer.Version, offer.Address); newer {
			answer.Entry = &wireEntry{Key: e.Key, Value: e.Value, Index: e.Index}
		}
		w.Header().Set("Content-Encoding", "gzip")
		if _, err := w.Write(compressJSON(answer)); err != nil {
			log.Info("configuration not delivered", "cause", err)
		}
	}
}

// compressJSON returns a value of strings and numbers as compressed JSON.
func compressJSON(v any) []byte {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	err := json.NewEncoder(z).Encode(v)
	if err == nil {
		err = z.Close()
	}
	if err != nil {
		panic(err) // strings and numbers always encode as JSON, and writes to a buffer do not fail
	}
	return b.Bytes()
}

// ExchangeConfig implements directory.ConfigRelay.
func (c *Client) ExchangeConfig(ctx context.Context, address string, version int64, self string, slack time.Duration) (e store.Entry, newer bool, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	// The timer bounds the time until the answer begins; the caller bounds the transfer.
	startTimer := time.AfterFunc(slack, cancel)
	defer startTimer.Stop()
	b, err := json.Marshal(configOffer{Version: version, Address: self})
	if err != nil {
		return e, false, eris.Wrap(err, "encode the request")
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+ConfigPath, bytes.NewReader(b))
	if err != nil {
		return e, false, eris.Wrap(err, "make the request")
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return e, false, eris.Wrap(err, "send the request to the daemon")
	}
	defer res.Body.Close()
	startTimer.Stop()
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusMethodNotAllowed:
		return e, false, directory.ErrNoExchange
	default:
		return e, false, eris.Errorf("daemon answered %d", res.StatusCode)
	}
	if b, err = io.ReadAll(io.LimitReader(res.Body, maxContentBytes+1)); err != nil {
		return e, false, eris.Wrap(err, "read the daemon's answer")
	}
	if len(b) > maxContentBytes {
		return e, false, eris.Errorf("the daemon's answer is longer than %d bytes", maxContentBytes)
	}
	var answer configAnswer
	if err := json.Unmarshal(b, &answer); err != nil {
		return e, false, eris.Wrap(err, "decode the daemon's answer")
	}
	if answer.Entry == nil {
		return e, false, nil
	}
	return store.Entry{Key: answer.Entry.Key, Value: answer.Entry.Value, Index: answer.Entry.Index}, true, nil
}
