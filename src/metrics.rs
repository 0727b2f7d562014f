//! Counters, gauges and histograms of one instance, exported in the Prometheus text format.

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use hdrhistogram::Histogram;

/// Significant decimal digits kept by histograms.
const SIGNIFICANT_FIGURES: u8 = 2;
/// Largest duration that a histogram records, in microseconds; longer ones count as this.
const MAX_MICROS: u64 = 3_600_000_000;
/// Quantiles exported for each histogram.
const QUANTILES: [f64; 4] = [0.5, 0.9, 0.95, 0.99];

/// Counters; each has one label. Where the label is a class, a gateway uses the route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Counter {
    /// Requests that met their latency targets, by class.
    Attained,
    /// Requests that missed a latency target, by class.
    Missed,
    /// Output tokens of complete responses that met their latency targets, by class.
    GoodTokens,
    /// Output tokens of responses that were cancelled, late or generated again, by reason.
    WastedTokens,
    /// Refused requests, by code (by HTTP status in a gateway).
    Refused,
    /// Requests that were sent again to another backend server, by reason.
    Retried,
    /// Requests refused because a part of their prompt crashes backend servers, by class.
    Quarantined,
    /// Attempts to migrate a run to another engine, by outcome.
    Migrations,
    /// Streams that broke off after they had begun, by urgency.
    InterruptedStreams,
    /// Streams that callers take up again, by where it is known what began them.
    ResumedStreams,
    /// Calls to the platform, by kind.
    PlatformCalls,
    /// Calls to the platform that failed, by kind.
    PlatformFailures,
    /// Usage windows reported, by outcome.
    UsageWindows,
    /// Messages to peers, by kind.
    PeerMessages,
    /// Bytes of messages to peers before framing, by kind.
    PeerBytes,
}

/// Duration histograms; each has one label, as for [`Counter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum DurationMetric {
    /// Time to the first token, by class.
    FirstToken,
    /// Time between tokens, or between forwarded events, by class.
    TokenGap,
    /// Time spent in the queue of a backend server, by class.
    QueueWait,
}

impl Counter {
    fn name(self) -> (&'static str, &'static str) {
        match self {
            Self::Attained => ("attained_requests_total", "class"),
            Self::Missed => ("missed_requests_total", "class"),
            Self::GoodTokens => ("good_tokens_total", "class"),
            Self::WastedTokens => ("wasted_tokens_total", "reason"),
            Self::Refused => ("refused_requests_total", "code"),
            Self::Retried => ("retried_requests_total", "reason"),
            Self::Quarantined => ("quarantined_requests_total", "class"),
            Self::Migrations => ("migrations_total", "outcome"),
            Self::InterruptedStreams => ("interrupted_streams_total", "urgency"),
            Self::ResumedStreams => ("resumed_streams_total", "origin"),
            Self::PlatformCalls => ("platform_calls_total", "kind"),
            Self::PlatformFailures => ("platform_failures_total", "kind"),
            Self::UsageWindows => ("usage_windows_total", "outcome"),
            Self::PeerMessages => ("peer_messages_total", "kind"),
            Self::PeerBytes => ("peer_bytes_total", "kind"),
        }
    }
}

impl DurationMetric {
    fn name(self) -> (&'static str, &'static str) {
        match self {
            Self::FirstToken => ("first_token_seconds", "class"),
            Self::TokenGap => ("token_gap_seconds", "class"),
            Self::QueueWait => ("queue_wait_seconds", "class"),
        }
    }
}

#[derive(Default)]
struct Values {
    counters: BTreeMap<(Counter, String), u64>,
    histograms: BTreeMap<(DurationMetric, String), Histogram<u64>>,
    gauges: BTreeMap<(&'static str, String), u64>,
}

/// The metrics of one instance; clones share them.
#[derive(Clone, Default)]
pub struct Metrics {
    values: Arc<Mutex<Values>>,
}

impl Metrics {
    /// Adds `amount` to a counter.
    pub fn add(&self, counter: Counter, label: &str, amount: u64) {
        self.with(|values| {
            *values.counters.entry((counter, label.to_owned())).or_default() += amount;
        });
    }

    /// Records a duration in a histogram.
    pub fn record_duration(&self, metric: DurationMetric, label: &str, duration: Duration) {
        let micros = (duration.as_micros() as u64).clamp(1, MAX_MICROS);
        self.with(|values| {
            let histogram =
                values.histograms.entry((metric, label.to_owned())).or_insert_with(|| {
                    Histogram::new_with_max(MAX_MICROS, SIGNIFICANT_FIGURES)
                        .expect("the constants are valid bounds of a histogram")
                });
            histogram.saturating_record(micros);
        });
    }

    /// Sets a gauge; `label` names the object that it describes, such as a service.
    pub fn set_gauge(&self, gauge: &'static str, label: &str, value: u64) {
        self.with(|values| {
            values.gauges.insert((gauge, label.to_owned()), value);
        });
    }

    /// Returns the value of a counter.
    pub fn counter_value(&self, counter: Counter, label: &str) -> u64 {
        self.with(|values| {
            values.counters.get(&(counter, label.to_owned())).copied().unwrap_or_default()
        })
    }

    /// Formats all metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        self.with(|values| {
            let mut text = String::new();
            for ((counter, label), value) in &values.counters {
                let (name, key) = counter.name();
                let label = escape_label(label);
                let _ = writeln!(text, "laburnumvalve_{name}{{{key}=\"{label}\"}} {value}");
            }
            for ((gauge, label), value) in &values.gauges {
                let label = escape_label(label);
                let _ = writeln!(text, "laburnumvalve_{gauge}{{name=\"{label}\"}} {value}");
            }
            for ((metric, label), histogram) in &values.histograms {
                render_summary(&mut text, *metric, label, histogram);
            }
            text
        })
    }

    fn with<T>(&self, update: impl FnOnce(&mut Values) -> T) -> T {
        update(&mut self.values.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

/// Escapes the value of a label, which may be a name that others chose.
fn escape_label(label: &str) -> String {
    label.replace('\\', r"\\").replace('"', "\\\"").replace('\n', r"\n")
}

fn render_summary(
    text: &mut String,
    metric: DurationMetric,
    label: &str,
    histogram: &Histogram<u64>,
) {
    let (name, key) = metric.name();
    let label = escape_label(label);
    for quantile in QUANTILES {
        let seconds = histogram.value_at_quantile(quantile) as f64 / 1e6;
        let _ = writeln!(
            text,
            "laburnumvalve_{name}{{{key}=\"{label}\",quantile=\"{quantile}\"}} {seconds}"
        );
    }
    let count = histogram.len();
    let _ = writeln!(text, "laburnumvalve_{name}_count{{{key}=\"{label}\"}} {count}");
}
