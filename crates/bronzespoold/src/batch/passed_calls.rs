//! Calls of callers and operators that other processes pass on and that are not answered yet, within a bound of bytes.

use {
    crate::{limits, memory},
    bronzespool::{
        batch::message::Call as BatchCall,
        core::{Refusal, bound::Bound},
        wire::message::Call,
    },
    std::{
        cell::{Cell, RefCell},
        rc::Rc,
    },
};

/// Bytes that are counted for each byte of a call: its message, what is decoded, and what is made of it.
const COST_FACTOR: usize = 3;
/// Bytes that are counted for each call beside them.
const CALL_BYTES: usize = 2 << 10;

/// Bytes of the calls that are being answered.
pub(crate) struct PassedCalls {
    held: Rc<Cell<usize>>,
    bound: RefCell<Bound>,
}

/// Bytes of one call, until it is answered.
pub(crate) struct PassedCall {
    held: Rc<Cell<usize>>,
    bytes: usize,
}

impl Drop for PassedCall {
    fn drop(&mut self) {
        self.held.set(self.held.get() - self.bytes);
    }
}

impl Default for PassedCalls {
    fn default() -> Self {
        let bound = RefCell::new(Bound::new("memory for calls", memory::calls_max()));
        Self { held: Rc::default(), bound }
    }
}

impl PassedCalls {
    /// Admits a call whose message has `length` bytes. Only what callers and operators send is bounded;
    /// the reports of agents and replicas are not.
    ///
    /// # Errors
    ///
    /// [`Code::BoundReached`](bronzespool::core::Code::BoundReached) if there is no room: the call was
    /// not carried out.
    pub(crate) fn admit(&self, call: &Call, length: usize) -> Result<PassedCall, Refusal> {
        let bytes = if is_from_outside(call) { CALL_BYTES + length * COST_FACTOR } else { 0 };
        let held = self.held.get();
        if bytes > 0 && held > 0 && held + bytes > memory::calls_max() {
            let mut bound = self.bound.borrow_mut();
            crate::telemetry::record_rejection(&mut bound, held);
            return Err(limits::refusal(&bound));
        }
        self.held.set(held + bytes);
        Ok(PassedCall { held: Rc::clone(&self.held), bytes })
    }
}

/// Whether a caller or an operator has sent what the call carries.
fn is_from_outside(call: &Call) -> bool {
    let call = match call {
        Call::Batch(call) => call,
        Call::Relayed { call, .. } => call,
        _ => return false,
    };
    matches!(call, BatchCall::Job(..) | BatchCall::Configure(_) | BatchCall::OrderWave(_))
}
