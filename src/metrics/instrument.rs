//! Instruments of the metrics in the catalogue.

use opentelemetry::metrics::Counter;
use opentelemetry::metrics::Gauge;
use opentelemetry::metrics::Histogram;
use opentelemetry::metrics::Meter;

use super::catalogue::MetricEntry;

/// The bucket bounds of the histograms, in seconds; they include the latency targets of 0.027 s
/// between tokens and 0.52 s to the first token.
const SECONDS_BOUNDS: [f64; 16] = [
    0.005, 0.01, 0.02, 0.027, 0.04, 0.08, 0.16, 0.25, 0.52, 1.0, 2.0, 5.0, 15.0, 60.0, 300.0,
    1800.0,
];

pub(super) fn counter(meter: &Meter, entry: &MetricEntry) -> Counter<u64> {
    let counter = meter.u64_counter(entry.name);
    counter.with_description(entry.description).build()
}

pub(super) fn real_counter(meter: &Meter, entry: &MetricEntry) -> Counter<f64> {
    let counter = meter.f64_counter(entry.name);
    counter.with_description(entry.description).build()
}

pub(super) fn gauge(meter: &Meter, entry: &MetricEntry) -> Gauge<u64> {
    let gauge = meter.u64_gauge(entry.name);
    gauge.with_description(entry.description).build()
}

pub(super) fn real_gauge(meter: &Meter, entry: &MetricEntry) -> Gauge<f64> {
    let gauge = meter.f64_gauge(entry.name);
    gauge.with_description(entry.description).build()
}

pub(super) fn histogram(meter: &Meter, entry: &MetricEntry) -> Histogram<f64> {
    let histogram = meter.f64_histogram(entry.name);
    histogram
        .with_description(entry.description)
        .with_boundaries(SECONDS_BOUNDS.to_vec())
        .build()
}
