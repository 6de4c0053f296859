//! The agent role: serves one worker and its check-ins, and relays calls.

use {
    super::{HEAD_TIMEOUT, ProcessOptions, Result, Signals, bind, new_leader_client, start_relay},
    crate::{
        batch::{Agent, AgentOptions, Worker, follow_seeds},
        clock::Clock,
        http::{Handler, serve_bounded},
        limits::Listener,
        telemetry::{Event, event},
    },
    bronzespool::batch::agent::Limits,
    std::{net::SocketAddr, rc::Rc},
    tokio::{sync::watch, task::spawn_local, time::timeout},
};

/// Runs the agent of a worker until a signal asks the process to stop.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn run_agent<W: Worker, H: Handler>(
    options: &ProcessOptions,
    clock: Clock,
    limits: Limits,
    (listen, worker): (SocketAddr, W),
    mut signals: Signals,
    check_ins: impl FnOnce(Rc<Agent<W>>) -> H,
) -> Result<()> {
    let leader_client = new_leader_client(options, clock);
    start_relay(options, &leader_client).await?;
    let agent_options = AgentOptions {
        instance: options.instance.clone(),
        limits,
        relay: Some(options.advertised),
    };
    let agent = Agent::new(agent_options, clock, Rc::clone(&leader_client), worker);
    agent.start();
    let (stop, stopped) = watch::channel(false);
    let listener = bind(listen).await?;
    let handler = Rc::new(check_ins(agent));
    let bound = Listener::Local.bound();
    let server = spawn_local(serve_bounded(listener, handler, HEAD_TIMEOUT, stopped, bound));
    let (seeds, load_seeds) = (options.seeds.clone(), options.load_seeds);
    spawn_local(follow_seeds(signals.reload, seeds, load_seeds, move |s| {
        leader_client.set_seeds(s);
    }));
    // A closed signal stream means stop as well.
    let _ = signals.stop.recv().await;
    event::StopAsked { role: "agent" }.emit();
    let _ = stop.send(true);
    if timeout(options.grace, server).await.is_err() {
        event::GraceExceeded { role: "agent" }.emit();
    }
    Ok(())
}
