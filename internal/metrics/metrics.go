// Package metrics exposes the router's counts in Prometheus' text format. Metric names follow Prometheus'
// conventions: base units, and _total for counters. The package counts nothing about requests itself; it reads
// router.Stats.
package metrics

import (
	"net/http"

	"mintdoor/internal/router"
	"mintdoor/roles"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Set holds the metrics of one router. It is safe for concurrent use.
type Set struct {
	registry *prometheus.Registry
	Roles    *RoleMetrics // nil until NewRoleMetrics is called
}

// New returns the metrics of a router. It calls stats at each scrape.
func New(stats func() router.Stats) *Set {
	s := &Set{registry: prometheus.NewRegistry()}
	s.registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), &core{stats})
	return s
}

// Handler returns the handler that serves scrapes.
func (s *Set) Handler() http.Handler {
	return promhttp.HandlerFor(s.registry, promhttp.HandlerOpts{MaxRequestsInFlight: 4})
}

// core collects the router's own counts.
type core struct{ stats func() router.Stats }

var (
	endings  = prometheus.NewDesc("mintdoor_requests_total", "Requests by how they ended.", []string{"ending"}, nil)
	arrivals = prometheus.NewDesc("mintdoor_arrivals_total", "Requests that were taken.", nil, nil)
	sends    = prometheus.NewDesc("mintdoor_attempts_total", "Attempts at engines.", nil, nil)
	probes   = prometheus.NewDesc("mintdoor_probes_total", "Probes of engines.", nil, nil)
	releases = prometheus.NewDesc("mintdoor_releases_total", "States that were let go.", nil, nil)
	panics   = prometheus.NewDesc("mintdoor_module_panics_total", "Panics of the decision module.", nil, nil)
	violated = prometheus.NewDesc("mintdoor_rule_violations_total", "Steps that a rule forbids and that were taken, by kind.", []string{"kind"}, nil)
	denied   = prometheus.NewDesc("mintdoor_guard_denials_total", "Attempts that were not allowed, by reason.", []string{"reason"}, nil)
	open     = prometheus.NewDesc("mintdoor_requests_open", "Requests that are open.", nil, nil)
	ready    = prometheus.NewDesc("mintdoor_engines_ready", "Engines that the list shows as ready.", nil, nil)
)

// Describe implements prometheus.Collector.
func (c *core) Describe(ch chan<- *prometheus.Desc) {
	for _, d := range []*prometheus.Desc{endings, arrivals, sends, probes, releases, panics, violated, denied, open, ready} {
		ch <- d
	}
}

// Collect implements prometheus.Collector.
func (c *core) Collect(ch chan<- prometheus.Metric) {
	s := c.stats()
	count := func(d *prometheus.Desc, n int64, labels ...string) {
		ch <- prometheus.MustNewConstMetric(d, prometheus.CounterValue, float64(n), labels...)
	}
	for ending, n := range map[string]int64{"served": s.Served, "refused": s.Refused, "failed": s.Failed, "gone": s.Gone, "moved": s.Moved} {
		count(endings, n, ending)
	}
	count(arrivals, s.Arrived)
	count(sends, s.Sends)
	count(probes, s.Probes)
	count(releases, s.Releases)
	count(panics, s.Panics)
	for kind, n := range s.Violations {
		count(violated, n, kind)
	}
	for reason, n := range s.Denials {
		count(denied, n, reason)
	}
	ch <- prometheus.MustNewConstMetric(open, prometheus.GaugeValue, float64(s.Open))
	ch <- prometheus.MustNewConstMetric(ready, prometheus.GaugeValue, float64(s.Engines))
}

// RoleMetrics holds the metrics of role changes. Every router observes every change, so each router counts all
// changes that it has seen: the values of several routers must not be added up.
type RoleMetrics struct {
	changes     *prometheus.CounterVec
	duration    *prometheus.HistogramVec
	lost        *prometheus.CounterVec // engine-seconds lost to changes
	engines     *prometheus.GaugeVec
	demand      *prometheus.GaugeVec
	servedRatio *prometheus.GaugeVec
	confidence  prometheus.Gauge
	planTime    prometheus.Histogram
	dropped     prometheus.Counter
}

