//! Counts answered requests and reports the counts to control.

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

/// Counts answered requests per kind.
#[derive(Default)]
pub(super) struct Reporter(RefCell<BurnTrackers>);

impl Reporter {
    /// Records an answered request. Jobs are not counted here: control counts them when they end.
    pub(super) fn record(
        &self,
        now: Time,
        request: &CheckedRequest,
        elapsed: Duration,
        code: Code,
    ) {
        let Ok(spec) = request.spec() else {
            return;
        };
        if spec.mode == Mode::Job {
            return;
        }
        let mut trackers = self.0.borrow_mut();
        let tracker = trackers.tracker(&request.service, &request.kind, spec.target);
        tracker.set_target(spec.target);
        tracker.record(now, code, elapsed);
    }

    fn counts(&self, now: Time) -> Vec<KindCounts> {
        self.0.borrow().windows(now)
    }
}

impl State {
    /// Reports the counts of this entry to control.
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

    /// Reports the counts periodically until the entry stops.
    pub(super) async fn run_reports(self: Rc<Self>) {
        loop {
            sleep(REPORT_INTERVAL).await;
            self.report_answers().await;
        }
    }
}
