//! Counts answers and tells control of them.

use {
    crate::{
        entry::{filter::CheckedRequest, state::State},
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::{Code, Mode, Time},
        flow::burn::BurnTrackers,
        wire::message::{Call, KindCounts},
    },
    std::{cell::RefCell, rc::Rc, time::Duration},
    tokio::time::sleep,
};

/// Time between two reports to control.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Counts answers.
#[derive(Default)]
pub(super) struct Reporter(RefCell<BurnTrackers>);

impl Reporter {
    /// Notes an answer. Jobs are counted by control when they end.
    pub(super) fn record(&self, now: Time, request: &CheckedRequest, took: Duration, code: Code) {
        let Ok(spec) = request.spec() else {
            return;
        };
        if spec.mode == Mode::Job {
            return;
        }
        let mut burns = self.0.borrow_mut();
        let burn = burns.tracker(&request.service, &request.kind, spec.target);
        burn.set_target(spec.target);
        burn.record(now, code, took);
    }

    fn counts(&self, now: Time) -> Vec<KindCounts> {
        self.0.borrow().windows(now)
    }
}

impl State {
    /// Tells control what this entry has answered.
    pub(super) async fn report_answers(&self) {
        let counts = self.reporter.counts(self.clock.now());
        let Some(session_client) = self.session_client().filter(|_| !counts.is_empty()) else {
            return;
        };
        let call = Call::Answers { holder: self.entry_id, counts };
        if let Err(refusal) = session_client.call(&call, REPORT_INTERVAL).await {
            event::AnswerReportFailed { refusal: refusal.to_string() }.emit();
        }
    }

    /// Tells control again and again, for as long as the entry lives.
    pub(super) async fn run_reports(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            self.report_answers().await;
        }
    }
}
