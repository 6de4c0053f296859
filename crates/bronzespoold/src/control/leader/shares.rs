//! Grants entries their shares of the teams' limits.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        core::{Service, Time},
        flow::limit::{DemandReport, HolderId, LeaseTerms, Limit, ShareAllocator, ShareGrant},
        wire::message::{CallResult, Reply},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Lease of a share at its holder.
const SHARE_LEASE: Duration = Duration::from_secs(3);
/// Added to the lease on the leader, against clock drift.
const LEASE_MARGIN: Duration = Duration::from_millis(300);
/// Time for which a new leader counts the requests of silent holders as still in flight.
const INFLIGHT_TIME: Duration = Duration::from_secs(10);

/// Shares of all services that were granted in one term.
#[derive(Debug, Default)]
pub(super) struct ShareGranter {
    term: u64,
    term_start: Time,
    revision: u64,
    /// Services that were in force at the start of the term. An earlier leader may have granted
    /// shares of them.
    inherited: Vec<Service>,
    services: BTreeMap<Service, ShareAllocator>,
}

impl Leader {
    /// Processes the reports of one entry and answers with its shares.
    pub(super) async fn shares(
        &self,
        holder: u64,
        reports: Vec<(Service, DemandReport)>,
    ) -> CallResult {
        let now = self.clock.now();
        let mut granter = self.granter.borrow_mut();
        self.sync_limits(&mut granter, now);
        let grant = |(service, report): (Service, DemandReport)| -> Option<(Service, ShareGrant)> {
            let shares = granter.services.get_mut(&service)?;
            let shared = shares.report(now, HolderId(holder), &report)?;
            Some((service, shared))
        };
        Ok(Reply::Shares(reports.into_iter().filter_map(grant).collect()))
    }

    /// Records which services exist at the start of a term, before the term adds any.
    pub(super) fn begin_share_term(&self) {
        self.sync_limits(&mut self.granter.borrow_mut(), self.clock.now());
    }

    /// Applies the limits of the configuration in force.
    fn sync_limits(&self, granter: &mut ShareGranter, now: Time) {
        let term = self.replica.status().term;
        let state = self.replica.state();
        let config = state.config().config();
        if granter.term != term {
            let inherited = config.services.keys().cloned().collect();
            *granter = ShareGranter { term, term_start: now, inherited, ..ShareGranter::default() };
        }
        if granter.revision == config.revision {
            return;
        }
        granter.revision = config.revision;
        let term_start = granter.term_start;
        for (name, spec) in &config.services {
            let inherited = granter.inherited.contains(name);
            let new = || {
                if inherited {
                    ShareAllocator::new(term_start, terms())
                } else {
                    ShareAllocator::first(terms())
                }
            };
            let shares = granter.services.entry(name.clone()).or_insert_with(new);
            for (team, team_spec) in &spec.teams {
                shares.set_limit(team.clone(), Limit::from(team_spec));
            }
            shares.retain(|team| spec.teams.contains_key(team));
        }
        granter.services.retain(|name, _| config.services.contains_key(name));
    }
}

const fn terms() -> LeaseTerms {
    LeaseTerms { lease: SHARE_LEASE, margin: LEASE_MARGIN, inflight_time: INFLIGHT_TIME }
}
