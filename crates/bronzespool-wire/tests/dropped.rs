//! Calls in flight when their connection is dropped.

use {
    bronzespool_wire::{
        bronzespool_capnp::agent,
        link::{Link, Result},
    },
    std::time::Duration,
    tokio::{net::TcpListener, task::LocalSet, time::timeout},
};

/// Longer than the test may run.
const LONG_TIMEOUT: Duration = Duration::from_secs(600);
/// Time limit of the test, far above what it needs.
const WAIT_MAX: Duration = Duration::from_secs(30);

async fn probe(link: &Link<agent::Client>, time: Duration) -> Result<()> {
    let call = |client: agent::Client| async move {
        client.probe_request().send().promise.await?;
        Ok(())
    };
    link.call(time, call).await
}

/// Guards against calls that wait forever: the peer accepts the connection and never answers. A
/// call with a short timeout drops the connection, and a call with a long one must end with it.
#[tokio::test]
async fn call_ends_with_dropped_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let link: Link<agent::Client> = Link::new(listener.local_addr().unwrap());
    let calls = async {
        let short = async {
            tokio::task::yield_now().await;
            probe(&link, Duration::from_millis(200)).await
        };
        tokio::join!(probe(&link, LONG_TIMEOUT), short)
    };
    let ended = LocalSet::new().run_until(timeout(WAIT_MAX, calls)).await;
    let (long, short) = ended.expect("the long call ends with the connection");
    assert!(short.is_err());
    assert!(long.is_err_and(|error| error.is_disconnected() && !error.is_unsent()));
}
