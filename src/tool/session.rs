//! What a command works with.

use std::io;
use std::time;

use crate::config_fold;
use crate::log_client;
use crate::tool;
use crate::tool::tool_error;
use crate::tool::vm_status;

/// What a command works with.
pub struct Session<'a> {
    /// The log, if the command line names it.
    pub log: Option<&'a dyn log_client::LogClient>,
    /// Shared options.
    pub options: tool::GlobalOptions,
    /// Where results go.
    pub out: &'a mut (dyn io::Write + Send),
    /// Time between two looks at the VMs.
    pub poll_interval: time::Duration,
    /// Reads the state of VMs.
    pub status_client: &'a dyn tool::StatusClient,
}

impl Session<'_> {
    /// Gives the log.
    ///
    /// # Errors
    ///
    /// Fails if the command line does not name it.
    pub fn log(&self) -> Result<&dyn log_client::LogClient, tool::ToolError> {
        self.log.ok_or_else(|| tool::ToolError::Usage {
            reason: "this command needs --log URL".to_owned(),
        })
    }

    /// Reads the configuration stream.
    ///
    /// # Errors
    ///
    /// Fails if the log cannot be read.
    pub async fn view(&self) -> Result<tool::LogView, tool::ToolError> {
        tool::LogView::read(self.log()?).await
    }

    /// Appends a record once and gives its offset and the stream with it.
    ///
    /// # Errors
    ///
    /// Fails if the record is not in the log, may be there, or was rejected.
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
                    "the record may be in the log ({}); look with `bundle status` \
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
                    "the record is in the log at offset {offset}, but its verdict cannot be \
                     read: {error}; look with `bundle status`"
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

    /// Gives the state of every VM that answers, and why the others do not,
    /// by name or address.
    ///
    /// # Errors
    ///
    /// Fails if neither `--vm` nor the VM list names a VM.
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

    /// Sums up what the VMs show; nothing if none answers.
    pub async fn fleet_state(&self) -> Option<config_fold::FleetState> {
        let (statuses, _) = self.vm_statuses().await.ok()?;
        (!statuses.is_empty()).then(|| vm_status::summarise(&statuses))
    }

    /// Prints a result.
    pub fn print(&mut self, output: &tool::CommandOutput) {
        let line = match self.options.output {
            tool::OutputFormat::Json => output.json.to_string(),
            tool::OutputFormat::Text => output.text.trim_end().to_owned(),
        };
        // Nobody is left to tell if the output is closed.
        let _ = writeln!(self.out, "{line}");
    }
}

/// Reads a file.
///
/// # Errors
///
/// Fails if it cannot be read.
pub fn read_file(path: &str) -> Result<String, tool::ToolError> {
    std::fs::read_to_string(path).map_err(|error| tool::ToolError::Usage {
        reason: format!("{path}: {error}"),
    })
}

/// Gives the operator to write into records.
pub fn operator(flag: Option<&str>) -> Result<String, tool::ToolError> {
    let name = flag
        .map(str::to_owned)
        .or_else(|| std::env::var("USER").ok());
    name.filter(|name| !name.is_empty())
        .ok_or_else(|| tool::ToolError::Usage {
            reason: "say who you are with --operator NAME".to_owned(),
        })
}
