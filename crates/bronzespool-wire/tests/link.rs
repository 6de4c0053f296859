//! Links over connections that go silent.

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

const SILENCE: Duration = Duration::from_millis(200);

/// Answers probes, but for the first `silent` ones.
struct Prober {
    silent: Cell<u32>,
}

impl control::Server for Prober {
    async fn probe(
        self: Rc<Self>,
        _: control::ProbeParams,
        _: control::ProbeResults,
    ) -> Result<(), capnp::Error> {
        if self.silent.get() > 0 {
            self.silent.set(self.silent.get() - 1);
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

async fn probe(link: &Link<control::Client>) -> Result<(), Error> {
    link.call(SILENCE, |client| async move {
        client.probe_request().send().promise.await?;
        Ok(())
    })
    .await
}

async fn served(silent: u32) -> Link<control::Client> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let client: control::Client = capnp_rpc::new_client(Prober { silent: Cell::new(silent) });
    spawn_local(serve(listener, client));
    Link::new(address)
}

#[tokio::test]
async fn call_answered_returns() {
    LocalSet::new()
        .run_until(async {
            let link = served(0).await;
            probe(&link).await.unwrap();
            probe(&link).await.unwrap();
        })
        .await;
}

#[tokio::test]
async fn call_silent_ends_and_next_one_works() {
    LocalSet::new()
        .run_until(async {
            let link = served(1).await;
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
            let client: control::Client = capnp_rpc::new_client(Prober { silent: Cell::new(0) });
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
