//! Tests of the metrics' text format.

use std::time::Duration;

use laburnumvalve::metrics::{Counter, DurationMetric, Metrics};

/// Guards against metrics that can't be read because of one name in them.
#[test]
fn names_in_labels_are_escaped() {
    let metrics = Metrics::default();
    let name = "a\"b\\c\nd";

    metrics.add(Counter::Retried, name, 1);
    metrics.set_gauge("servers_usable", name, 2);
    metrics.record_duration(DurationMetric::FirstToken, name, Duration::from_secs(1));

    let text = metrics.render();
    assert_eq!(text.lines().count(), 7, "{text}");
    assert!(text.lines().all(|line| line.contains(r#"="a\"b\\c\nd""#)), "{text}");
}
