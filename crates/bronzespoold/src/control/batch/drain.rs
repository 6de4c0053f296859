//! Operators' commands to drain data centres and to revoke drains, and reports of cold workers.

use {
    crate::control::{batch::BatchController, replica::Result},
    bronzespool::{
        batch::{
            Event, EventOutcome,
            cold::ColdReport,
            departure::DepartureReport,
            ledger::CenterState,
            message::{CenterCommand, Reply},
        },
        core::{Code, Refusal},
    },
};

impl BatchController {
    /// Reads the state of a data centre, on which a command is based.
    pub(super) async fn read_center(&self, center: &str) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let state = self.replica.state();
        let known = state.batch().knows_center(center);
        Ok(Reply::Center { state: state.batch().drains().state(center), known })
    }

    /// Applies a command, unless another one has been applied since its base revision. If that one
    /// left the state as requested, the answer is success.
    pub(super) async fn set_center(&self, command: CenterCommand) -> Result<Reply> {
        self.replica.read_barrier().await?;
        let CenterCommand { center, drained, base } = command;
        let outcome = match self.center_state(&center).revision == base {
            true => {
                let center = center.clone();
                let event = match drained {
                    true => Event::CenterDrained { center, base },
                    false => Event::CenterRestored { center, base },
                };
                self.propose_one(event).await?
            }
            false => EventOutcome::Stale,
        };
        let state = self.center_state(&center);
        if outcome == EventOutcome::Applied || state.drained == drained {
            return Ok(Reply::Done);
        }
        let message = format!("data centre {center} is at revision {}", state.revision);
        Err(Refusal::new(Code::Conflict, message))
    }

    /// Records that a worker is cold. A new leader learns it from the worker's next check-in.
    pub(super) fn record_cold(&self, report: ColdReport) -> Reply {
        self.cold.borrow_mut().record(self.replica.log_time(), report);
        Reply::Done
    }

    /// Records that a worker ends soon. A new leader learns it from the worker's next check-in.
    pub(super) fn record_departure(&self, report: DepartureReport) -> Reply {
        self.departures.borrow_mut().record(self.replica.log_time(), report);
        self.replica.batch_wakes().request_plan();
        Reply::Done
    }

    fn center_state(&self, center: &str) -> CenterState {
        self.replica.state().batch().drains().state(center)
    }
}
