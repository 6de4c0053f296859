//! Keeps this entry's shares of the teams' limits.

use {
    crate::entry::state::State,
    bronzespool::{
        core::Service,
        flow::limit::Report,
        wire::message::{Call, Reply},
    },
    std::{rc::Rc, time::Duration},
    tokio::time::timeout,
};

/// Time between two reports; the lease of a share is several of these.
const PERIOD: Duration = Duration::from_secs(1);
/// Time between two reports while the configuration names no team.
const CALL_TIME: Duration = Duration::from_millis(900);

impl State {
    /// Reports demands and takes shares for as long as the entry lives.
    pub(super) async fn run_shares(self: Rc<Self>) {
        loop {
            let reports = self.reports();
            if !reports.is_empty() {
                self.renew_shares(reports).await;
            }
            // A new configuration brings teams that need their shares at once.
            let _ = timeout(PERIOD, self.view_changed.notified()).await;
        }
    }

    fn reports(&self) -> Vec<(Service, Report)> {
        let now = self.clock.now();
        let mut traffic = self.traffic.borrow_mut();
        let services = traffic.services.iter_mut();
        services.map(|(name, s)| (name.clone(), s.buckets.report(now))).collect()
    }

    async fn renew_shares(&self, reports: Vec<(Service, Report)>) {
        let Some(keeper) = self.keeper() else {
            return;
        };
        let call = Call::Shares { holder: self.prefix, reports };
        match keeper.call(&call, CALL_TIME).await {
            Ok(Reply::Shares(shares)) => {
                let now = self.clock.now();
                let mut traffic = self.traffic.borrow_mut();
                for (service, shared) in shares {
                    traffic.service(&service).buckets.apply(now, &shared);
                }
                drop(traffic);
                self.pump_soon();
            }
            Ok(_) => log::error!("control answered a report of demands with something else"),
            Err(refusal) => log::info!(refusal:%; "the shares were not renewed"),
        }
    }
}
