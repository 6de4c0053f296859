//! Renews this entry's shares of the teams' limits.

use {
    crate::{
        entry::state::State,
        telemetry::{Event as _, event},
    },
    bronzespool::{
        core::Service,
        flow::limit::{DemandReport, Share, ShareGrant},
        wire::message::{Call, Reply},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time between two demand reports. The lease of a share lasts several of these intervals.
const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two demand reports while requests wait for a share or a slot.
const WAITING_REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for the shares.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

impl State {
    /// Reports demands and applies the granted shares until the entry stops.
    pub(super) async fn run_shares(self: Rc<Self>) {
        loop {
            let reports = self.demand_reports();
            // A reduced share is confirmed immediately, since another entry may wait for the rest.
            if !reports.is_empty() && self.renew_shares(reports).await {
                self.renew_shares(self.demand_reports()).await;
            }
            let period = if self.is_waiting() { WAITING_REPORT_INTERVAL } else { REPORT_INTERVAL };
            // A new configuration may add teams, which need their shares immediately.
            let _ = timeout(period, self.view_changed.notified()).await;
        }
    }

    fn is_waiting(&self) -> bool {
        self.traffic.borrow().services.values().any(|s| !s.queue.is_empty())
    }

    fn demand_reports(&self) -> Vec<(Service, DemandReport)> {
        let now = self.clock.now();
        let mut traffic = self.traffic.borrow_mut();
        let services = traffic.services.iter_mut();
        services.map(|(name, s)| (name.clone(), s.buckets.report(now))).collect()
    }

    /// Reports demands and applies the reply. Returns whether any share was reduced.
    async fn renew_shares(&self, reports: Vec<(Service, DemandReport)>) -> bool {
        let Some(session_client) = self.session_client() else {
            return false;
        };
        let call = Call::Shares { holder: self.entry_id, reports: reports.clone() };
        match session_client.call(&call, CALL_TIMEOUT).await {
            Ok(Reply::Shares(shares)) => {
                self.apply_shares(&shares);
                self.wake_admission();
                let report = |name| reports.iter().find(|(n, _)| n == name).map(|(_, r)| r);
                shares.iter().any(|(name, s)| report(name).is_some_and(|r| is_smaller(r, s)))
            }
            Ok(_) => {
                event::SharesMismatched {}.emit();
                false
            }
            Err(refusal) => {
                event::ShareRenewalFailed { refusal: refusal.to_string() }.emit();
                false
            }
        }
    }

    fn apply_shares(&self, shares: &[(Service, ShareGrant)]) {
        let now = self.clock.now();
        let mut traffic = self.traffic.borrow_mut();
        for (service, grant) in shares {
            traffic.service(service).buckets.apply(now, grant);
        }
    }
}

/// Whether the grant gives any team less than the entry held when it reported.
fn is_smaller(report: &DemandReport, grant: &ShareGrant) -> bool {
    let less = |share: &Share| {
        let held = report.demands.iter().find(|d| d.team == share.team).map(|d| d.held);
        held.is_some_and(|h| share.limit.rate < h.rate || share.limit.inflight < h.inflight)
    };
    grant.shares.iter().any(less)
}
