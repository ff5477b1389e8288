//! Log appender that never blocks the program.
//!
//! A dedicated thread writes to standard output. When the reader of standard output does not keep
//! up and the queue is full, lines are dropped and counted, and the count is written as soon as the
//! output accepts lines again.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::Duration;

use log::Record;
use log4rs::append::Append;
use log4rs::encode::Encode;
use log4rs::encode::pattern::PatternEncoder;
use log4rs::encode::writer::simple::SimpleWriter;

/// Maximum number of queued lines: the output of 2 s of a program that logs at all its rate limits.
const MAX_QUEUED_LINES: usize = 1_024;

/// Longest time that a program waits on exit until its last lines are written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

/// An appender that passes encoded lines to the writer thread.
#[derive(Debug)]
pub(crate) struct QueueAppender {
    encoder: PatternEncoder,
    sender: Mutex<SyncSender<Message>>,
    dropped: Arc<AtomicU64>,
}

/// Message to the writer thread.
enum Message {
    /// An encoded line to write.
    Line(Vec<u8>),
    /// Request to flush all previous lines and to confirm through the channel.
    Flush(SyncSender<()>),
}

impl QueueAppender {
    /// Creates an appender and starts its writer thread.
    ///
    /// # Errors
    ///
    /// Returns an error when the thread can't be started.
    pub(crate) fn new(encoder: PatternEncoder) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&receiver, &dropped_lines))?;
        Ok(Self {
            encoder,
            sender: Mutex::new(sender),
            dropped,
        })
    }

    fn send(&self, message: Message) -> bool {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        sender.try_send(message).is_ok()
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(256);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        if !self.send(Message::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {
        let (confirm, confirmed) = sync_channel(1);
        if self.send(Message::Flush(confirm)) {
            // Lines that can't be written within the timeout are lost when the process exits.
            let _ = confirmed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes queued lines until the appender is dropped.
///
/// Returns when standard output is closed, because the error can't be reported anywhere.
fn write_all(receiver: &Receiver<Message>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(message) = receiver.recv() {
        let result = match message {
            Message::Line(line) => output.write_all(&line),
            Message::Flush(confirm) => {
                let result = output.flush();
                // The waiting thread may already have timed out.
                let _ = confirm.try_send(());
                result
            }
        };
        let count = match result {
            Ok(()) => dropped.swap(0, Ordering::Relaxed),
            Err(_) => return,
        };
        if count > 0 {
            let line = format!("event=log_lines_dropped count={count}\n");
            if output.write_all(line.as_bytes()).is_err() {
                return;
            }
        }
    }
}
