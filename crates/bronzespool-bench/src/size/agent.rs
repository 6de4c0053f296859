//! The agent of one worker: its reconciler, and how many polls it has in flight.

use {
    crate::size::load::{agent_name, worker_spec},
    bronzespool::{
        batch::{
            agent::{Limits, Reconciler},
            ledger::WorkerSpec,
            message::Poll,
        },
        core::Time,
    },
    std::time::Duration,
};

/// Limits of the platform.
const LIMITS: Limits =
    Limits { lease_max: Duration::from_secs(10), heartbeat_interval: CHECK_IN_INTERVAL };
/// Time between two check-ins of a worker.
pub(super) const CHECK_IN_INTERVAL: Duration = Duration::from_millis(600);
/// Time for which a worker holds a list request open, as the agent of the daemon has it.
pub(super) const LIST_WAIT: Duration = Duration::from_millis(400);
/// Pause after an answered list request, as the agent of the daemon has it.
pub(super) const LIST_PAUSE: Duration = Duration::from_millis(10);
/// Polls in flight at once, as the agent of the daemon has it.
const POLLS_MAX: usize = 2;

/// The agent of one worker.
#[derive(Debug)]
pub(super) struct Agent {
    pub(super) reconciler: Reconciler,
    spec: WorkerSpec,
    seq: u64,
    pub(super) in_flight: usize,
    polls_sent: u32,
    /// Whether there is a change that no poll has carried yet.
    pub(super) notified: bool,
}

impl Agent {
    pub(super) fn new(worker: usize) -> Self {
        let process = worker as u32 + 1;
        Self {
            reconciler: Reconciler::new(agent_name(worker), process, LIMITS, Time::ZERO),
            spec: worker_spec(worker),
            seq: 0,
            in_flight: 0,
            polls_sent: 0,
            notified: false,
        }
    }

    /// Takes a check-in of the worker.
    pub(super) fn check_in(&mut self, now: Time) {
        self.seq += 1;
        self.reconciler.check_in(now, self.spec.clone(), self.seq);
    }

    /// Returns the next poll.
    pub(super) fn poll(&mut self, now: Time) -> Poll {
        self.polls_sent += 1;
        self.reconciler.poll(now, self.polls_sent)
    }

    /// Whether the agent polls now: it has no poll in flight, or a change for a second one.
    pub(super) fn takes_poll(&mut self) -> bool {
        if self.in_flight == 0 {
            return true;
        }
        self.in_flight < POLLS_MAX && std::mem::take(&mut self.notified)
    }
}
