//! Drains of data centres.

use {
    crate::{
        control::{
            leader::calls::Leader,
            state::{Command, Effect, State},
        },
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Center, Code, Refusal},
        flow::drain::{CenterChange, CenterDrain, CenterOutcome},
        wire::message::{CallResult, CenterView, Reply},
    },
    std::collections::BTreeSet,
};

impl Leader {
    /// Returns the drain of a data centre.
    pub(super) async fn center(&self, center: &Center) -> CallResult {
        self.replica.read_barrier().await?;
        let state = self.replica.state();
        check_known(&state, center)?;
        Ok(Reply::Center(self.center_view(center, state.drains().get(center))))
    }

    /// Drains or restores a data centre. If the change is based on another revision, it is refused
    /// and not proposed again on a newer one, since another operator has decided in between.
    pub(super) async fn change_center(&self, change: CenterChange) -> CallResult {
        self.replica.read_barrier().await?;
        check_known(&self.replica.state(), &change.center)?;
        let certain = self.replica.state().drains().decide(&change);
        let outcome = match certain {
            Some(outcome) => outcome,
            None => self.commit_center(change.clone()).await?,
        };
        let center = change.center;
        match outcome {
            CenterOutcome::Changed(current) => {
                let CenterDrain { drained, revision } = current;
                event::CenterDrainChanged { center: center.to_string(), drained, revision }.emit();
                Ok(Reply::Center(self.center_view(&center, current)))
            }
            CenterOutcome::Unchanged(current) => {
                Ok(Reply::Center(self.center_view(&center, current)))
            }
            CenterOutcome::Conflict(current) => Err(conflict(&center, current)),
        }
    }

    async fn commit_center(
        &self,
        change: CenterChange,
    ) -> std::result::Result<CenterOutcome, Refusal> {
        let at = self.replica.log_time();
        match self.replica.propose(&Command::Center { at, change }).await? {
            Effect::Center(outcome) => Ok(outcome),
            _ => Err(Code::Internal.into()),
        }
    }

    /// View of a data centre for operators.
    pub(super) fn center_view(&self, center: &Center, current: CenterDrain) -> CenterView {
        let CenterDrain { drained, revision } = current;
        let in_force = self.reached_index() >= revision;
        CenterView { center: center.to_string(), drained, revision, in_force }
    }
}

/// Refuses a data centre of which no instance was ever announced.
fn check_known(state: &State, center: &Center) -> std::result::Result<(), Refusal> {
    let mut announced = state.endpoints().values().map(|e| &e.place.center);
    if state.drains().contains(center) || announced.any(|c| c == center) {
        return Ok(());
    }
    let known: BTreeSet<_> = state.endpoints().values().map(|e| e.place.center.as_str()).collect();
    let known = known.into_iter().collect::<Vec<_>>().join(", ");
    let message = format!("no data centre {center}: announced are {known}");
    Err(Refusal::new(Code::UnknownCenter, message))
}

fn conflict(center: &Center, current: CenterDrain) -> Refusal {
    let CenterDrain { drained, revision } = current;
    let standing = if drained { "drained" } else { "restored" };
    let message =
        format!("data centre {center} is {standing} since revision {revision}: order on that base");
    Refusal::new(Code::Conflict, message)
}
