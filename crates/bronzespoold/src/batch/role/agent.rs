//! An agent: the worker beside it, its check-ins, relays.

use {
    super::{HEAD_TIMEOUT, ProcessOptions, Result, Signals, bind, new_leader_client, start_relay},
    crate::{
        batch::{Agent, AgentOptions, Worker, follow_seeds},
        clock::Clock,
        http::{Handle, serve},
        telemetry::{Event, event},
    },
    bronzespool::batch::agent::Limits,
    std::{net::SocketAddr, rc::Rc},
    tokio::{sync::watch, task::spawn_local, time::timeout},
};

/// Stands beside a worker until a signal asks to stop.
///
/// # Errors
///
/// If an address cannot be bound.
pub async fn run_agent<W: Worker, H: Handle>(
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
    let served = spawn_local(serve(listener, handler, HEAD_TIMEOUT, stopped));
    let (known, load_seeds) = (options.seeds.clone(), options.load_seeds);
    spawn_local(follow_seeds(signals.reload, known, load_seeds, move |s| {
        leader_client.set_seeds(s)
    }));
    // Either way the process is to stop.
    let _ = signals.stop.recv().await;
    event::StopAsked { role: "agent" }.emit();
    let _ = stop.send(true);
    if timeout(options.grace, served).await.is_err() {
        event::GraceExceeded { role: "agent" }.emit();
    }
    Ok(())
}
