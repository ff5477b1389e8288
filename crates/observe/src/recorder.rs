//! Metrics of this process, written in the text format of Prometheus.
//!
//! Histograms have fixed bounds and hold counts only, so nothing piles up between two scrapes. No
//! clock is used: a clock that measures the processor's counter first holds up the start of a
//! process on a slow core by 200 ms.

use std::fmt::{self, Debug, Formatter, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

use metrics::{
    Counter, Gauge, HistogramFn, Key, KeyName, Metadata, Recorder, SetRecorderError, SharedString,
    Unit,
};
use metrics_util::registry::{Registry, Storage};

/// Bounds of all histograms, in seconds: from a turn of the packet task to the longest deadline.
const BOUNDS: [f64; 13] = [
    0.001, 0.002_5, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0,
];

/// All metrics of a process.
#[derive(Clone)]
pub(crate) struct Metrics {
    registry: Arc<Registry<Key, Kinds>>,
}

/// How values of each kind are held.
#[derive(Debug)]
struct Kinds;

/// Counts of values by bound.
#[derive(Debug, Default)]
struct Buckets {
    /// Values up to each bound and above the one before, and those above the last.
    counts: [AtomicU64; BOUNDS.len() + 1],
    /// Sum of all values, as the bits of a float.
    sum: AtomicU64,
}

impl Metrics {
    /// Makes this the recorder of the process.
    ///
    /// # Errors
    ///
    /// An error when there is one already.
    pub(crate) fn install() -> Result<Self, SetRecorderError<Self>> {
        let metrics = Self {
            registry: Arc::new(Registry::new(Kinds)),
        };
        metrics::set_global_recorder(metrics.clone())?;
        Ok(metrics)
    }

    /// All metrics as text, sorted by name.
    pub(crate) fn render(&self) -> String {
        let mut families: Vec<(String, &'static str, Vec<String>)> = Vec::new();
        let mut add = |key: &Key, kind, lines: Vec<String>| {
            let name = key.name();
            match families.binary_search_by(|family| family.0.as_str().cmp(name)) {
                Ok(at) => families[at].2.extend(lines),
                Err(at) => families.insert(at, (name.to_owned(), kind, lines)),
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
            // A String takes all that is written to it.
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
        let get = |held: &Arc<AtomicU64>| Arc::clone(held).into();
        self.registry.get_or_create_counter(key, get)
    }

    fn register_gauge(&self, key: &Key, _: &Metadata<'_>) -> Gauge {
        let get = |held: &Arc<AtomicU64>| Arc::clone(held).into();
        self.registry.get_or_create_gauge(key, get)
    }

    fn register_histogram(&self, key: &Key, _: &Metadata<'_>) -> metrics::Histogram {
        let get = |held: &Arc<Buckets>| Arc::clone(held).into();
        self.registry.get_or_create_histogram(key, get)
    }
}

impl Storage<Key> for Kinds {
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
        let at = BOUNDS.partition_point(|bound| *bound < value);
        self.counts[at].fetch_add(1, Ordering::Relaxed);
        let add = |bits: u64| Some((f64::from_bits(bits) + value).to_bits());
        // Never refused: the closure always gives a value.
        let _ = self
            .sum
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }
}

impl Buckets {
    /// The histogram's lines: counts up to each bound, sum and count.
    fn lines(&self, key: &Key) -> Vec<String> {
        let mut lines = Vec::with_capacity(BOUNDS.len() + 3);
        let mut upto = 0;
        for (at, count) in self.counts.iter().enumerate() {
            upto += count.load(Ordering::Relaxed);
            let bound = BOUNDS.get(at).map_or("+Inf".into(), f64::to_string);
            lines.push(line(key, "_bucket", Some(&bound), upto));
        }
        let sum = f64::from_bits(self.sum.load(Ordering::Relaxed));
        lines.push(line(key, "_sum", None, sum));
        lines.push(line(key, "_count", None, upto));
        lines
    }
}

/// One line: name, labels and value.
fn line(key: &Key, suffix: &str, bound: Option<&str>, value: impl std::fmt::Display) -> String {
    let own = key.labels().map(|label| (label.key(), label.value()));
    let labels = own.chain(bound.map(|bound| ("le", bound)));
    let labels: Vec<String> = labels
        .map(|(name, value)| format!("{name}=\"{}\"", escaped(value)))
        .collect();
    let name = key.name();
    match labels.is_empty() {
        true => format!("{name}{suffix} {value}"),
        false => format!("{name}{suffix}{{{}}} {value}", labels.join(",")),
    }
}

/// A label's value as the format wants it.
fn escaped(value: &str) -> String {
    value
        .replace('\\', "\\\\")
        .replace('"', "\\\"")
        .replace('\n', "\\n")
}
