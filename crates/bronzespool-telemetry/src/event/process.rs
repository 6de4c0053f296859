//! Events of any process.

use std::net::SocketAddr;

super::events! {
    /// The process starts.
    ProcessStarts: Info, Process, "the process starts" {
        /// Its machine.
        instance: String,
        /// What it does.
        role: String,
        /// Addresses of control instances that it begins with.
        seeds: Vec<SocketAddr>,
    }
    /// A signal asks the process to stop.
    StopAsked: Info, Process, "a stop was asked for" {
        /// What it does.
        role: &'static str,
    }
    /// The process stops.
    ProcessStops: Info, Process, "the process stops" {
        /// Why, unless it was asked to.
        error: Option<String>,
    }
    /// The settings were read again and hold other addresses of control instances.
    SettingsChanged: Info, Process, "the settings have changed" {
        /// The addresses.
        seeds: Vec<SocketAddr>,
        /// Whether a signal told so; else the file was looked at.
        signalled: bool,
    }
    /// A signal asks to read the settings again, and they are as they were.
    SettingsUnchanged: Info, Process, "the settings were read again, unchanged" {}
    /// The settings were read again and cannot be used: the old ones stay in force.
    SettingsRefused: Warn, Process, "the changed settings are not used" {
        /// Why.
        error: String,
    }
    /// No control instance answers: calls go through other processes from now on.
    ControlLost: Warn, Process, "control cannot be reached: calls go through other processes" {
        /// The leader that was known last.
        leader: Option<SocketAddr>,
        /// Its term.
        term: Option<u64>,
    }
    /// A control instance answers again.
    ControlRegained: Info, Process, "control is reached again" {
        /// The leader.
        leader: SocketAddr,
        /// Its term.
        term: u64,
    }
    /// The leader does not answer a call, and control says that another one leads.
    LeaderReplaced: Info, Process, "another instance leads while a call is under way" {
        /// The leader that does not answer.
        leader: SocketAddr,
        /// The one that leads.
        next: SocketAddr,
        /// Its term.
        term: u64,
    }
    /// A connection cannot be accepted, as when descriptors have run out.
    AcceptFailed: Warn, Process, "cannot accept a connection" {
        /// Why.
        error: String,
    }
    /// The code that serves a request has panicked: its caller got an error.
    RequestPanicked: Error, Process, "a request's task failed" {
        /// Why.
        error: String,
    }
    /// The histograms of the metrics could not be made small.
    MetricsUpkeepFailed: Warn, Process, "the metrics' upkeep failed" {
        /// Why.
        error: String,
    }
}
