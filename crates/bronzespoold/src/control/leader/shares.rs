//! Grants the entries their shares of the teams' limits.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        core::{Service, Time},
        flow::limit::{DemandReport, HolderId, LeaseTerms, Limit, ShareAllocator, ShareGrant},
        wire::message::{Answered, Reply},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Span of a lease at its holder.
const LEASE: Duration = Duration::from_secs(3);
/// Added at the granter for the drift of the clocks.
const MARGIN: Duration = Duration::from_millis(300);
/// Time for which a new leader counts requests of holders that have gone silent as in flight.
const LINGER: Duration = Duration::from_secs(10);

/// Shares of all services, as granted in one term.
#[derive(Debug, Default)]
pub(super) struct Granter {
    term: u64,
    since: Time,
    revision: u64,
    /// Services that were in force when the term began: an earlier leader may have granted shares.
    inherited: Vec<Service>,
    services: BTreeMap<Service, ShareAllocator>,
}

impl Leader {
    /// Takes the reports of one entry and answers with its shares.
    pub(super) async fn shares(
        &self,
        holder: u64,
        reports: Vec<(Service, DemandReport)>,
    ) -> Answered {
        let now = self.clock.now();
        let mut granter = self.granter.borrow_mut();
        self.follow_limits(&mut granter, now);
        let grant = |(service, report): (Service, DemandReport)| -> Option<(Service, ShareGrant)> {
            let shares = granter.services.get_mut(&service)?;
            let shared = shares.report(now, HolderId(holder), &report)?;
            Some((service, shared))
        };
        Ok(Reply::Shares(reports.into_iter().filter_map(grant).collect()))
    }

    /// Notes the start of a term, before any service joins in it.
    pub(super) fn begin_term(&self) {
        self.follow_limits(&mut self.granter.borrow_mut(), self.clock.now());
    }

    /// Brings the limits to the configuration in force.
    fn follow_limits(&self, granter: &mut Granter, now: Time) {
        let term = self.replica.status().term;
        let state = self.replica.state();
        let config = state.config().config();
        if granter.term != term {
            let inherited = config.services.keys().cloned().collect();
            *granter = Granter { term, since: now, inherited, ..Granter::default() };
        }
        if granter.revision == config.revision {
            return;
        }
        granter.revision = config.revision;
        let since = granter.since;
        for (name, spec) in &config.services {
            let old = granter.inherited.contains(name);
            let new = || {
                if old {
                    ShareAllocator::new(since, terms())
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
    LeaseTerms { lease: LEASE, margin: MARGIN, inflight_time: LINGER }
}
