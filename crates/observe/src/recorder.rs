//! Metrics recorder of the process, rendered in the Prometheus text format.
//!
//! Histograms have fixed bucket bounds and store counts only, so memory does not grow between
//! scrapes. The recorder uses no clock, because a clock that calibrates the processor's cycle
//! counter first would delay the start of a process on a slow core by 200 ms.

use std::fmt::{self, Debug, Formatter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::{
    Counter, Gauge, HistogramFn, Key, KeyName, Metadata, Recorder, SetRecorderError, SharedString,
    Unit,
};
use metrics_util::registry::{Registry, Storage};

/// Bucket bounds of all histograms, in seconds. The range covers one iteration of the packet task
/// up to the longest deadline.
const BUCKET_BOUNDS_S: [f64; 13] = [
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// All metrics of a process.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry<Key, AtomicStorage>>,
}

/// Storage of each metric kind: atomics for counters and gauges, buckets for histograms.
#[derive(Debug)]
struct AtomicStorage;

/// Counts of observed values per bucket.
#[derive(Debug, Default)]
struct Buckets {
    /// Values above the previous bound and up to this bound; the last bucket counts the values
    /// above all bounds.
    counts: [AtomicU64; BUCKET_BOUNDS_S.len() + 1],
    /// Sum of all values, as the bit pattern of an `f64`.
    sum: AtomicU64,
}

impl Metrics {
    /// Installs a new recorder as the global recorder of the process.
    ///
    /// # Errors
    ///
    /// Returns an error when a recorder is already installed.
    pub(crate) fn install() -> Result<Self, SetRecorderError<Self>> {
        let metrics = Self {
            registry: Arc::new(Registry::new(AtomicStorage)),
        };
        metrics::set_global_recorder(metrics.clone())?;
        Ok(metrics)
    }

    /// Renders all metrics as text, sorted by name.
    pub(crate) fn render(&self) -> String {
        let mut families: Vec<(String, &'static str, Vec<String>)> = Vec::new();
        let mut add = |key: &Key, kind, lines: Vec<String>| {
            let name = key.name();
            match families.binary_search_by(|family| family.0.as_str().cmp(name)) {
                Ok(index) => families[index].2.extend(lines),
                Err(index) => families.insert(index, (name.to_owned(), kind, lines)),
            }
        };
        self.registry.visit_counters(|key, count| {
            let value = count.load(Ordering::Relaxed);
            add(key, "counter", vec![line(key, "", None, value)]);
        });
        self.registry.visit_gauges(|key, bits| {
            let value = f64::from_bits(bits.load(Ordering::Relaxed));
            add(key, "gauge", vec![line(key, "", None, value)]);
        });
        self.registry
            .visit_histograms(|key, buckets| add(key, "histogram", buckets.lines(key)));
        let mut text = String::new();
        for (name, kind, mut lines) in families {
            // Writing to a String can't fail.
            let _ = writeln!(text, "# TYPE {name} {kind}");
            if kind != "histogram" {
                lines.sort();
            }
            for line in lines {
                text.push_str(&line);
                text.push('\n');
            }
        }
        text
    }
}

impl Debug for Metrics {
    fn fmt(&self, f: &mut Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Recorder for Metrics {
    fn describe_counter(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_gauge(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn describe_histogram(&self, _: KeyName, _: Option<Unit>, _: SharedString) {}

    fn register_counter(&self, key: &Key, _: &Metadata<'_>) -> Counter {
        let handle = |value: &Arc<AtomicU64>| Arc::clone(value).into();
        self.registry.get_or_create_counter(key, handle)
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let handle = |value: &Arc<AtomicU64>| Arc::clone(value).into();
        self.registry.get_or_create_gauge(key, handle)
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> metrics::Histogram {
        let handle = |buckets: &Arc<Buckets>| Arc::clone(buckets).into();
        self.registry.get_or_create_histogram(key, handle)
    }
}

impl Storage<Key> for AtomicStorage {
    type Counter = Arc<AtomicU64>;
    type Gauge = Arc<AtomicU64>;
    type Histogram = Arc<Buckets>;

    fn counter(&self, _: &Key) -> Self::Counter {
        Arc::default()
    }

    fn gauge(&self, _: &Key) -> Self::Gauge {
        Arc::default()
    }

    fn histogram(&self, _: &Key) -> Self::Histogram {
        Arc::default()
    }
}

impl HistogramFn for Buckets {
    fn record(&self, value: f64) {
        let index = BUCKET_BOUNDS_S.partition_point(|bound| *bound < value);
        self.counts[index].fetch_add(1, Ordering::Relaxed);
        let add = |bits: u64| Some((f64::from_bits(bits) + value).to_bits());
        // The update never fails, because the closure always returns a value.
        let _ = self
            .sum
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}

impl Buckets {
    /// Returns the lines of the histogram: cumulative counts per bound, sum and count.
    fn lines(&self, key: &Key) -> Vec<String> {
        let mut lines = Vec::with_capacity(BUCKET_BOUNDS_S.len() + 3);
        let mut cumulative = 0;
        for (index, count) in self.counts.iter().enumerate() {
            cumulative += count.load(Ordering::Relaxed);
            let bound = BUCKET_BOUNDS_S
                .get(index)
                .map_or("+Inf".into(), f64::to_string);
            lines.push(line(key, "_bucket", Some(&bound), cumulative));
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        lines.push(line(key, "_sum", None, sum));
        lines.push(line(key, "_count", None, cumulative));
        lines
    }
}

/// Formats a line with name, labels and value.
fn line(key: &Key, suffix: &str, bound: Option<&str>, value: impl std::fmt::Display) -> String {
    let key_labels = key.labels().map(|label| (label.key(), label.value()));
    let labels = key_labels.chain(bound.map(|bound| ("le", bound)));
    let labels: Vec<String> = labels
        .map(|(name, value)| format!("{name}=\"{}\"", escape_label(value)))
        .collect();
    let name = key.name();
    match labels.is_empty() {
        true => format!("{name}{suffix} {value}"),
        false => format!("{name}{suffix}{{{}}} {value}", labels.join(",")),
    }
}

/// Escapes a label value according to the Prometheus text format.
fn escape_label(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
