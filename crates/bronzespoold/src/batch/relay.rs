//! Passes on calls of processes that cannot reach control: single machines may be cut off from
//! control and still reach each other.

use {
    crate::batch::finder::Finder,
    bronzespool::wire::{bronzespool_capnp::control, frame, message::Call, serve::serve},
    std::rc::Rc,
    tokio::net::TcpListener,
};

/// Serves calls to be passed on, until the returned future is dropped.
pub async fn serve_relay(listener: TcpListener, finder: Rc<Finder>) {
    let server: control::Client = capnp_rpc::new_client(Relay(finder));
    serve(listener, server).await;
}

struct Relay(Rc<Finder>);

impl control::Server for Relay {
    async fn forward(
        self: Rc<Self>,
        params: control::ForwardParams,
        mut results: control::ForwardResults,
    ) -> Result<(), capnp::Error> {
        let call: Call = frame::decode(params.get()?.get_call()?)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;
        let answered = self.0.relay(call).await;
        results.get().set_reply(&frame::encode(&answered));
        Ok(())
    }
}
