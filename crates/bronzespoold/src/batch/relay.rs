//! Relays calls of processes that cannot reach control: a network fault may cut single instances
//! off from control while they still reach each other.

use {
    crate::{
        batch::{PassedCalls, leader_client::LeaderClient},
        limits::Listener,
        memory,
    },
    bronzespool::wire::{bronzespool_capnp::control, frame, message::Call, serve::serve_within},
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Serves calls to be relayed, until the returned future is dropped.
pub async fn serve_relay(listener: TcpListener, leader_client: Rc<LeaderClient>) {
    let server: control::Client =
        capnp_rpc::new_client(Relay { leader_client, passed: PassedCalls::default() });
    let budget = memory::inbound_budget();
    serve_within(listener, server, Listener::Peers.admission(), budget).await;
}

struct Relay {
    leader_client: Rc<LeaderClient>,
    passed: PassedCalls,
}

impl control::Server for Relay {
    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let bytes = params.get()?.get_call()?;
        let call: Call = frame::decode(bytes).map_err(|e| capnp::Error::failed(e.to_string()))?;
        let result = match self.passed.admit(&call, bytes.len()) {
            Ok(_passed) => self.leader_client.relay(call).await,
            Err(refusal) => Err(refusal),
        };
        results.get().set_reply(&frame::encode(&result));
        Ok(())
    }
}
