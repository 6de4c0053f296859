//! Order of the updates that a hub pushes to an agent.

mod common;

use {
    bronzespool::{
        core::{Capacity, Place},
        wire::{
            bronzespool_capnp::{control, session, sink},
            frame,
            link::Link,
            message::{Announce, OpenResult, Role, SessionGrant, SessionRequest, Update},
        },
    },
    bronzespool_fakes::{
        call::{Answer, Call},
        cluster::{Cluster, Result},
    },
    common::{leader, plan, wait_until},
    serde_json::json,
    std::{
        cell::RefCell,
        rc::Rc,
        time::{Duration, Instant},
    },
    tokio::{
        sync::watch,
        task::LocalSet,
        time::{sleep, timeout},
    },
};

/// Longest wait for the answer to one call.
const CALL_TIME: Duration = Duration::from_secs(30);
/// Longest wait for the pushes after the held one.
const PUSHES_TIME: Duration = Duration::from_secs(5);
/// Most sessions that are opened: a hub ends one whose push it has held for 2 s.
const ATTEMPTS_MAX: u32 = 20;

/// Receives the updates of one session, and answers none until it is released.
struct HeldSink {
    updates: RefCell<Vec<Update>>,
    released: watch::Sender<bool>,
}

/// Server of a sink that the test keeps as well.
struct SinkServer(Rc<HeldSink>);

impl sink::Server for SinkServer {
    async fn push(
        self: Rc<Self>,
        params: sink::PushParams,
        _: sink::PushResults,
    ) -> std::result::Result<(), capnp::Error> {
        let update = frame::decode(params.get()?.get_update()?).unwrap();
        self.0.updates.borrow_mut().push(update);
        let _ = self.0.released.subscribe().wait_for(|r| *r).await;
        Ok(())
    }
}

// A renewal acknowledges the index of the agent's view. The view's update came before the tasks of
// the same index, so an agent whose push of tasks failed counted as having been told of a stop.
#[tokio::test]
async fn push_tasks_come_before_the_view_of_their_index() -> Result<()> {
    LocalSet::new().run_until(scenario()).await
}

async fn scenario() -> Result<()> {
    let cluster = Cluster::start(plan(0)).await?;
    wait_until("a first configuration", async || {
        Ok(publish(&cluster, "first", true).await?.status.is_success())
    })
    .await;
    for attempt in 0..ATTEMPTS_MAX {
        if let Some((tasks_at, view_at)) = push_order(&cluster, attempt).await? {
            assert!(tasks_at < view_at, "the view came first: {view_at}, tasks {tasks_at}");
            return Ok(());
        }
    }
    panic!("no session lasted until both updates were pushed");
}

/// Has a job granted and the configuration changed while a push is held. Returns the positions of
/// the tasks and of the view among the pushes, unless the session has ended before.
async fn push_order(cluster: &Cluster, attempt: u32) -> Result<Option<(usize, usize)>> {
    let sink =
        Rc::new(HeldSink { updates: RefCell::default(), released: watch::Sender::new(false) });
    let link = hub(cluster).await;
    let (grant, session) = open(&link, &sink).await?;
    let mut renewal = session.renew_request();
    renewal.get().set_acked(grant.view.index);
    renewal.send().promise.await?;
    publish(cluster, &format!("held-{attempt}"), false).await?;
    if !holds_within(async || !sink.updates.borrow().is_empty()).await {
        return Ok(None);
    }
    let job = submit(cluster, attempt).await?;
    if !holds_within(async || is_granted(cluster, &job).await).await {
        return Ok(None);
    }
    publish(cluster, &format!("next-{attempt}"), false).await?;
    sink.released.send_replace(true);
    let order = || {
        let updates = sink.updates.borrow();
        let tasks = updates.iter().position(|u| matches!(u, Update::Tasks { .. }))?;
        let view = updates.iter().skip(1).position(|u| matches!(u, Update::Delta(_)))?;
        Some((tasks, view + 1))
    };
    holds_within(async || order().is_some()).await;
    Ok(order())
}

async fn hub(cluster: &Cluster) -> Link<control::Client> {
    let name = leader(cluster).await;
    Link::new(cluster.controls().iter().find(|(n, _)| *n == name).unwrap().1)
}

async fn open(
    link: &Link<control::Client>,
    sink: &Rc<HeldSink>,
) -> Result<(SessionGrant, session::Client)> {
    let hello = frame::encode(&session_request()?);
    let sink: sink::Client = capnp_rpc::new_client(SinkServer(Rc::clone(sink)));
    let opened = link.call(CALL_TIME, |client| async move {
        let mut request = client.open_request();
        request.get().set_hello(&hello);
        request.get().set_sink(sink);
        let response = request.send().promise.await?;
        let results = response.get()?;
        let opened: OpenResult = frame::decode(results.get_welcome()?)?;
        Ok((opened, results.get_session()))
    });
    let (grant, session) = opened.await.map_err(|e| e.to_string())?;
    Ok((grant.map_err(|r| r.to_string())?, session?))
}

fn session_request() -> Result<SessionRequest> {
    let instance = "fake-1";
    let announce = Announce {
        place: Place {
            region: "r1".try_into()?,
            center: "c1".try_into()?,
            rack: "c1-r1".try_into()?,
            instance: instance.try_into()?,
        },
        nonce: 17,
        address: "127.0.0.1:9".parse()?,
        services: vec!["desk".try_into()?],
        capacity: Capacity { slots: 8, connections: 64, cores: 64, memory: 131_072, accels: 64 },
        leaving: false,
    };
    Ok(SessionRequest {
        cluster: "bronzespool".try_into()?,
        role: Role::Agent,
        instance: instance.try_into()?,
        seen: 0,
        announce: Some(announce),
    })
}

/// Publishes the service with one team named after the operation.
async fn publish(cluster: &Cluster, op: &str, wait: bool) -> Result<Answer> {
    let text = format!(
        "[service]\nname = desk\n\n[kind batch]\nmode = job\ncores = 1\nmemory = 1GiB\n\
         accelerators = 1\ntarget = 90%\nwithin = 1h\nruntime = 600s\nrestart = yes\n\n\
         [team guest]\n\n[team {op}]\n"
    );
    let files = json!([{ "path": "desk/service.ini", "text": text }]);
    let body = json!({ "base": null, "op": op, "files": files, "wait": wait });
    Call::post("/v1/config", &body).send(cluster.entry(0)).await
}

async fn submit(cluster: &Cluster, attempt: u32) -> Result<String> {
    let call = Call::post("/v1/services/desk/batch", &json!(null));
    let call = call.header("team", "guest").header("idempotency-key", format!("k{attempt}"));
    let answer = call.send(cluster.entry(0)).await?;
    Ok(answer.json()["job"].as_str().unwrap_or_default().to_owned())
}

async fn is_granted(cluster: &Cluster, job: &str) -> bool {
    let answer = Call::get(format!("/v1/jobs/{job}")).send(cluster.entry(0)).await;
    answer.is_ok_and(|a| a.status.is_success() && a.json()["phase"] == "preparing")
}

/// Polls a condition for [`PUSHES_TIME`].
async fn holds_within(mut holds: impl AsyncFnMut() -> bool) -> bool {
    let end = Instant::now() + PUSHES_TIME;
    while Instant::now() < end {
        if timeout(PUSHES_TIME, holds()).await.unwrap_or(false) {
            return true;
        }
        sleep(Duration::from_millis(10)).await;
    }
    false
}
