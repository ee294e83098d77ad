//! Events of the simulated fleet.

use foxtailwinch::balancing;

/// Outcome of a request at a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Outcome {
    /// The server completed the request.
    Answered,
    /// The server was down.
    Lost,
    /// The server had no free slot.
    Shed,
}

/// An event of the simulated fleet.
#[derive(Debug)]
pub enum Event {
    /// A server's response arrives at the entry VM.
    Response {
        load_permille: u32,
        outcome: Outcome,
        request: usize,
        send: u32,
        server: usize,
    },
    /// A message arrives at a dispatcher.
    AtDispatcher {
        event: balancing::DispatcherEvent,
        region: usize,
    },
    /// A request arrives at its server.
    AtServer { request: usize, send: u32 },
    /// A request arrives at its entry VM.
    Arrive { request: usize },
    /// A caller stops waiting.
    CallerDeadline { request: usize },
    /// A cancellation arrives at the server.
    CancelAtServer { request: usize, server: usize },
    /// A dispatcher's message arrives at an entry VM, or a timer of the VM's grant
    /// client is due.
    Client {
        event: balancing::GrantClientEvent,
        vm: usize,
    },
    /// All dispatchers restart without state.
    DispatchersRestart,
    /// A timer of a dispatcher is due.
    DispatcherTick { region: usize },
    /// A timer of a gate is due.
    GateTick { vm: usize },
    /// A new caller makes its first attempt.
    NextCaller,
    /// An entry VM reads the load reports.
    Poll { vm: usize },
    /// A server completes a request.
    EndRun {
        request: usize,
        send: u32,
        server: usize,
    },
    /// The servers report their load.
    ReportLoad,
    /// The entry VMs and dispatchers receive the list of servers that are up.
    ServerListUpdate,
    /// Zone 0 goes down or starts again.
    Zone { is_up: bool },
}
