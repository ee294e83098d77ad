//! Log appender that never blocks the threads that log.

use std::io::Write as _;
use std::sync::mpsc;
use std::thread;
use std::time;

use log4rs::append;
use log4rs::encode;
use log4rs::encode::writer::simple;

/// Maximum number of lines that wait to be written. Further lines are dropped.
const QUEUE_LINES: usize = 4_096;
/// Time for which lines are collected into one write, in milliseconds.
const BATCH_MS: u64 = 50;

/// Log appender that queues lines for a thread that writes them to standard
/// output. If the reader of standard output stops reading, only this thread
/// blocks.
#[derive(Debug)]
pub struct BoundedAppender {
    encoder: Box<dyn encode::Encode>,
    lines: mpsc::SyncSender<Vec<u8>>,
}

impl BoundedAppender {
    /// Starts the thread that writes the lines.
    ///
    /// # Errors
    ///
    /// Returns the operating system's error if the thread cannot be started.
    pub fn start(encoder: Box<dyn encode::Encode>) -> std::io::Result<Self> {
        let (lines, queue) = mpsc::sync_channel(QUEUE_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_queued_lines(&queue))?;
        Ok(Self { encoder, lines })
    }
}

impl append::Append for BoundedAppender {
    fn append(&self, record: &log::Record<'_>) -> anyhow::Result<()> {
        let mut line = simple::SimpleWriter(Vec::new());
        self.encoder.encode(&mut line, record)?;
        // The line is dropped if the queue is full: logging must not delay a
        // request.
        let _ = self.lines.try_send(line.0);
        Ok(())
    }

    fn flush(&self) {}
}

fn write_queued_lines(queue: &mpsc::Receiver<Vec<u8>>) {
    while let Ok(mut lines) = queue.recv() {
        thread::sleep(time::Duration::from_millis(BATCH_MS));
        while let Ok(line) = queue.try_recv() {
            lines.extend_from_slice(&line);
        }
        let mut output = std::io::stdout().lock();
        let written = output.write_all(&lines).and_then(|()| output.flush());
        if written.is_err() {
            return;
        }
    }
}
