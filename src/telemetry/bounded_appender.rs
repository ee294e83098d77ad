//! Writes log lines to standard output without blocking those who log.

use std::io::Write as _;
use std::sync::mpsc;
use std::thread;
use std::time;

use log4rs::append;
use log4rs::encode;
use log4rs::encode::writer::simple;

/// Lines that wait to be written. Beyond them lines are dropped and counted.
const QUEUE_LINES: usize = 4_096;
/// Time for which lines are gathered into one write, in milliseconds.
const BATCH_MS: u64 = 50;

/// Hands log lines to a thread that writes them to standard output. A reader
/// that has stopped reading blocks that thread only.
#[derive(Debug)]
pub struct BoundedAppender {
    encoder: Box<dyn encode::Encode>,
    lines: mpsc::SyncSender<Vec<u8>>,
}

impl BoundedAppender {
    /// Starts the writing thread.
    ///
    /// # Errors
    ///
    /// Gives the operating system's error when it cannot be started.
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
        // A full queue drops the line: logging never holds up a request.
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
