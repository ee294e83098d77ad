//! Context of a command.

use std::io;
use std::time;

use crate::config_fold;
use crate::log_client;
use crate::tool;
use crate::tool::tool_error;
use crate::tool::vm_status;

/// Context of a command: clients, options and output.
pub struct Session<'a> {
    /// Client of the log service; `None` without `--log`.
    pub log: Option<&'a dyn log_client::LogClient>,
    /// Options of every command.
    pub options: tool::GlobalOptions,
    /// Output for results.
    pub out: &'a mut (dyn io::Write + Send),
    /// Time between two status queries to the VMs.
    pub poll_interval: time::Duration,
    /// Client that reads the status of VMs.
    pub status_client: &'a dyn tool::StatusClient,
}

impl Session<'_> {
    /// Returns the client of the log service.
    ///
    /// # Errors
    ///
    /// Returns an error if the command line has no `--log`.
    pub fn log(&self) -> Result<&dyn log_client::LogClient, tool::ToolError> {
        self.log.ok_or_else(|| tool::ToolError::Usage {
            reason: "this command requires --log URL".to_owned(),
        })
    }

    /// Reads and folds the configuration stream.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub async fn view(&self) -> Result<tool::LogView, tool::ToolError> {
        tool::LogView::read(self.log()?).await
    }

    /// Appends a record and returns its offset, and the stream that contains
    /// the record.
    ///
    /// # Errors
    ///
    /// Returns an error if the record is not in the log, if it is unknown
    /// whether the record is in the log or was accepted, or if it was rejected.
    pub async fn append(
        &self,
        body: config_fold::RecordBody,
    ) -> Result<(u64, tool::LogView), tool::ToolError> {
        let record_id = format!("tool-{:016x}", rand::random::<u64>());
        let record = config_fold::Record::new(record_id, body);
        let appended = match log_client::append_once(self.log()?, &record).await {
            Ok(appended) => appended,
            Err(error) if error.may_have_taken_effect() => {
                let reason = format!(
                    "the record may be in the log ({}); check with `bundle status` \
                     before you try again",
                    error.reason()
                );
                return tool_error::OutcomeUnknownSnafu { reason }.fail();
            }
            Err(error) => return Err(error.into()),
        };
        let view = match self.view().await {
            Ok(view) => view,
            Err(error) => {
                let offset = appended.offset;
                let reason = format!(
                    "the record is in the log at offset {offset}, but cannot be checked for \
                     rejection: {error}; check with `bundle status`"
                );
                return tool_error::OutcomeUnknownSnafu { reason }.fail();
            }
        };
        if let Some(rejection) = view.rejection(appended.offset) {
            let reason = rejection.to_string();
            return tool_error::RefusedSnafu { reason }.fail();
        }
        Ok((appended.offset, view))
    }

    /// Returns the status of every VM that returns one, and the name or address
    /// of each other VM with the reason why it has none.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no `--vm` option and the VM list cannot be
    /// read.
    pub async fn vm_statuses(
        &self,
    ) -> Result<(Vec<tool::VmStatus>, Vec<(String, String)>), tool::ToolError> {
        let mut targets = Vec::new();
        let mut unavailable = Vec::new();
        for address in &self.options.vms {
            targets.push((address.to_string(), *address));
        }
        if targets.is_empty() {
            for vm in self.log()?.vms().await? {
                match vm.operator_address {
                    Some(address) => targets.push((vm.id, address)),
                    None => unavailable.push((vm.id, "no operator address listed".to_owned())),
                }
            }
        }
        let calls = targets
            .iter()
            .map(|(_, address)| self.status_client.status(*address));
        let results = futures::future::join_all(calls).await;
        let mut statuses = Vec::new();
        for ((name, _), result) in targets.into_iter().zip(results) {
            match result {
                Ok(status) => statuses.push(status),
                Err(reason) => unavailable.push((name, reason)),
            }
        }
        Ok((statuses, unavailable))
    }

    /// Returns a summary of the VMs' statuses, or `None` if no VM returned one.
    pub async fn fleet_state(&self) -> Option<config_fold::FleetState> {
        let (statuses, _) = self.vm_statuses().await.ok()?;
        (!statuses.is_empty()).then(|| vm_status::summarise(&statuses))
    }

    /// Prints a result in the selected output format.
    pub fn print(&mut self, output: &tool::CommandOutput) {
        let line = match self.options.output {
            tool::OutputFormat::Json => output.json.to_string(),
            tool::OutputFormat::Text => output.text.trim_end().to_owned(),
        };
        // If the output is closed, there is no one to report the error to.
        let _ = writeln!(self.out, "{line}");
    }
}

/// Reads a file.
///
/// # Errors
///
/// Returns an error if the file cannot be read.
pub fn read_file(path: &str) -> Result<String, tool::ToolError> {
    std::fs::read_to_string(path).map_err(|error| tool::ToolError::Usage {
        reason: format!("{path}: {error}"),
    })
}

/// Returns the operator's name for records: the value of `--operator`, or else
/// of the environment variable `USER`.
pub fn operator(flag: Option<&str>) -> Result<String, tool::ToolError> {
    let name = flag
        .map(str::to_owned)
        .or_else(|| std::env::var("USER").ok());
    name.filter(|name| !name.is_empty())
        .ok_or_else(|| tool::ToolError::Usage {
            reason: "no operator name; use --operator NAME or set USER".to_owned(),
        })
}
