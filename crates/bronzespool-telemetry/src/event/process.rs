//! Events of any process.

use std::net::SocketAddr;

super::events! {
    /// The process starts.
    ProcessStarts: Info, Process, "the process starts" {
        /// Name of the instance.
        instance: String,
        /// Role of the process.
        role: String,
        /// Initial addresses of control instances.
        seeds: Vec<SocketAddr>,
    }
    /// A signal has requested a shutdown.
    StopAsked: Info, Process, "a stop was asked for" {
        /// Role of the process.
        role: &'static str,
    }
    /// The process stops.
    ProcessStops: Info, Process, "the process stops" {
        /// The error, unless the stop was requested.
        error: Option<String>,
    }
    /// The settings were reloaded and contain other addresses of control instances.
    SettingsChanged: Info, Process, "the settings have changed" {
        /// The addresses.
        seeds: Vec<SocketAddr>,
        /// Whether a signal triggered the reload, rather than a check of the file.
        signalled: bool,
    }
    /// The settings were reloaded after a signal and are unchanged.
    SettingsUnchanged: Info, Process, "the settings were read again, unchanged" {}
    /// The reloaded settings are invalid: the old ones stay in force.
    SettingsRefused: Warn, Process, "the changed settings are not used" {
        /// The error.
        error: String,
    }
    /// No control instance answers: calls are relayed by other processes from now on.
    ControlLost: Warn, Process, "control cannot be reached: calls go through other processes" {
        /// The last known leader.
        leader: Option<SocketAddr>,
        /// Term of that leader.
        term: Option<u64>,
    }
    /// A control instance answers again.
    ControlRegained: Info, Process, "control is reached again" {
        /// The leader.
        leader: SocketAddr,
        /// Term of the leader.
        term: u64,
    }
    /// The leader does not answer a call, and control reports another leader.
    LeaderReplaced: Info, Process, "another instance leads while a call is under way" {
        /// The leader that does not answer.
        leader: SocketAddr,
        /// The new leader.
        next: SocketAddr,
        /// Term of the new leader.
        term: u64,
    }
    /// A connection cannot be accepted, for example because no file descriptors are left.
    AcceptFailed: Warn, Process, "cannot accept a connection" {
        /// The error.
        error: String,
    }
    /// The process holds as much as it may: the newest is turned away with result code 3014.
    BoundReached: Warn, Process, "a bound is reached: the newest is turned away" {
        /// Name of the bound.
        bound: &'static str,
        /// Most that is held at once.
        max: usize,
        /// What is held.
        held: usize,
        /// What was turned away since the last line of this bound.
        rejected: u64,
    }
    /// The handler of a request has panicked: its caller got an error.
    RequestPanicked: Error, Process, "a request's task failed" {
        /// The error.
        error: String,
    }
    /// The histograms of the metrics could not be compacted.
    MetricsUpkeepFailed: Warn, Process, "the metrics' upkeep failed" {
        /// The error.
        error: String,
    }
}
