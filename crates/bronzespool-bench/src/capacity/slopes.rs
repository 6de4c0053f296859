//! Measurement of all slopes, and the rates from which their loads follow.
//!
//! A hub is a control instance at which entries and agents open their sessions.

use {
    crate::capacity::{Results, Slope, fit, rpc, samples},
    bronzespool_core::Config,
    bronzespool_flow::{
        claim::{Answer, AnswerBody, ClaimChange, ClaimRecord},
        view::{Delta, View, ViewUpdate},
    },
    bronzespool_schedule::Record,
    bronzespool_wire::{
        frame,
        message::{Call, ClaimResult, HubProgress, Reply, SessionGrant, Update},
    },
    serde::Serialize,
};

/// Limit of the control traffic of an instance.
const INSTANCE_BYTES_PER_SEC: f64 = 13_000.0;
/// Limit for session renewals at a hub: half of the instance's.
const RENEWAL_BYTES_PER_SEC: f64 = 0.5 * INSTANCE_BYTES_PER_SEC;
/// Limit for each operation without one of its own: a tenth of the instance's.
const SHARE_BYTES_PER_SEC: f64 = 0.1 * INSTANCE_BYTES_PER_SEC;
/// Limit for hub leases and log heartbeats at the leader: a quarter of the instance's.
const HEARTBEAT_BYTES_PER_SEC: f64 = 0.25 * INSTANCE_BYTES_PER_SEC;
/// Limit for claims at the leader: 30 % of the instance's.
const CLAIM_BYTES_PER_SEC: f64 = 0.3 * INSTANCE_BYTES_PER_SEC;
/// Sessions of a hub while all seven hubs are up.
const HUB_SESSIONS: f64 = 130.0;
/// Sessions of entries among a hub's sessions.
const HUB_ENTRIES: f64 = 3.0;
/// Copies of each log record that the leader sends: one to each of its 6 followers.
const LOG_COPIES: f64 = 6.0;
const DAY_SECS: f64 = 86_400.0;
/// Configuration changes a second: 2,700 a day.
const CONFIG_CHANGES_PER_SEC: f64 = 2_700.0 / DAY_SECS;
/// Jobs a second: 1,700 a day.
const JOBS_PER_SEC: f64 = 1_700.0 / DAY_SECS;
/// Task starts a second: 12,000 running tasks of 8 hours each.
const TASK_STARTS_PER_SEC: f64 = 12_000.0 / (8.0 * 3_600.0);
/// Changes of agent sessions a second: 75 restarts and 6 failures a day, each one down and one up.
const SESSION_CHANGES_PER_SEC: f64 = 2.0 * 81.0 / DAY_SECS;

/// Parameters of one slope; the fields have the meaning of those of [`Slope`].
struct SlopeSpec {
    name: &'static str,
    by: &'static str,
    size: f64,
    rate: f64,
    reason: &'static str,
    bound: f64,
    mechanism: &'static str,
}

fn slope(spec: SlopeSpec, sizes: &[usize], bytes: impl Fn(usize) -> u64) -> Slope {
    let points: Vec<_> = sizes.iter().map(|&s| (s as f64, bytes(s) as f64)).collect();
    let (slope, base, error) = fit(&points);
    let operation_bytes = base + slope * spec.size;
    Slope {
        name: spec.name.to_owned(),
        by: spec.by.to_owned(),
        slope: round_tenth(slope),
        base: round_tenth(base),
        error: (error * 1e4).round() / 1e4,
        size: spec.size,
        rate: spec.rate,
        reason: spec.reason.to_owned(),
        load: round_tenth(operation_bytes * spec.rate),
        bound: spec.bound,
        mechanism: spec.mechanism.to_owned(),
        points,
    }
}

