//! Receives what the hub pushes.

use {
    crate::client::session_client::Subscriber,
    bronzespool::wire::{bronzespool_capnp::sink, frame, message::Update},
    std::rc::Rc,
};

/// The sink of one session.
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
        // A gap is an error to the hub, which then ends the session; the next one starts whole.
        self.subscriber.apply_update(update).map_err(|e| capnp::Error::failed(e.to_string()))
    }
}
