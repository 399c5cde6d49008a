package load

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/pkg/errors"
	dto "github.com/prometheus/client_model/go"
	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"golang.org/x/sync/errgroup"
)

const (
	scrapeTimeout        = 5 * time.Second
	maxConcurrentScrapes = 4
	purposeLabel         = "purpose"
)

// daemonState is the part of a daemon's /status that the commands use.
type daemonState struct {
	VM           string    `json:"vm"`
	Ready        bool      `json:"ready"`
	Generation   uint64    `json:"generation"`
	InForceSince time.Time `json:"in_force_since"`
	Live         []struct{ ID string }
}

func get(ctx context.Context, url string, read func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, scrapeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Errorf("%s: %s", url, resp.Status)
	}
	return read(resp.Body)
}

// each runs f for every address, up to maxConcurrentScrapes at once.
func each(ctx context.Context, addrs []string, f func(ctx context.Context, i int, addr string) error) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentScrapes)
	for i, addr := range addrs {
		group.Go(func() error { return f(ctx, i, addr) })
	}
	return group.Wait()
}

func states(ctx context.Context, admins []string) ([]daemonState, error) {
	out := make([]daemonState, len(admins))
	err := each(ctx, admins, func(ctx context.Context, i int, addr string) error {
		return getJSON(ctx, "http://"+addr+"/status", &out[i])
	})
	return out, err
}

// families maps the names of one daemon's metrics to their families.
type families map[string]*dto.MetricFamily

func metrics(ctx context.Context, admins []string) ([]families, error) {
	out := make([]families, len(admins))
	err := each(ctx, admins, func(ctx context.Context, i int, addr string) error {
		return get(ctx, "http://"+addr+"/metrics", func(r io.Reader) (err error) {
			parser := expfmt.NewTextParser(model.UTF8Validation)
			out[i], err = parser.TextToMetricFamilies(r)
			return err
		})
	})
	return out, err
}

// by returns the sums of a counter or gauge by the values of a label.
func (f families) by(name, label string) map[string]float64 {
	out := map[string]float64{}
	for _, m := range f[name].GetMetric() {
		for _, l := range m.GetLabel() {
			if l.GetName() == label {
				out[l.GetValue()] += value(m)
			}
		}
	}
	return out
}

func value(m *dto.Metric) float64 { return m.GetCounter().GetValue() + m.GetGauge().GetValue() }

// sum returns the sum of a counter or gauge over all its labels.
func (f families) sum(name string) float64 {
	total := 0.0
	for _, m := range f[name].GetMetric() {
		total += value(m)
	}
	return total
}
