//! Events of the daemon's own interface: sessions, requests to endpoints, demands.

use {bronzespool_core::Instance, std::net::SocketAddr};

super::events! {
    /// The daemon's part is up.
    RoleStarted: Info, Process, "the part is up" {
        /// What it does.
        role: &'static str,
        /// Its instance.
        instance: Instance,
    }
    /// Requests are still under way when the process must end.
    GraceExceeded: Warn, Process, "requests still run at the end of the grace time" {
        /// What the process does.
        role: &'static str,
    }
    /// A request has its final answer.
    RequestAnswered: Info, Entry, "a request was answered" {
        /// The request.
        request: String,
        /// Service that it is for.
        service: String,
        /// Its kind.
        kind: String,
        /// Its team.
        team: String,
        /// Result code.
        code: u16,
        /// Whether it ran.
        outcome: String,
        /// Time since it was read, in microseconds.
        took_us: u64,
    }
    /// An attempt has no answer: the agent is asked what became of it.
    OutcomeQueried: Info, Entry, "the attempt's outcome is asked for" {
        /// The request.
        request: String,
        /// Why there is no answer.
        error: String,
    }
    /// Control has not noted that a claim is given back: the claim ends by its lease.
    ReleaseFailed: Warn, Entry, "a release was not noted" {
        /// The claim.
        claim: String,
        /// Why.
        refusal: String,
    }
    /// An agent does not answer: it gets no new requests.
    AgentSilent: Info, Entry, "an agent does not answer" {
        /// Its address.
        agent: SocketAddr,
        /// Why.
        error: String,
    }
    /// Control was not told of answers: it is told again.
    AnswerReportFailed: Info, Entry, "control was not told of the answers" {
        /// Why.
        refusal: String,
    }
    /// Control's answer is none that fits a report of demands.
    SharesMismatched: Error, Entry, "control answered a report of demands with something else" {}
    /// The shares of limits were not renewed: the old ones stay until they end.
    ShareRenewalFailed: Info, Entry, "the shares were not renewed" {
        /// Why.
        refusal: String,
    }
    /// An endpoint fails more than others: it gets no requests of a kind for a while.
    EndpointEjected: Warn, Entry, "an endpoint is ejected" {
        /// Its instance.
        instance: Instance,
        /// The kind.
        kind: String,
    }
    /// An endpoint has not answered.
    EndpointSilent: Warn, Agent, "the endpoint gave no answer" {
        /// The request.
        request: String,
        /// Why.
        error: String,
    }
    /// An endpoint's answer names another request: it reaches no caller.
    EndpointAnswerMismatched: Error, Agent, "the endpoint answered another request" {
        /// The request.
        request: String,
    }
    /// Control was not told of an outcome: it is told again.
    OutcomeReportFailed: Warn, Agent, "an outcome was not reported yet" {
        /// Why.
        refusal: String,
    }
    /// Control does not know that this agent leaves: it learns so by the end of its session.
    DrainReportFailed: Warn, Agent, "control was not told of the drain" {
        /// Why.
        refusal: String,
    }
    /// The worker's usage was not read.
    UsageReadFailed: Warn, Agent, "the worker's usage was not read" {
        /// Why.
        failure: String,
    }
    /// Control was not told of the usage: it is told again.
    UsageReportFailed: Warn, Agent, "usage was not reported" {
        /// Why.
        refusal: String,
    }
    /// The worker was not told what to run or stop: it is told again.
    TaskUpdateFailed: Warn, Agent, "the worker's tasks were not brought up to date" {
        /// Why.
        failure: String,
    }
    /// Control was not told what became of tasks: it is told again.
    TaskEventReportFailed: Warn, Agent, "task events were not reported yet" {
        /// Why.
        refusal: String,
    }
    /// A hub opens no session: another one is asked.
    SessionRefused: Info, Process, "the hub opens no session" {
        /// The hub.
        hub: SocketAddr,
        /// Why.
        refusal: String,
    }
    /// A hub cannot be reached: another one is asked.
    SessionUnopened: Info, Process, "cannot open a session" {
        /// The hub.
        hub: SocketAddr,
        /// Why.
        error: String,
    }
    /// A session was not renewed: another one is opened.
    SessionLost: Info, Process, "the session's renewal failed" {
        /// The hub.
        hub: SocketAddr,
        /// Why.
        error: String,
    }
    /// A session has ended.
    SessionEnded: Info, Control, "a session has ended" {
        /// Whose it was.
        instance: Instance,
    }
    /// Changes did not reach the other end of a session: it is not renewed.
    PushFailed: Info, Control, "a push failed, the session is not renewed" {
        /// Whose it is.
        instance: Instance,
    }
    /// The other end of a session has not said that it holds all changes.
    SessionUnconfirmed: Info, Control, "a session was not confirmed" {
        /// Whose it is.
        instance: Instance,
    }
    /// The leader lets this hub renew no sessions.
    HubLeaseRefused: Error, Control, "the leader grants this hub no lease" {
        /// Why.
        refusal: String,
    }
    /// A message of another replica cannot be read.
    MessageRefused: Warn, Control, "a message was refused" {
        /// Result code.
        code: u16,
        /// Why.
        error: String,
    }
    /// A message to another replica cannot be written.
    MessageUnwritten: Error, Control, "a message cannot be written" {
        /// Why.
        error: String,
    }
    /// The schedule refuses a record that the state machine has taken.
    ScheduleRefused: Error, Control, "the schedule refused a record of the state machine" {
        /// Why.
        error: String,
    }
    /// An agent is there.
    AgentAnnounced: Info, Leader, "an agent was announced" {
        /// Its instance.
        instance: Instance,
        /// Number of its process.
        incarnation: u64,
    }
    /// An agent is there, leaves or is gone.
    PresenceChanged: Info, Leader, "an agent's presence has changed" {
        /// Its instance.
        instance: Instance,
        /// What it is now.
        presence: String,
    }
    /// The log has not taken a decision: it is made again.
    DecisionNotCommitted: Info, Leader, "a decision was not committed" {
        /// Why.
        refusal: String,
    }
    /// The log has not taken a controller's change: it is made again.
    ControllerChangeNotCommitted: Info, Leader, "a controller's change was not committed" {
        /// Why.
        refusal: String,
    }
}