fn round_tenth(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn encoded_len<T: Serialize>(value: &T) -> u64 {
    postcard::to_allocvec(value).expect("every record can be encoded").len() as u64
}

fn frame_len<T: Serialize>(value: &T) -> usize {
    frame::encode(value).len()
}

/// Measures every slope.
pub fn measure() -> Results {
    Results {
        slopes: vec![
            renewal(
                "renewal of each session, every 1 s (default setting)",
                HUB_SESSIONS,
                RENEWAL_BYTES_PER_SEC,
            ),
            renewal(
                "renewal of an agent's session, every 10 s",
                HUB_SESSIONS / 10.0,
                RENEWAL_BYTES_PER_SEC,
            ),
            renewal(
                "renewal of an entry's session, every 2 s",
                HUB_ENTRIES / 2.0,
                SHARE_BYTES_PER_SEC,
            ),
            hub_progress(),
            agents_progress(),
            config_push(),
            session_grant(),
            claim_call(),
            claim_log(),
            grant_log(),
            job_log(),
            usage_log(),
        ],
    }
}

fn renewal(name: &'static str, rate: f64, bound: f64) -> Slope {
    let spec = SlopeSpec {
        name,
        by: "sessions",
        size: 1.0,
        rate,
        reason: "sessions of a hub / period",
        bound,
        mechanism: "one lease a session; the hub sets the period",
    };
    let cost = rpc::renew().wire_bytes();
    slope(spec, &[1, 10, 100], |sessions| sessions as u64 * cost)
}

fn hub_progress() -> Slope {
    let spec = SlopeSpec {
        name: "hub's progress to the leader, every 1 s",
        by: "agents named",
        size: 0.0,
        rate: LOG_COPIES,
        reason: "6 hubs / 1 s",
        bound: HEARTBEAT_BYTES_PER_SEC,
        mechanism: "agents named only when their serial changed",
    };
    let reply = frame_len(&Reply::Progressed { known: 1_234 });
    slope(spec, &[0, 50, 150], |agents| {
        let list = (agents > 0).then(|| samples::agents(agents));
        let hub = samples::parse_name("jalpaiguri-c1");
        let call = Call::Progress(HubProgress {
            hub,
            acked: 123_456,
            lease_millis: 3_000,
            serial: 1_234,
            agents: list,
        });
        rpc::call(frame_len(&call), reply).wire_bytes()
    })
}

fn agents_progress() -> Slope {
    let spec = SlopeSpec {
        name: "hub's progress that names its agents",
        by: "agents named",
        size: HUB_SESSIONS,
        rate: SESSION_CHANGES_PER_SEC,
        reason: "75 restarts and 6 failures a day, down and up",
        bound: SHARE_BYTES_PER_SEC,
        mechanism: "all agents of the hub named again at each change",
    };
    let reply = frame_len(&Reply::Progressed { known: 1_234 });
    slope(spec, &[10, 50, 150], |agents| {
        let hub = samples::parse_name("jalpaiguri-c1");
        let agents = Some(samples::agents(agents));
        let call = Call::Progress(HubProgress {
            hub,
            acked: 123_456,
            lease_millis: 3_000,
            serial: 1_234,
            agents,
        });
        rpc::call(frame_len(&call), reply).wire_bytes()
    })
}

fn config_push() -> Slope {
    let spec = SlopeSpec {
        name: "change of a service pushed to each session of a hub",
        by: "teams of the service",
        size: 35.0,
        rate: CONFIG_CHANGES_PER_SEC * HUB_SESSIONS,
        reason: "2,700 a day x 130 sessions; 350 teams over 10 services assumed",
        bound: 2.0 * SHARE_BYTES_PER_SEC,
        mechanism: "the whole service to every session; would do: changed teams only, agents only \
                    their own services",
    };
    slope(spec, &[4, 35, 350], |teams| {
        let service = samples::service("permit-desk", teams);
        let change =
            ViewUpdate::Config { revision: 4_711, services: vec![service], removed: vec![] };
        let delta = Delta { from: 123_455, to: 123_456, updates: vec![change] };
        rpc::call(frame_len(&Update::Delta(delta)), 0).wire_bytes()
    })
}

fn session_grant() -> Slope {
    let spec = SlopeSpec {
        name: "whole view to an agent whose hub was lost, in one minute",
        by: "teams",
        size: 350.0,
        rate: 22.0 / 60.0,
        reason: "130 sessions of a lost hub over 6 hubs, once",
        bound: INSTANCE_BYTES_PER_SEC,
        mechanism: "the whole configuration at each opening; would do: the tail since the index \
                    that the holder names",
    };
    slope(spec, &[4, 35, 350], |teams| {
        let services = (0..10).map(|s| samples::service(&format!("desk-{s}"), teams.div_ceil(10)));
        let services = services.map(|s| (s.name.clone(), s)).collect();
        let config = Config { revision: 4_711, services };
        let endpoints = samples::endpoints(0);
        let view = View { index: 123_456, config, endpoints, ..View::default() };
        let drained = view.drained.clone();
        let grant =
            SessionGrant { incarnation: 1_007, view, tasks: vec![], lease_millis: 5_000, drained };
        rpc::call(300, frame_len(&grant)).wire_bytes()
    })
}

fn claim_call() -> Slope {
    let spec = SlopeSpec {
        name: "claim and completion from an entry to the leader",
        by: "bytes of the answer",
        size: 256.0,
        rate: 1.0,
        reason: "one protected request a second (not given); through a hub this counts twice",
        bound: CLAIM_BYTES_PER_SEC / 2.0,
        mechanism: "two calls a request",
    };
    slope(spec, &[0, 256, 4_096], |bytes| {
        let request = samples::claim();
        let id = request.id.clone();
        let claimed = frame_len(&Reply::Claimed(ClaimResult::New { attempt: 1 }));
        let claim = rpc::call(frame_len(&Call::Claim(request)), claimed);
        let completion = bronzespool_flow::claim::Completion::Answered(answer(bytes));
        let complete = Call::Complete { id, attempt: 1, completion };
        let acknowledged = frame_len(&Reply::Acknowledged);
        claim.wire_bytes() + rpc::call(frame_len(&complete), acknowledged).wire_bytes()
    })
}

fn answer(bytes: usize) -> Answer {
    let body = AnswerBody::Whole(vec![b'x'; bytes].into());
    Answer { status: 200, content_type: "application/json".into(), body }
}

fn claim_log() -> Slope {
    let spec = SlopeSpec {
        name: "log bytes of a claim and its answer, copied to 6 followers",
        by: "bytes of the answer",
        size: 256.0,
        rate: LOG_COPIES,
        reason: "one protected request a second (not given) x 6 copies; messages of the log left out",
        bound: CLAIM_BYTES_PER_SEC / 2.0,
        mechanism: "group commit; would do: fewer voters, claims over several groups",
    };
    slope(spec, &[0, 256, 4_096], |bytes| {
        let request = samples::claim();
        let (id, at) = (request.id.clone(), request.expires);
        let claimed = ClaimChange::Claimed {
            id: id.clone(),
            digest: request.digest,
            target: request.target,
            attempt: 1,
            expires: at,
        };
        let answered = ClaimChange::Answered { id, attempt: 1, answer: answer(bytes) };
        encoded_len(&ClaimRecord { at, change: claimed })
            + encoded_len(&ClaimRecord { at, change: answered })
    })
}

fn grant_log() -> Slope {
    let spec = SlopeSpec {
        name: "log bytes of a grant, copied to 6 followers",
        by: "members of the gang",
        size: 1.0,
        rate: TASK_STARTS_PER_SEC * LOG_COPIES,
        reason: "12,000 tasks of 8 h x 6 copies, as gangs of one",
        bound: SHARE_BYTES_PER_SEC,
        mechanism: "one record a gang",
    };
    slope(spec, &[1, 8, 64], |members| encoded_len(&samples::grant(members)))
}

fn job_log() -> Slope {
    let spec = SlopeSpec {
        name: "log bytes of a job, copied to 6 followers",
        by: "members of the gang",
        size: TASK_STARTS_PER_SEC / JOBS_PER_SEC,
        rate: JOBS_PER_SEC * LOG_COPIES,
        reason: "1,700 a day x 6 copies, 21 members on average",
        bound: SHARE_BYTES_PER_SEC,
        mechanism: "a record for each member prepared and stopped",
    };
    let batch = |b: &Vec<Record>| encoded_len(b);
    slope(spec, &[1, 8, 64], |members| samples::job(members).iter().map(batch).sum())
}

fn usage_log() -> Slope {
    let spec = SlopeSpec {
        name: "usage of tasks in the log, every 60 s, copied to 6 followers",
        by: "tasks",
        size: 12_000.0,
        rate: LOG_COPIES / 60.0,
        reason: "12,000 tasks / 60 s x 6 copies; not built: no report is recorded today",
        bound: SHARE_BYTES_PER_SEC,
        mechanism: "would do: only steps of an eighth and overuse, or the leader's memory alone",
    };
    slope(spec, &[1, 100, 1_000], |tasks| {
        let records: Vec<_> = (0..tasks).map(|_| samples::usage()).collect();
        encoded_len(&records)
    })
}
