//! What happens in the fake fleet.

use foxtailwinch::balancing;

/// How a request fared at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// It ran to its end.
    Answered,
    /// The server was gone.
    Lost,
    /// The server had no free slot.
    Shed,
}

/// What happens in the fake fleet.
#[derive(Debug)]
pub enum Event {
    /// A server's answer reaches the entry VM.
    Response {
        load_permille: u32,
        outcome: Outcome,
        request: usize,
        send: u32,
        server: usize,
    },
    /// A message reaches a dispatcher.
    AtDispatcher {
        event: balancing::DispatcherEvent,
        region: usize,
    },
    /// A request reaches its server.
    AtServer { request: usize, send: u32 },
    /// A request reaches its entry VM.
    Arrive { request: usize },
    /// A caller stops waiting.
    CallerDeadline { request: usize },
    /// A cancellation reaches the server.
    CancelAtServer { request: usize, server: usize },
    /// A message or the time reaches an entry VM's side of a dispatcher.
    Client {
        event: balancing::GrantClientEvent,
        vm: usize,
    },
    /// A dispatcher is started anew.
    DispatchersRestart,
    /// The time of a dispatcher's wake-up has come.
    DispatcherTick { region: usize },
    /// The time of a gate's wake-up has come.
    GateTick { vm: usize },
    /// A caller makes its first attempt.
    NextCaller,
    /// An entry VM reads the load reports.
    Poll { vm: usize },
    /// A request ends at its server.
    EndRun {
        request: usize,
        send: u32,
        server: usize,
    },
    /// The load reports are refreshed.
    ReportLoad,
    /// Everyone learns which servers are up.
    ServerListUpdate,
    /// Zone 0 goes down or comes back.
    Zone { is_up: bool },
}
