package sizinglog_test

import (
	"bytes"
	"errors"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"github.com/gooseberryroad/gooseberryroad/sizing"
	"github.com/gooseberryroad/gooseberryroad/sizing/sizinglog"
)

// Guards against orders without a trace, and against figures of a daemon that no longer
// orders.
func TestOrders(t *testing.T) {
	var out bytes.Buffer
	r := sizinglog.New(slog.New(slog.NewTextHandler(&out, nil)))
	r.Orders([]sizing.Order{{Service: "chat", DataCentre: "a", Number: 30, Previous: 33, Reasons: sizing.Reasons{Binding: "loss", Local: 14.5}}})
	for _, want := range []string{"number=30", "previous=33", "rule=loss", "data_centre=a", "local=14.5"} {
		if !strings.Contains(out.String(), want) {
			t.Errorf("no %s in %s", want, out.String())
		}
	}
	exposed := func() string {
		var b bytes.Buffer
		metrics.WritePrometheus(&b, false)
		return b.String()
	}
	const gauge = `gooseberryroad_sizing_ordered_replicas{service="chat",data_centre="a"} 30`
	if !strings.Contains(exposed(), gauge) || !strings.Contains(exposed(), `gooseberryroad_sizing_demand_engines{service="chat",data_centre="a"} 14.5`) {
		t.Errorf("metrics are %s", exposed())
	}
	r.Released("chat")
	if strings.Contains(exposed(), gauge) {
		t.Error("the order is still a metric after the release")
	}
}

// Guards against a faulty daemon that fills the log.
func TestIgnoredSamplesAreLoggedOnceASecond(t *testing.T) {
	var out bytes.Buffer
	r := sizinglog.New(slog.New(slog.NewTextHandler(&out, nil)))
	for i := range 30 {
		r.Ignored("d", errors.New("negative"), time.UnixMilli(int64(100_000+100*i)))
	}
	if n := strings.Count(out.String(), "samples of demand ignored"); n != 3 {
		t.Errorf("%d lines", n)
	}
}
