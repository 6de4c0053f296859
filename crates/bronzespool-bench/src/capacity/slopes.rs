//! The slopes and the loads that follow from them.

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

/// Limit of a node for control.
const NODE: f64 = 13_000.0;
/// Share of it for the renewals of sessions at a hub.
const RENEWALS: f64 = 0.5 * NODE;
/// Share of it for each other matter.
const PART: f64 = 0.1 * NODE;
/// Share of it for the leases of the hubs and the heartbeats of the log at the leader.
const HEARTBEATS: f64 = 0.25 * NODE;
/// Share of it for claims at the leader.
const CLAIMS: f64 = 0.3 * NODE;
/// Sessions of a hub with all seven up.
const SESSIONS: f64 = 130.0;
/// Entries among a hub's sessions.
const ENTRIES: f64 = 3.0;
/// Copies that the leader sends of each log record.
const COPIES: f64 = 6.0;
const DAY: f64 = 86_400.0;
/// Changes of the configuration a second.
const CHANGES: f64 = 2_700.0 / DAY;
/// Jobs a second.
const JOBS: f64 = 1_700.0 / DAY;
/// Tasks started a second: 12,000 running for 8 hours each.
const STARTS: f64 = 12_000.0 / (8.0 * 3_600.0);
/// Changes of agents' sessions a second: 75 restarts and 6 failures a day, down and up again.
const RESTARTS: f64 = 2.0 * 81.0 / DAY;

struct Plan {
    name: &'static str,
    by: &'static str,
    size: f64,
    rate: f64,
    reason: &'static str,
    bound: f64,
    mechanism: &'static str,
}

fn slope(plan: Plan, sizes: &[usize], bytes: impl Fn(usize) -> u64) -> Slope {
    let points: Vec<_> = sizes.iter().map(|&s| (s as f64, bytes(s) as f64)).collect();
    let (slope, base, error) = fit(&points);
    let each = base + slope * plan.size;
    Slope {
        name: plan.name.to_owned(),
        by: plan.by.to_owned(),
        slope: round(slope),
        base: round(base),
        error: (error * 1e4).round() / 1e4,
        size: plan.size,
        rate: plan.rate,
        reason: plan.reason.to_owned(),
        load: round(each * plan.rate),
        bound: plan.bound,
        mechanism: plan.mechanism.to_owned(),
        points,
    }
}

fn round(value: f64) -> f64 {
    (value * 10.0).round() / 10.0
}

fn len<T: Serialize>(value: &T) -> u64 {
    postcard::to_allocvec(value).expect("records serialize").len() as u64
}

fn frame_len<T: Serialize>(value: &T) -> usize {
    frame::encode(value).len()
}

/// Measures every slope.
pub fn measure() -> Results {
    Results {
        slopes: vec![
            renewal("renewal of each session, every 1 s (default setting)", SESSIONS, RENEWALS),
            renewal("renewal of an agent's session, every 10 s", SESSIONS / 10.0, RENEWALS),
            renewal("renewal of an entry's session, every 2 s", ENTRIES / 2.0, PART),
            progress(),
            agents(),
            config(),
            welcome(),
            claim_call(),
            claim_log(),
            grant(),
            job(),
            usage(),
        ],
    }
}

fn renewal(name: &'static str, rate: f64, bound: f64) -> Slope {
    let plan = Plan {
        name,
        by: "sessions",
        size: 1.0,
        rate,
        reason: "sessions of a hub / period",
        bound,
        mechanism: "one lease a session; the hub sets the period",
    };
    let cost = rpc::renew().wire();
    slope(plan, &[1, 10, 100], |sessions| sessions as u64 * cost)
}

fn progress() -> Slope {
    let plan = Plan {
        name: "hub's progress to the leader, every 1 s",
        by: "agents named",
        size: 0.0,
        rate: COPIES,
        reason: "6 hubs / 1 s",
        bound: HEARTBEATS,
        mechanism: "agents named only when their serial changed",
    };
    let reply = frame_len(&Reply::Progressed { known: 1_234 });
    slope(plan, &[0, 50, 150], |agents| {
        let list = (agents > 0).then(|| samples::agents(agents));
        let hub = samples::name("jalpaiguri-c1");
        let call = Call::Progress(HubProgress {
            hub,
            acked: 123_456,
            lease_millis: 3_000,
            serial: 1_234,
            agents: list,
        });
        rpc::call(frame_len(&call), reply).wire()
    })
}

fn agents() -> Slope {
    let plan = Plan {
        name: "hub's progress that names its agents",
        by: "agents named",
        size: SESSIONS,
        rate: RESTARTS,
        reason: "75 restarts and 6 failures a day, down and up",
        bound: PART,
        mechanism: "all agents of the hub named again at each change",
    };
    let reply = frame_len(&Reply::Progressed { known: 1_234 });
    slope(plan, &[10, 50, 150], |agents| {
        let hub = samples::name("jalpaiguri-c1");
        let agents = Some(samples::agents(agents));
        let call = Call::Progress(HubProgress {
            hub,
            acked: 123_456,
            lease_millis: 3_000,
            serial: 1_234,
            agents,
        });
        rpc::call(frame_len(&call), reply).wire()
    })
}

