//! Receives the updates that the hub pushes.

use {
    crate::client::session_client::Subscriber,
    bronzespool::wire::{bronzespool_capnp::sink, frame, message::Update},
    std::rc::Rc,
};

/// RPC server that receives the updates of one session.
pub(super) struct SinkServer<S> {
    pub(super) subscriber: Rc<S>,
}

impl<S: Subscriber> sink::Server for SinkServer<S> {
    async fn push(
        self: Rc<Self>,
        params: sink::PushParams,
        _: sink::PushResults,
    ) -> Result<(), capnp::Error> {
        let update: Update = frame::decode(params.get()?.get_update()?)
            .map_err(|e| capnp::Error::failed(e.to_string()))?;
        // The hub ends the session when an update does not follow the last one. The next session
        // starts with a complete view.
        self.subscriber.apply_update(update).map_err(|e| capnp::Error::failed(e.to_string()))
    }
}
