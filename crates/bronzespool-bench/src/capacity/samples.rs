//! Sample values of typical length for the encoders.

use {
    bronzespool_core::{
        Capacity, Digest, Instance, KindSpec, Level, Mode, Need, Place, Service, ServiceSpec,
        Shape, Target, TeamSpec, Time, Weights,
    },
    bronzespool_flow::{
        claim::{ClaimId, ClaimRequest, Incarnation},
        view::{EndpointRecord, Presence},
    },
    bronzespool_schedule::{Cell, Event, JobOutcome, JobSpec, MemberOutcome, Record},
    std::{collections::BTreeMap, time::Duration},
};

/// Time of a record: 300,000 s, a few days, so that its encoded microseconds have a typical length.
const NOW: Time = Time::from_secs(300_000);

pub(super) fn parse_name<T: for<'a> TryFrom<&'a str>>(text: &str) -> T {
    T::try_from(text).unwrap_or_else(|_| panic!("{text:?} is not a valid name"))
}

fn instance(number: usize) -> Instance {
    parse_name(&format!("jalpaiguri-w{number:04}"))
}

fn place(number: usize) -> Place {
    Place {
        region: parse_name("bengal"),
        center: parse_name("jalpaiguri"),
        rack: parse_name(&format!("jalpaiguri-r{:03}", number / 10)),
        instance: instance(number),
    }
}

const CAPACITY: Capacity =
    Capacity { slots: 8, connections: 64, cores: 64, memory: 131_072, accels: 8 };

pub(super) fn endpoint(number: usize) -> EndpointRecord {
    EndpointRecord {
        place: place(number),
        incarnation: 1_000 + number as u64,
        nonce: u64::MAX - number as u64,
        address: "10.20.30.40:7401".parse().expect("an address"),
        services: vec![parse_name("permit-desk")],
        capacity: CAPACITY,
        presence: Presence::Up,
    }
}

/// A service with three kinds, and `teams` teams with two guaranteed shapes each.
pub(super) fn service(service: &str, teams: usize) -> ServiceSpec {
    let kind = KindSpec {
        mode: Mode::Job,
        protected: false,
        deadline: Duration::from_secs(30),
        body: 65_536,
        need: Need { slots: 1, cores: 2_000, memory: 4_096, accels: 4 },
        gang: 4,
        adjacent: Level::Rack,
        runtime: Duration::from_secs(7_200),
        checkpoint: Some(Duration::from_secs(600)),
        restart: true,
        target: Target { share: 0.99, within: Duration::from_secs(2) },
    };
    let kinds = ["quota-check", "season-plan", "load-match"];
    let guarantees = vec![Shape::new(Level::Block(2), 4), Shape::new(Level::Worker, 1)];
    let team = TeamSpec { guarantees, rate: 100, inflight: 50 };
    let teams = (0..teams).map(|t| (parse_name(&format!("forest-office-{t:03}")), team.clone()));
    ServiceSpec {
        name: parse_name(service),
        weights: Weights::default(),
        kinds: kinds.into_iter().map(|k| (parse_name(k), kind.clone())).collect(),
        teams: teams.collect::<BTreeMap<_, _>>(),
    }
}

pub(super) fn claim() -> ClaimRequest {
    ClaimRequest {
        id: ClaimId {
            team: parse_name("forest-office-007"),
            service: parse_name::<Service>("permit-desk"),
            kind: parse_name("permit-print"),
            key: parse_name("0f8fad5b-d9cb-469f-a165-70867728950e"),
        },
        digest: Digest::of(b"body"),
        target: Incarnation { instance: instance(7), number: 1_007 },
        expires: NOW,
    }
}

fn cells(members: usize) -> Vec<Cell> {
    (0..members).map(|m| Cell { instance: instance(m), first: 0, accels: 1 }).collect()
}

fn job_name() -> bronzespool_core::Job {
    parse_name("3f2504e0-4f89-41d3")
}

/// The record of a gang's grant.
pub(super) fn grant(members: usize) -> Record {
    let lease = Duration::from_secs(25);
    let (job, cells) = (job_name(), cells(members));
    let event = Event::Granted { job, attempt: 1, cells, lease, borrowed: true, bindings: vec![] };
    Record::new(NOW, event)
}

/// All records of a job that runs once, in the batches in which they are logged.
pub(super) fn job(members: usize) -> Vec<Vec<Record>> {
    let spec = JobSpec::new(
        job_name(),
        parse_name("forest-office-007"),
        parse_name("permit-desk"),
        parse_name("load-match"),
    )
    .members(members as u32)
    .need(Need { slots: 0, cores: 2_000, memory: 4_096, accels: 1 })
    .adjacent(Level::Center)
    .checkpoint_interval(Some(Duration::from_secs(600)));
    let each = |event: &dyn Fn(u32) -> Event| {
        (0..members as u32).map(|m| vec![Record::new(NOW, event(m))]).collect::<Vec<_>>()
    };
    let job = job_name();
    let prepared = |member| Event::Prepared { job: job.clone(), attempt: 1, member };
    let outcome = MemberOutcome::Done;
    let stopped = |member| Event::Stopped { job: job.clone(), attempt: 1, member, outcome };
    let one = |event| vec![Record::new(NOW, event)];
    let mut batches = vec![one(Event::Submitted(spec)), vec![grant(members)]];
    batches.extend(each(&prepared));
    batches.push(one(Event::Started { job: job.clone(), attempt: 1 }));
    batches.extend(each(&stopped));
    batches.push(one(Event::Ended { job: job.clone(), outcome: JobOutcome::Done }));
    batches.push(one(Event::Pruned { jobs: vec![job.clone()] }));
    batches
}

/// The record of one member's usage.
pub(super) fn usage() -> Record {
    let event = Event::Usage {
        job: job_name(),
        attempt: 1,
        member: 3,
        cores: 1_900,
        memory: 3_800,
        seen: NOW,
    };
    Record::new(NOW, event)
}

/// Endpoints by instance.
pub(super) fn endpoints(count: usize) -> BTreeMap<Instance, EndpointRecord> {
    (0..count).map(|n| (instance(n), endpoint(n))).collect()
}

/// Agents with their incarnations.
pub(super) fn agents(count: usize) -> Vec<(Instance, u64)> {
    (0..count).map(|n| (instance(n), 1_000 + n as u64)).collect()
}