fn config() -> Slope {
    let plan = Plan {
        name: "change of a service pushed to each session of a hub",
        by: "teams of the service",
        size: 35.0,
        rate: CHANGES * SESSIONS,
        reason: "2,700 a day x 130 sessions; 350 teams over 10 services assumed",
        bound: 2.0 * PART,
        mechanism: "the whole service to every session; would do: changed teams only, agents only \
                    their own services",
    };
    slope(plan, &[4, 35, 350], |teams| {
        let service = samples::service("permit-desk", teams);
        let change =
            ViewUpdate::Config { revision: 4_711, services: vec![service], removed: vec![] };
        let delta = Delta { from: 123_455, to: 123_456, updates: vec![change] };
        rpc::call(frame_len(&Update::Delta(delta)), 0).wire()
    })
}

fn welcome() -> Slope {
    let plan = Plan {
        name: "whole view to an agent whose hub was lost, in one minute",
        by: "teams",
        size: 350.0,
        rate: 22.0 / 60.0,
        reason: "130 sessions of a lost hub over 6 hubs, once",
        bound: NODE,
        mechanism: "the whole configuration at each opening; would do: the tail since the index \
                    that the holder names",
    };
    slope(plan, &[4, 35, 350], |teams| {
        let services = (0..10).map(|s| samples::service(&format!("desk-{s}"), teams.div_ceil(10)));
        let services = services.map(|s| (s.name.clone(), s)).collect();
        let config = Config { revision: 4_711, services };
        let view = View { index: 123_456, config, endpoints: samples::peers(0) };
        let welcome = SessionGrant { incarnation: 1_007, view, tasks: vec![], lease_millis: 5_000 };
        rpc::call(300, frame_len(&welcome)).wire()
    })
}

fn claim_call() -> Slope {
    let plan = Plan {
        name: "claim and completion from an entry to the leader",
        by: "bytes of the answer",
        size: 256.0,
        rate: 1.0,
        reason: "one protected request a second (not given); through a hub this counts twice",
        bound: CLAIMS / 2.0,
        mechanism: "two calls a request",
    };
    slope(plan, &[0, 256, 4_096], |bytes| {
        let request = samples::claim();
        let id = request.id.clone();
        let claimed = frame_len(&Reply::Claimed(ClaimResult::New { attempt: 1 }));
        let claim = rpc::call(frame_len(&Call::Claim(request)), claimed);
        let completion = bronzespool_flow::claim::Completion::Answered(answer(bytes));
        let complete = Call::Complete { id, attempt: 1, completion };
        let noted = frame_len(&Reply::Acknowledged);
        claim.wire() + rpc::call(frame_len(&complete), noted).wire()
    })
}

fn answer(bytes: usize) -> Answer {
    let body = AnswerBody::Whole(vec![b'x'; bytes].into());
    Answer { status: 200, content_type: "application/json".into(), body }
}

fn claim_log() -> Slope {
    let plan = Plan {
        name: "log bytes of a claim and its answer, copied to 6 followers",
        by: "bytes of the answer",
        size: 256.0,
        rate: COPIES,
        reason: "one protected request a second (not given) x 6 copies; messages of the log left out",
        bound: CLAIMS / 2.0,
        mechanism: "group commit; would do: fewer voters, claims over several groups",
    };
    slope(plan, &[0, 256, 4_096], |bytes| {
        let request = samples::claim();
        let (id, at) = (request.id.clone(), request.expires);
        let claimed = ClaimChange::Claimed {
            id: id.clone(),
            digest: request.digest,
            target: request.target,
            attempt: 1,
            expires: at,
        };
        let settled = ClaimChange::Answered { id, attempt: 1, answer: answer(bytes) };
        len(&ClaimRecord { at, change: claimed }) + len(&ClaimRecord { at, change: settled })
    })
}

fn grant() -> Slope {
    let plan = Plan {
        name: "log bytes of a grant, copied to 6 followers",
        by: "members of the gang",
        size: 1.0,
        rate: STARTS * COPIES,
        reason: "12,000 tasks of 8 h x 6 copies, as gangs of one",
        bound: PART,
        mechanism: "one record a gang",
    };
    slope(plan, &[1, 8, 64], |members| len(&samples::grant(members)))
}

fn job() -> Slope {
    let plan = Plan {
        name: "log bytes of a job, copied to 6 followers",
        by: "members of the gang",
        size: STARTS / JOBS,
        rate: JOBS * COPIES,
        reason: "1,700 a day x 6 copies, 21 members on average",
        bound: PART,
        mechanism: "a record for each member prepared and stopped",
    };
    let batch = |b: &Vec<Record>| len(b);
    slope(plan, &[1, 8, 64], |members| samples::job(members).iter().map(batch).sum())
}

fn usage() -> Slope {
    let plan = Plan {
        name: "usage of tasks in the log, every 60 s, copied to 6 followers",
        by: "tasks",
        size: 12_000.0,
        rate: COPIES / 60.0,
        reason: "12,000 tasks / 60 s x 6 copies; not built: no report is recorded today",
        bound: PART,
        mechanism: "would do: only steps of an eighth and overuse, or the leader's memory alone",
    };
    slope(plan, &[1, 100, 1_000], |tasks| {
        let records: Vec<_> = (0..tasks).map(|_| samples::usage()).collect();
        len(&records)
    })
}
