//! Lines of the log that never hold up the program that writes them.
//!
//! A thread of its own writes to standard output. When whoever reads there does not keep up, lines
//! are dropped and counted, and the count is written as soon as there is room.

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

/// Lines that wait for the writer: two seconds of a program at its limits of lines.
const QUEUE: usize = 1_024;

/// Longest time that the end of a program waits for its last lines.
const FLUSH_TIME: Duration = Duration::from_millis(200);

/// An appender that hands lines to a thread.
#[derive(Debug)]
pub(crate) struct QueueAppender {
    encoder: PatternEncoder,
    sender: Mutex<SyncSender<Item>>,
    dropped: Arc<AtomicU64>,
}

/// What the thread gets.
enum Item {
    /// A line.
    Line(Vec<u8>),
    /// Somebody waits until all lines before this are written.
    Flush(SyncSender<()>),
}

impl QueueAppender {
    /// Creates an appender and starts its thread.
    ///
    /// # Errors
    ///
    /// An error when the thread can't be started.
    pub(crate) fn new(encoder: PatternEncoder) -> std::io::Result<Self> {
        let (sender, receiver) = sync_channel(QUEUE);
        let dropped = Arc::new(AtomicU64::new(0));
        let counted = Arc::clone(&dropped);
        thread::Builder::new()
            .name("log".into())
            .spawn(move || write_all(&receiver, &counted))?;
        Ok(Self {
            encoder,
            sender: Mutex::new(sender),
            dropped,
        })
    }

    fn send(&self, item: Item) -> bool {
        let sender = self.sender.lock().unwrap_or_else(PoisonError::into_inner);
        sender.try_send(item).is_ok()
    }
}

impl Append for QueueAppender {
    fn append(&self, record: &Record<'_>) -> anyhow::Result<()> {
        let mut line = Vec::with_capacity(256);
        self.encoder.encode(&mut SimpleWriter(&mut line), record)?;
        if !self.send(Item::Line(line)) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            metrics::counter!("log_lines_dropped").increment(1);
        }
        Ok(())
    }

    fn flush(&self) {
        let (done, waiting) = sync_channel(1);
        if self.send(Item::Flush(done)) {
            // Lines that can't be written in this time are lost with the program.
            let _ = waiting.recv_timeout(FLUSH_TIME);
        }
    }
}

/// Writes until the program ends. Output that is closed leaves nobody to tell.
fn write_all(receiver: &Receiver<Item>, dropped: &AtomicU64) {
    let mut output = std::io::stdout();
    while let Ok(item) = receiver.recv() {
        let result = match item {
            Item::Line(line) => output.write_all(&line),
            Item::Flush(done) => {
                let result = output.flush();
                // The one who waited may have given up.
                let _ = done.try_send(());
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
