//! Logs: one line of key=value pairs for each event.

use bambooseam_config::LogSettings;
use derive_more::{Display, Error, From};
use log::LevelFilter;
use log4rs::append::Append;
use log4rs::append::file::FileAppender;
use log4rs::config::{Appender, Root};
use log4rs::encode::pattern::PatternEncoder;

use crate::queue::QueueAppender;

/// Time, level and module go before the pairs of the event.
const PATTERN: &str = "time={d(%Y-%m-%dT%H:%M:%S%.3fZ)(utc)} level={l} from={t} {m}{n}";

/// Name of the one appender.
const APPENDER: &str = "main";

/// Why logs could not be started.
#[derive(Debug, Display, Error, From)]
pub enum LogError {
    /// The log file can't be written.
    #[display("log file: {_0}")]
    File(std::io::Error),
    /// Logs were started before.
    #[display("logs: {_0}")]
    AlreadyInitialised(log::SetLoggerError),
    /// The appender and root do not fit.
    #[display("logs: {_0}")]
    Config(log4rs::config::runtime::ConfigErrors),
}

/// Starts logs as the settings say.
///
/// # Errors
///
/// An error when the file can't be written or logs were started before.
pub fn init_logs(settings: &LogSettings) -> Result<(), LogError> {
    let encoder = PatternEncoder::new(PATTERN);
    let appender: Box<dyn Append> = match &settings.file {
        Some(file) => {
            let encoder = Box::new(encoder);
            Box::new(FileAppender::builder().encoder(encoder).build(file)?)
        }
        None => Box::new(QueueAppender::new(encoder)?),
    };
    // The settings check has admitted only known levels.
    let level = settings.level.parse().unwrap_or(LevelFilter::Info);
    let config = log4rs::Config::builder()
        .appender(Appender::builder().build(APPENDER, appender))
        .build(Root::builder().appender(APPENDER).build(level))?;
    log4rs::init_config(config)?;
    Ok(())
}
