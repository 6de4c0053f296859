//! Links whose peer stops answering, is absent or restarts.

use {
    bronzespool_wire::{
        bronzespool_capnp::control,
        link::{Error, Link},
        serve::serve,
    },
    std::{cell::Cell, rc::Rc, time::Duration},
    tokio::{
        net::TcpListener,
        task::{LocalSet, spawn_local},
    },
};

const CALL_TIMEOUT: Duration = Duration::from_millis(200);

/// Answers probes, except the first `unanswered` ones.
struct ProbeServer {
    unanswered: Cell<u32>,
}

impl control::Server for ProbeServer {
    async fn probe(
        self: Rc<Self>,
        _: control::ProbeParams,
        _: control::ProbeResults,
    ) -> Result<(), capnp::Error> {
        if self.unanswered.get() > 0 {
            self.unanswered.set(self.unanswered.get() - 1);
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

async fn probe(link: &Link<control::Client>) -> Result<(), Error> {
    link.call(CALL_TIMEOUT, |client| async move {
        client.probe_request().send().promise.await?;
        Ok(())
    })
    .await
}

async fn start_server(unanswered: u32) -> Link<control::Client> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client: control::Client =
        capnp_rpc::new_client(ProbeServer { unanswered: Cell::new(unanswered) });
    spawn_local(serve(listener, client));
    Link::new(address)
}

#[tokio::test]
async fn call_answered_returns() {
    LocalSet::new()
        .run_until(async {
            let link = start_server(0).await;
            probe(&link).await.unwrap();
            probe(&link).await.unwrap();
        })
        .await;
}

#[tokio::test]
async fn call_unanswered_times_out_and_next_one_works() {
    LocalSet::new()
        .run_until(async {
            let link = start_server(1).await;
            assert!(matches!(probe(&link).await, Err(Error::CallTimeout(_))));
            probe(&link).await.unwrap();
        })
        .await;
}

#[tokio::test]
async fn call_without_listener_is_unsent() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            drop(listener);
            let error = probe(&Link::new(address)).await.unwrap_err();
            assert!(error.is_unsent(), "{error}");
        })
        .await;
}

#[tokio::test]
async fn call_after_server_restart_connects_again() {
    LocalSet::new()
        .run_until(async {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            let address = listener.local_addr().unwrap();
            let client: control::Client =
                capnp_rpc::new_client(ProbeServer { unanswered: Cell::new(0) });
            let server = spawn_local(serve(listener, client.clone()));
            let link = Link::new(address);
            probe(&link).await.unwrap();
            server.abort();
            let _ = server.await;
            assert!(probe(&link).await.is_err());
            let listener = TcpListener::bind(address).await.unwrap();
            spawn_local(serve(listener, client));
            probe(&link).await.unwrap();
        })
        .await;
}
