package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// result is what a client saw of one stream.
type result struct {
	id       string
	status   int
	events   int
	foreign  int
	gaps     int
	complete bool
	err      error
}

// openStream sends one stream as a client does, on a new channel, and reads it to its end.
func openStream(w *world, d *daemon, id string, prefix string) result {
	out := result{id: id}
	ctx, cancel := context.WithTimeout(context.Background(), 25*time.Second)
	defer cancel()
	req, _ := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.front+"/lohu930/2f", strings.NewReader(strings.Repeat("x", 8000)))
	req.Host = host
	for k, v := range map[string]string{
		"X-Attempt-Id": id, "X-Model": "m", "X-Token-Counts": "8200,780", "X-Prompt-Prefix": "5c1e07a2:200," + prefix + ":8000",
		"X-Deadline-Ms": "25000", "Authorization": "Token " + w.key,
	} {
		req.Header.Set(k, v)
	}
	tr := &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	logf("client sends %s to %s", id, d.name)
	res, err := (&http.Client{Transport: tr}).Do(req)
	if err != nil {
		out.err = err
		logf("client: %s has no answer: %v", id, err)
		return out
	}
	defer res.Body.Close()
	out.status = res.StatusCode
	br := bufio.NewReader(res.Body)
	last := 0
	for {
		line, err := br.ReadString('\n')
		if err != nil {
			out.complete = err == io.EOF && last == streamEvents
			out.err = err
			break
		}
		line = strings.TrimSpace(line)
		if v, ok := strings.CutPrefix(line, "id: "); ok {
			n, _ := strconv.Atoi(v)
			if n != last+1 {
				out.gaps++
			}
			last = n
			out.events++
		}
		if v, ok := strings.CutPrefix(line, "data: "); ok && v != fmt.Sprintf("%s words of %s", id, id) {
			if out.foreign == 0 {
				logf("client of %s gets event %d with foreign content: %q", id, last, v)
			}
			out.foreign++
		}
	}
	logf("client: %s status %d, %d events, %d gaps, %d events with foreign content, complete %v, %v", id, out.status, out.events, out.gaps, out.foreign, out.complete, out.err)
	return out
}
