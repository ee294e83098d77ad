//! Options of every command.

use std::net;

use crate::tool;
use crate::tool::tool_error;

/// Options of every command. They may precede or follow the command.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct GlobalOptions {
    /// Address of the log service.
    pub log: Option<net::SocketAddr>,
    /// Output format of results.
    pub output: tool::OutputFormat,
    /// Operator addresses of the VMs to query; if empty, the VM list is used.
    pub vms: Vec<net::SocketAddr>,
}

impl GlobalOptions {
    /// Extracts these options from `args` and returns them with the remaining
    /// arguments.
    ///
    /// # Errors
    ///
    /// Returns an error if one of these options has no value or an invalid
    /// value.
    pub fn extract(args: &[String]) -> Result<(Self, Vec<String>), tool::ToolError> {
        let mut options = Self::default();
        let mut remaining_args = Vec::new();
        let mut args = args.iter();
        while let Some(arg) = args.next() {
            let (name, inline_value) = match arg.split_once('=') {
                Some((name, value)) => (name, Some(value)),
                None => (arg.as_str(), None),
            };
            if !["--log", "--output", "--vm"].contains(&name) {
                remaining_args.push(arg.clone());
                continue;
            }
            let value = inline_value.or_else(|| args.next().map(String::as_str));
            let Some(value) = value else {
                let reason = format!("{name} requires a value");
                return tool_error::UsageSnafu { reason }.fail();
            };
            options.set(name, value)?;
        }
        Ok((options, remaining_args))
    }

    fn set(&mut self, name: &str, value: &str) -> Result<(), tool::ToolError> {
        match name {
            "--log" => self.log = Some(parse_url(name, value)?),
            "--vm" => self.vms.push(parse_url(name, value)?),
            _ => {
                self.output = value.parse().or_else(|problem| {
                    let reason = format!("--output: {problem}");
                    tool_error::UsageSnafu { reason }.fail()
                })?;
            }
        }
        Ok(())
    }
}

fn parse_url(name: &str, value: &str) -> Result<net::SocketAddr, tool::ToolError> {
    let address = value.strip_prefix("http://").unwrap_or(value);
    address.trim_end_matches('/').parse().or_else(|_| {
        let reason = format!("{name}: `{value}` is not a URL such as http://127.0.0.1:7300");
        tool_error::UsageSnafu { reason }.fail()
    })
}
