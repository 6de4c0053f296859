//! Fake endpoint and fake worker as one process: `fake-endpoint --name N --listen A [--worker A]
//! [--millis N] [--lag N] [--speed N]`. Exits at SIGTERM or SIGINT.

use {
    bronzespool_fakes::{endpoint::Endpoint, http::run, worker::Worker},
    std::{net::SocketAddr, rc::Rc},
    tokio::{
        net::TcpListener,
        signal::unix::{SignalKind, signal},
        task::LocalSet,
    },
};

type Result<T> = std::result::Result<T, Box<dyn std::error::Error>>;

struct Arguments {
    name: String,
    listen: SocketAddr,
    worker: Option<SocketAddr>,
    millis: u64,
    lag: u64,
    speed: u64,
}

fn arguments() -> Result<Arguments> {
    let mut args = pico_args::Arguments::from_env();
    Ok(Arguments {
        name: args.value_from_str("--name")?,
        listen: args.value_from_str("--listen")?,
        worker: args.opt_value_from_str("--worker")?,
        millis: args.opt_value_from_str("--millis")?.unwrap_or(1),
        lag: args.opt_value_from_str("--lag")?.unwrap_or(500),
        speed: args.opt_value_from_str("--speed")?.unwrap_or(1),
    })
}

async fn serve(args: Arguments) -> Result<()> {
    let endpoint = Rc::new(Endpoint::new(&args.name, args.millis));
    tokio::task::spawn_local(run(TcpListener::bind(args.listen).await?, endpoint));
    if let Some(address) = args.worker {
        let worker = Rc::new(Worker::new(args.lag, args.speed));
        tokio::task::spawn_local(run(TcpListener::bind(address).await?, worker));
    }
    let mut term = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = term.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    Ok(())
}

fn main() -> Result<()> {
    let args = arguments()?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(LocalSet::new().run_until(serve(args)))
}
