//! Writes each ended span as one JSON object a line.

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

/// Target of the spans that are written.
const HOP_TARGET: &str = "hop";

/// File name that means standard output.
const STDOUT: &str = "-";

/// Why traces could not be started.
#[derive(Debug, Display, Error, From)]
pub enum TraceError {
    /// The trace file can't be written.
    #[display("trace file: {_0}")]
    File(io::Error),
    /// Traces were started before.
    #[display("traces: {_0}")]
    AlreadyInitialised(SetGlobalDefaultError),
}

/// Starts traces of `program` as the settings say; without a trace file there are none.
///
/// # Errors
///
/// An error when the file can't be written or traces were started before.
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

/// The layer that collects the fields of spans and writes them at their end.
struct SpanWriter {
    program: String,
    vm: String,
    output: Mutex<Box<dyn Write + Send>>,
}

/// What is kept of an open span.
struct OpenSpan {
    start: Instant,
    time: SystemTime,
    fields: Fields,
}

/// Fields of a span as JSON.
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
            time: SystemTime::now(),
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
    /// The line of an ended span; times are in microseconds.
    fn line(&self, open: OpenSpan) -> String {
        let mut fields = open.fields.0;
        let start = open.time.duration_since(UNIX_EPOCH).unwrap_or_default();
        fields.insert("program".into(), self.program.as_str().into());
        fields.insert("vm".into(), self.vm.as_str().into());
        fields.insert("start_us".into(), micros(start));
        fields.insert("duration_us".into(), micros(open.start.elapsed()));
        format!("{}\n", Value::Object(fields))
    }
}

/// Microseconds as JSON.
fn micros(time: std::time::Duration) -> Value {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX).into()
}
