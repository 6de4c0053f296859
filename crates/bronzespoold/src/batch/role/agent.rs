//! An agent: the worker beside it, its check-ins, relays.

use {
    super::{Frame, HEAD_TIME, Result, Signals, bind, finder, start_relay},
    crate::{
        batch::{Agent, Options, Worker, follow_seeds},
        clock::Clock,
        http::{Handler, serve},
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
pub async fn run_agent<W: Worker, H: Handler>(
    frame: &Frame,
    clock: Clock,
    limits: Limits,
    (listen, worker): (SocketAddr, W),
    mut signals: Signals,
    check_ins: impl FnOnce(Rc<Agent<W>>) -> H,
) -> Result<()> {
    let finder = finder(frame, clock);
    start_relay(frame, &finder).await?;
    let options = Options { instance: frame.instance.clone(), limits, relay: Some(frame.own) };
    let agent = Agent::new(options, clock, Rc::clone(&finder), worker);
    agent.start();
    let (stop, stopped) = watch::channel(false);
    let listener = bind(listen).await?;
    let handler = Rc::new(check_ins(agent));
    let served = spawn_local(serve(listener, handler, HEAD_TIME, stopped));
    let (known, reread) = (frame.seeds.clone(), frame.reread);
    spawn_local(follow_seeds(signals.reload, known, reread, move |s| finder.reseed(s)));
    // Either way the process is to stop.
    let _ = signals.stop.recv().await;
    event::StopAsked { role: "agent" }.emit();
    let _ = stop.send(true);
    if timeout(frame.grace, served).await.is_err() {
        event::GraceExceeded { role: "agent" }.emit();
    }
    Ok(())
}
