//! Status of the whole system, for operators.

use {
    crate::control::leader::calls::Leader,
    bronzespool::{
        flow::view::{EndpointRecord, Presence},
        schedule::summarize,
        wire::message::{CallResult, EndpointView, ReplicaView, Reply, StatusView},
    },
};

impl Leader {
    pub(super) async fn status(&self) -> CallResult {
        self.replica.read_barrier().await?;
        let log = self.replica.status();
        let now = self.clock.now();
        let state = self.replica.state();
        let revision = state.config().config().revision;
        let leader = log.leader.clone().map(|l| l.to_string()).unwrap_or_default();
        let replicas = log.members.iter().map(|member| {
            let is_leader = member.name.as_str() == leader;
            let silent = member.contact.map_or(0, |at| now.since(at).as_millis());
            ReplicaView {
                instance: member.name.to_string(),
                identity: member.id.0,
                role: role_name(is_leader, member.voter).to_owned(),
                voter: member.voter,
                matched: member.matched.unwrap_or_default(),
                silent_ms: u64::try_from(silent).unwrap_or(u64::MAX),
            }
        });
        Ok(Reply::Status(Box::new(StatusView {
            leader: leader.clone(),
            term: log.term,
            commit: log.commit,
            revision,
            in_force: self.is_in_force(revision),
            replicas: replicas.collect(),
            endpoints: state.endpoints().values().map(endpoint_view).collect(),
            claims: state.claims().len() as u64,
            open: state.claims().open() as u64,
            schedule: summarize(state.scheduler()),
            centers: state.drains().iter().map(|(c, drain)| self.center_view(c, *drain)).collect(),
        })))
    }
}

const fn role_name(leader: bool, voter: bool) -> &'static str {
    match (leader, voter) {
        (true, _) => "leader",
        (false, true) => "follower",
        (false, false) => "learner",
    }
}

fn endpoint_view(endpoint: &EndpointRecord) -> EndpointView {
    EndpointView {
        instance: endpoint.place.instance.to_string(),
        center: endpoint.place.center.to_string(),
        rack: endpoint.place.rack.to_string(),
        incarnation: endpoint.incarnation,
        presence: presence_name(endpoint.presence).to_owned(),
        services: endpoint.services.iter().map(ToString::to_string).collect(),
        slots: endpoint.capacity.slots,
        accels: endpoint.capacity.accels,
    }
}

const fn presence_name(presence: Presence) -> &'static str {
    match presence {
        Presence::Up => "up",
        Presence::Draining => "draining",
        Presence::Down => "down",
    }
}
