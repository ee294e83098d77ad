//! Log of all runs of a server.

use std::{
    fs, io,
    io::{BufRead as _, Write as _},
    path,
};

use crate::backend;

/// Log of all runs started on a server. With a file, the log outlasts the
/// process.
#[derive(Debug, Default)]
pub struct RunLog {
    file: Option<fs::File>,
    records: Vec<backend::RunRecord>,
    run_counts: indexmap::IndexMap<String, u64>,
}

impl RunLog {
    /// Opens a run log. Runs that an earlier process did not finish are
    /// recorded as crashed.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or written.
    pub fn open(path: Option<&path::Path>) -> io::Result<Self> {
        let Some(path) = path else {
            return Ok(Self::default());
        };
        let mut file = fs::OpenOptions::new()
            .append(true)
            .create(true)
            .open(path)?;
        // Terminates a line that a crash may have truncated.
        file.write_all(b"\n")?;
        let mut log = Self::read(path)?;
        log.file = Some(file);
        Ok(log)
    }

    /// Reads a run log without writing to it. Lines truncated by a crash are
    /// skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read.
    pub fn read(path: &path::Path) -> io::Result<Self> {
        let mut log = Self::default();
        for line in io::BufReader::new(fs::File::open(path)?).lines() {
            if let Ok(record) = serde_json::from_str(&line?) {
                log.load_record(record);
            }
        }
        Ok(log)
    }

    /// Records the outcome of run number `run_index`.
    pub fn finish(&mut self, run_index: u64, outcome: backend::RunOutcome) {
        let index = usize::try_from(run_index).unwrap_or(usize::MAX);
        let Some(record) = self.records.get_mut(index) else {
            return;
        };
        record.finished = outcome;
        let record = record.clone();
        self.write_record(&record);
    }

    /// Returns all runs in order of their start.
    #[must_use]
    pub fn records(&self) -> &[backend::RunRecord] {
        &self.records
    }

    /// Records the start of a run. Returns the run's number and the number of
    /// times that its key has run, this run included.
    pub fn start(&mut self, mut record: backend::RunRecord) -> (u64, u64) {
        record.run = self.records.len() as u64;
        let run_index = record.run;
        self.write_record(&record);
        let run_count = self.count_run(&record);
        self.records.push(record);
        (run_index, run_count)
    }

    fn count_run(&mut self, record: &backend::RunRecord) -> u64 {
        let key = record
            .idempotency_key
            .as_ref()
            .unwrap_or(&record.request_id);
        let run_count = self.run_counts.entry(key.clone()).or_default();
        *run_count += 1;
        *run_count
    }

    fn load_record(&mut self, mut record: backend::RunRecord) {
        if record.finished == backend::RunOutcome::Running {
            record.finished = backend::RunOutcome::Crashed;
        }
        let index = usize::try_from(record.run).unwrap_or(usize::MAX);
        if let Some(earlier) = self.records.get_mut(index) {
            *earlier = record;
            return;
        }
        self.count_run(&record);
        self.records.push(record);
    }

    fn write_record(&mut self, record: &backend::RunRecord) {
        let Some(file) = &mut self.file else {
            return;
        };
        let mut line = serde_json::to_vec(record).unwrap_or_default();
        line.push(b'\n');
        if let Err(error) = file.write_all(&line) {
            eprintln!("cannot write the run log: {error}");
        }
    }
}
