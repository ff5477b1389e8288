//! Log output: each event is one line of `key=value` pairs.

use bambooseam_config::LogSettings;
use derive_more::{Display, Error, From};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::queue::QueueAppender;

/// Line format: time, level and module precede the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} from={t} {m}{n}";

/// Name of the only appender.
const APPENDER: &str = "main";

/// Why logging could not be initialised.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// The log file can't be opened, or the thread that writes to standard output can't be started.
    #[display("log output can't be opened: {_0}")]
    File(std::io::Error),
    /// Logging is already initialised in this process.
    #[display("logging is already initialised: {_0}")]
    AlreadyInitialised(log::SetLoggerError),
    /// The appender and the root logger are inconsistent.
    #[display("logging configuration is invalid: {_0}")]
    Config(log4rs::config::runtime::ConfigErrors),
}

/// Initialises logging according to the settings.
///
/// Lines go to the file of the settings, or to standard output through a bounded queue.
///
/// # Errors
///
/// Returns an error when the file can't be opened, the writer thread can't be started or logging is
/// already initialised.
pub fn init_logs(settings: &LogSettings) -> Result<(), LogError> {
    let encoder = PatternEncoder::new(PATTERN);
    let appender: Box<dyn Append> = match &settings.file {
        Some(file) => {
            let encoder = Box::new(encoder);
            Box::new(FileAppender::builder().encoder(encoder).build(file)?)
        }
        None => Box::new(QueueAppender::new(encoder)?),
    };
    // The settings check accepts known levels only, so the default is never used.
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let config = log4rs::Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(Root::builder().appender(APPENDER).build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