var stages = [...]string{roles.Prefill: "prefill", roles.Decode: "decode"}

// NewRoleMetrics adds the metrics of role changes to a set.
func (s *Set) NewRoleMetrics() *RoleMetrics {
	m := &RoleMetrics{
		changes: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mintdoor_role_changes_total",
			Help: "Changes of role that have ended, by the role that was asked for and by result."}, []string{"to", "result"}),
		duration: prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "mintdoor_role_change_seconds", Help: "Time of a change, from its asking to its end.",
			Buckets: prometheus.ExponentialBuckets(0.25, 2, 12)}, []string{"result"}),
		lost: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "mintdoor_role_engine_seconds_lost_total",
			Help: "Engine-seconds lost to changes: away, and what coldness took afterwards as full time."}, []string{"to", "by"}),
		engines: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "mintdoor_role_engines", Help: "Engines that can change, by role and step."},
			[]string{"role", "step"}),
		demand: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "mintdoor_role_demand_tokens_per_second",
			Help: "Work that is expected of each stage over the horizon, over all routers."}, []string{"stage", "of"}),
		servedRatio: prometheus.NewGaugeVec(prometheus.GaugeOpts{Name: "mintdoor_role_plan_served_ratio",
			Help: "Part of the work that is expected to be served in time, with the roles as they are and as planned."}, []string{"roles"}),
		confidence: prometheus.NewGauge(prometheus.GaugeOpts{Name: "mintdoor_role_plan_confidence", Help: "Confidence that the last plan pays."}),
		planTime: prometheus.NewHistogram(prometheus.HistogramOpts{Name: "mintdoor_role_plan_seconds", Help: "Time that a plan took to be found.",
			Buckets: prometheus.ExponentialBuckets(0.0001, 4, 9)}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{Name: "mintdoor_role_unseen_total", Help: "Observations of the traffic that did not fit."}),
	}
	s.registry.MustRegister(m.changes, m.duration, m.lost, m.engines, m.demand, m.servedRatio, m.confidence, m.planTime, m.dropped)
	for _, to := range stages { // so that the first change shows as an increase from zero
		for _, result := range []string{"done", "failed"} {
			m.changes.WithLabelValues(to, result)
		}
	}
	s.Roles = m
	return m
}

// ChangeEnded counts a role change that has ended. cold is the cost of the engine's slow start, as the equivalent
// number of seconds at full capacity.
func (m *RoleMetrics) ChangeEnded(e *roles.ChangeResult, cold float64) {
	if m == nil {
		return
	}
	result := "failed"
	if e.Succeeded {
		result = "done"
		m.lost.WithLabelValues(stages[e.To], "cold").Add(cold)
	}
	m.changes.WithLabelValues(stages[e.To], result).Inc()
	m.duration.WithLabelValues(result).Observe(e.Elapsed.Seconds())
	m.lost.WithLabelValues(stages[e.To], "away").Add(e.Elapsed.Seconds())
}

// PlanMade records a plan, and the time in seconds that planning took.
func (m *RoleMetrics) PlanMade(r *roles.PlanReport, took float64) {
	if m == nil {
		return
	}
	for st, name := range stages {
		m.demand.WithLabelValues(name, "mean").Set(r.Demand[st].Mean)
		m.demand.WithLabelValues(name, "sd").Set(r.Demand[st].SD)
	}
	m.servedRatio.WithLabelValues("now").Set(r.Plan.ServedNow)
	m.servedRatio.WithLabelValues("planned").Set(r.Plan.ServedAfter)
	m.confidence.Set(r.Verdict.Confidence)
	m.planTime.Observe(took)
}

// SetEngines records the role and the step of all engines.
func (m *RoleMetrics) SetEngines(list []roles.Status) {
	if m == nil {
		return
	}
	m.engines.Reset()
	for _, e := range list {
		role := "unknown"
		if e.Known {
			role = stages[e.State.Role]
		}
		m.engines.WithLabelValues(role, e.Step).Inc()
	}
}

// ObservationDropped counts an observation of the traffic that was dropped because a queue was full.
func (m *RoleMetrics) ObservationDropped() {
	if m != nil {
		m.dropped.Inc()
	}
}
