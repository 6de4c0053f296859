//! RPC interface of the agent for entries.

use {
    crate::agent::state::State,
    bronzespool::wire::{bronzespool_capnp::agent, frame},
    bytes::Bytes,
    std::rc::Rc,
};

type Result = std::result::Result<(), capnp::Error>;

/// Server of the agent interface.
pub(super) struct Server {
    pub(super) state: Rc<State>,
}

fn decode_error(error: &frame::Error) -> capnp::Error {
    capnp::Error::failed(error.to_string())
}

impl agent::Server for Server {
    async fn run(
        self: Rc<Self>,
        params: agent::RunParams,
        mut results: agent::RunResults,
    ) -> Result {
        let params = params.get()?;
        let request = frame::decode(params.get_run()?).map_err(|e| decode_error(&e))?;
        let body = Bytes::copy_from_slice(params.get_body()?);
        let reply = self.state.run_request(request, body).await;
        results.get().set_reply(&frame::encode(&reply));
        Ok(())
    }

    async fn ask(
        self: Rc<Self>,
        params: agent::AskParams,
        mut results: agent::AskResults,
    ) -> Result {
        let id = frame::decode(params.get()?.get_question()?).map_err(|e| decode_error(&e))?;
        let reply = self.state.query_attempt(&id);
        results.get().set_reply(&frame::encode(&reply));
        Ok(())
    }

    async fn fence(
        self: Rc<Self>,
        params: agent::FenceParams,
        mut results: agent::FenceResults,
    ) -> Result {
        let id = frame::decode(params.get()?.get_question()?).map_err(|e| decode_error(&e))?;
        let reply = self.state.fence_attempt(&id);
        results.get().set_reply(&frame::encode(&reply));
        Ok(())
    }

    async fn probe(
        self: Rc<Self>,
        _: agent::ProbeParams,
        mut results: agent::ProbeResults,
    ) -> Result {
        results.get().set_reply(&frame::encode(&self.state.agent_state()));
        Ok(())
    }
}
