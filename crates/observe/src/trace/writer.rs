//! Trace output: each closed span is written as one JSON object per line.

use std::fmt::Debug;
use std::fs::OpenOptions;
use std::io::{self, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use bambooseam_config::Settings;
use derive_more::{Display, Error, From};
use serde_json::{Map, Value};
use tracing::field::{Field, Visit};
use tracing::span::{Attributes, Id, Record};
use tracing::subscriber::SetGlobalDefaultError;
use tracing_subscriber::filter::filter_fn;
use tracing_subscriber::layer::{Context, SubscriberExt};
use tracing_subscriber::registry::LookupSpan;
use tracing_subscriber::{Layer, Registry};

/// `tracing` target of the spans that are written.
const HOP_TARGET: &str = "hop";

/// File name that stands for standard output.
const STDOUT: &str = "-";

/// Why tracing could not be initialised.
#[derive(Debug, Display, Error, From)]
pub enum TraceError {
    /// The trace file can't be opened.
    #[display("trace file can't be opened: {_0}")]
    File(io::Error),
    /// Tracing is already initialised in this process.
    #[display("tracing is already initialised: {_0}")]
    AlreadyInitialised(SetGlobalDefaultError),
}

/// Initialises tracing of `program` according to the settings; without a trace file, no spans are
/// written.
///
/// # Errors
///
/// Returns an error when the file can't be opened or tracing is already initialised.
pub fn init_traces(settings: &Settings, program: &str) -> Result<(), TraceError> {
    let Some(path) = &settings.trace.file else {
        return Ok(());
    };
    let writer = SpanWriter {
        program: program.into(),
        vm: settings.vm.id.to_string(),
        output: Mutex::new(open_output(path)?),
    };
    let layer = writer.with_filter(filter_fn(|metadata| metadata.target() == HOP_TARGET));
    tracing::subscriber::set_global_default(Registry::default().with(layer))?;
    Ok(())
}

/// Opens the trace file for appending.
fn open_output(path: &Path) -> io::Result<Box<dyn Write + Send>> {
    if path == Path::new(STDOUT) {
        return Ok(Box::new(io::stdout()));
    }
    let file = OpenOptions::new().create(true).append(true).open(path)?;
    Ok(Box::new(file))
}

/// A layer that collects the fields of spans and writes each span when it closes.
struct SpanWriter {
    program: String,
    vm: String,
    output: Mutex<Box<dyn Write + Send>>,
}

/// State of an open span.
struct OpenSpan {
    start: Instant,
    wall_start: SystemTime,
    fields: Fields,
}

/// Fields of a span as a JSON object.
#[derive(Default)]
struct Fields(Map<String, Value>);

impl Visit for Fields {
    fn record_debug(&mut self, field: &Field, value: &dyn Debug) {
        self.0
            .insert(field.name().into(), format!("{value:?}").into());
    }

    fn record_str(&mut self, field: &Field, value: &str) {
        self.0.insert(field.name().into(), value.into());
    }

    fn record_u64(&mut self, field: &Field, value: u64) {
        self.0.insert(field.name().into(), value.into());
    }
}

impl<S> Layer<S> for SpanWriter
where
    S: tracing::Subscriber + for<'a> LookupSpan<'a>,
{
    fn on_new_span(&self, attributes: &Attributes<'_>, id: &Id, context: Context<'_, S>) {
        let Some(span) = context.span(id) else { return };
        let mut fields = Fields::default();
        attributes.record(&mut fields);
        span.extensions_mut().insert(OpenSpan {
            start: Instant::now(),
            wall_start: SystemTime::now(),
            fields,
        });
    }

    fn on_record(&self, id: &Id, values: &Record<'_>, context: Context<'_, S>) {
        let Some(span) = context.span(id) else { return };
        if let Some(open) = span.extensions_mut().get_mut::<OpenSpan>() {
            values.record(&mut open.fields);
        }
    }

    fn on_close(&self, id: Id, context: Context<'_, S>) {
        let Some(span) = context.span(&id) else {
            return;
        };
        let Some(open) = span.extensions_mut().remove::<OpenSpan>() else {
            return;
        };
        let line = self.line(open);
        let Ok(mut output) = self.output.lock() else {
            return;
        };
        if output.write_all(line.as_bytes()).is_err() {
            metrics::counter!("trace_spans_lost").increment(1);
        }
    }
}

impl SpanWriter {
    /// Formats a closed span as a line; times are in microseconds.
    fn line(&self, open: OpenSpan) -> String {
        let mut fields = open.fields.0;
        let start = open
            .wall_start
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        fields.insert("program".into(), self.program.as_str().into());
        fields.insert("vm".into(), self.vm.as_str().into());
        fields.insert("start_us".into(), micros(start));
        fields.insert("duration_us".into(), micros(open.start.elapsed()));
        format!("{}\n", Value::Object(fields))
    }
}

/// Converts a duration to a JSON number of microseconds.
fn micros(time: std::time::Duration) -> Value {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).into()
}
